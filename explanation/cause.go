package explanation

import (
	"fmt"
	"strings"

	"github.com/pomelospring/pomelospring/events"
)

// End is how a request ended.
type End string

// The ends of requests.
const (
	EndServed  End = "served"
	EndRefused End = "refused"
	// EndBroken: the answer broke off after a part of it was forwarded.
	EndBroken End = "broken"
	// EndCallerLeft: the caller closed its connection before the answer was complete.
	EndCallerLeft End = "left"
	// EndProcessEnded: the process ended while it had the request.
	EndProcessEnded End = "cut"
	// EndOpen: lines name the request, but none records its end.
	EndOpen End = "open"
	// EndUnknown: no line names the request.
	EndUnknown End = "unknown"
)

// Cause is how and why a request ended.
type Cause struct {
	End End
	// Kind groups requests with the same reason: the reason without parts that
	// differ from request to request. It is empty if the log names no reason.
	Kind string
	// Text describes the end in one line for operators.
	Text string
}

// CauseOf returns how and why a request ended. The latest line that records an
// end decides.
func (l *Log) CauseOf(request string) Cause {
	lines := sortByTime(l.requestLines[request])
	if len(lines) == 0 {
		return Cause{
			End:  EndUnknown,
			Text: "no line names the request: it reached none of these processes, or its lines were dropped",
		}
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if cause, found := causeFromLine(lines[i], lines[:i]); found {
			return cause
		}
	}
	return l.causeWithoutEnd(lines[len(lines)-1])
}

// causeFromLine returns the cause if the line records a request's end. The
// request's earlier lines add its failed attempts.
func causeFromLine(line Line, earlier []Line) (cause Cause, found bool) {
	switch line.number() {
	case events.CallServed.Number, events.RequestServed.Number:
		return Cause{
			End:  EndServed,
			Kind: fmt.Sprintf("status %d", line.count("status")),
			Text: describeServed(line),
		}, true
	case events.CallRefused.Number, events.RequestRefused.Number:
		return Cause{
			End:  EndRefused,
			Kind: strings.TrimSpace(line.text("code") + " " + stablePrefix(reasonOf(line)) + lastFailedAttempt(earlier)),
			Text: fmt.Sprintf("refused: %s: %s (%s)%s", line.text("code"), reasonOf(line), line.text("outcome"), failedAttempts(earlier)),
		}, true
	case events.CallBroken.Number, events.RequestBroken.Number, events.RequestCut.Number:
		return Cause{
			End:  EndBroken,
			Kind: strings.TrimSpace(line.text("code") + " " + stablePrefix(reasonOf(line)) + lastFailedAttempt(earlier)),
			Text: fmt.Sprintf("broken off midway: %s %s%s", line.text("code"), reasonOf(line), failedAttempts(earlier)),
		}, true
	case events.CallPanicked.Number:
		return Cause{
			End:  EndBroken,
			Kind: "fault in the code",
			Text: "ended by a fault in the code: " + line.text("panic"),
		}, true
	case events.CallerLeft.Number:
		return Cause{
			End:  EndCallerLeft,
			Kind: "while " + stage(earlier),
			Text: "the caller left while " + stage(earlier) + failedAttempts(earlier),
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

// causeWithoutEnd returns the cause for a request without a line that records its
// end: its process ended or dropped log lines afterwards, or the log stops.
func (l *Log) causeWithoutEnd(last Line) Cause {
	if found, ok := l.firstStateEventAfter(last, events.Started.Number, events.Stopped.Number, events.LinesDropped.Number); ok {
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
		Text: "no line records the end: the process did not start again, or its log stops",
	}
}

// describeServed describes a served request, with its latencies if it was streamed.
func describeServed(line Line) string {
	text := fmt.Sprintf("served by %s, status %d", line.text("server"), line.count("status"))
	if _, streamed := line.Fields["firstMs"]; streamed {
		text += fmt.Sprintf(", first event after %d ms, longest pause %d ms, waited %d ms for its adapter",
			line.count("firstMs"), line.count("pauseMs"), line.count("placedMs"))
	}
	return text
}

// reasonOf returns a line's reason, from the first of its fields that has one.
func reasonOf(line Line) string {
	for _, field := range []string{"reason", "message", "error"} {
		if text := line.text(field); text != "" {
			return text
		}
	}
	return ""
}

// stage returns how far a request had come according to its lines. The text
// follows "while".
func stage(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		switch lines[i].number() {
		case events.CallRouted.Number, events.RequestRouted.Number, events.RequestDispatch.Number, events.ServiceRouted.Number:
			return "a backend server was running it"
		case events.StreamResumed.Number:
			return "another model worker was resuming its stream"
		case events.CallRetried.Number, events.RequestRetried.Number:
			if willRetry, found := lines[i].Fields["again"].(bool); !found || willRetry {
				return "another backend server was being chosen"
			}
		}
	}
	return "it waited for a backend server"
}

// lastFailedAttempt returns the reason of the last failed attempt, to be
// appended to a kind.
func lastFailedAttempt(earlier []Line) string {
	for i := len(earlier) - 1; i >= 0; i-- {
		if earlier[i].number() == events.CallRetried.Number {
			return " after " + stablePrefix(reasonOf(earlier[i]))
		}
	}
	return ""
}

// failedAttempts lists the failed attempts and placement requests, to be
// appended to a cause's text.
func failedAttempts(earlier []Line) (text string) {
	for _, line := range earlier {
		switch line.number() {
		case events.CallRetried.Number:
			text += fmt.Sprintf("; server %s: %s", line.text("server"), reasonOf(line))
		case events.PlacementFailed.Number:
			text += "; the placement request for its adapter failed: " + reasonOf(line)
		}
	}
	return text
}

// stablePrefix returns the words before the first one with a digit. Ids and
// numbers differ from request to request, so the prefix groups equal reasons.
func stablePrefix(reason string) string {
	words := strings.Fields(reason)
	for i, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			return strings.Join(words[:i], " ")
		}
	}
	return strings.Join(words, " ")
}
