package explanation

import (
	"fmt"
	"strings"

	"github.com/pomelospring/pomelospring/events"
)

// End says what became of a request.
type End string

// The ends of requests.
const (
	EndServed     End = "served"
	EndRefused    End = "refused"
	EndBroken     End = "broken"
	EndCallerLeft End = "left"
	// EndProcessEnded: the process ended while it had the request.
	EndProcessEnded End = "cut"
	// EndOpen: no line tells the end.
	EndOpen    End = "open"
	EndUnknown End = "unknown"
)

// Cause is an end with its reason.
type Cause struct {
	End End
	// Kind is the reason without what differs from request to request; empty
	// where the log names none.
	Kind string
	// Text is for people.
	Text string
}

// CauseOf finds a request's end and reason.
func (l *Log) CauseOf(request string) Cause {
	lines := sortByTime(l.calls[request])
	if len(lines) == 0 {
		return Cause{
			End:  EndUnknown,
			Text: "no line names the request: it reached none of these processes, or its lines were dropped",
		}
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if cause, found := ended(lines[i], lines[:i]); found {
			return cause
		}
	}
	return l.withoutEnd(lines[len(lines)-1])
}

// ended reads the cause from a line that ends a request.
func ended(line Line, before []Line) (cause Cause, found bool) {
	switch line.number() {
	case events.CallServed.Number, events.RequestServed.Number:
		return Cause{
			End:  EndServed,
			Kind: fmt.Sprintf("status %d", line.count("status")),
			Text: served(line),
		}, true
	case events.CallRefused.Number, events.RequestRefused.Number:
		return Cause{
			End:  EndRefused,
			Kind: strings.TrimSpace(line.text("code") + " " + firstWords(reasonOf(line)) + lastTry(before)),
			Text: fmt.Sprintf("refused: %s: %s (%s)%s", line.text("code"), reasonOf(line), line.text("outcome"), trail(before)),
		}, true
	case events.CallBroken.Number, events.RequestBroken.Number, events.RequestCut.Number:
		return Cause{
			End:  EndBroken,
			Kind: strings.TrimSpace(line.text("code") + " " + firstWords(reasonOf(line)) + lastTry(before)),
			Text: fmt.Sprintf("broken off midway: %s %s%s", line.text("code"), reasonOf(line), trail(before)),
		}, true
	case events.CallerLeft.Number:
		return Cause{
			End:  EndCallerLeft,
			Kind: "while " + stage(before),
			Text: "the caller left while " + stage(before) + trail(before),
		}, true
	case events.OutcomeUnknown.Number:
		return Cause{
			End:  EndRefused,
			Kind: "outcome unknown",
			Text: fmt.Sprintf("server %s may have run it: %s", line.text("server"), line.text("error")),
		}, true
	}
	return Cause{}, false
}

// withoutEnd explains why a request's lines stop.
func (l *Log) withoutEnd(last Line) Cause {
	if found, ok := l.after(last, events.Started.Number, events.Stopped.Number, events.LinesDropped.Number); ok {
		switch found.number() {
		case events.LinesDropped.Number:
			return Cause{
				End:  EndOpen,
				Text: "the process dropped log lines afterwards",
			}
		default:
			return Cause{
				End:  EndProcessEnded,
				Kind: "process ended",
				Text: fmt.Sprintf("process %s ended while %s", last.Process, stage([]Line{last})),
			}
		}
	}
	return Cause{
		End:  EndOpen,
		Text: "no line tells the end: the process ended for good, or the log does",
	}
}

func served(line Line) string {
	text := fmt.Sprintf("served by %s, status %d", line.text("server"), line.count("status"))
	if _, streamed := line.Fields["firstMs"]; streamed {
		text += fmt.Sprintf(", first event after %d ms, longest pause %d ms, waited %d ms for its adapter",
			line.count("firstMs"), line.count("pauseMs"), line.count("placedMs"))
	}
	return text
}

func reasonOf(line Line) string {
	for _, field := range []string{"reason", "message", "error"} {
		if text := line.text(field); text != "" {
			return text
		}
	}
	return ""
}

// stage says what a request was waiting for after some lines.
func stage(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		switch lines[i].number() {
		case events.CallRouted.Number, events.RequestRouted.Number, events.RequestDispatch.Number, events.ServiceRouted.Number:
			return "a server had it"
		case events.StreamResumed.Number:
			return "a server went on with its stream"
		case events.CallRetried.Number, events.RequestRetried.Number:
			if again, told := lines[i].Fields["again"].(bool); !told || again {
				return "another server was sought"
			}
		}
	}
	return "no server had it yet"
}

// lastTry is the reason of the last failed try.
func lastTry(before []Line) string {
	for i := len(before) - 1; i >= 0; i-- {
		if before[i].number() == events.CallRetried.Number {
			return " after " + firstWords(reasonOf(before[i]))
		}
	}
	return ""
}

// trail lists the failed tries.
func trail(before []Line) (text string) {
	for _, line := range before {
		switch line.number() {
		case events.CallRetried.Number:
			text += fmt.Sprintf("; server %s: %s", line.text("server"), reasonOf(line))
		case events.PlacementFailed.Number:
			text += "; the wish for its adapter failed: " + reasonOf(line)
		}
	}
	return text
}

// firstWords cuts what differs from request to request: everything from the
// first word with a digit on.
func firstWords(reason string) string {
	words := strings.Fields(reason)
	for i, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			return strings.Join(words[:i], " ")
		}
	}
	return strings.Join(words, " ")
}
