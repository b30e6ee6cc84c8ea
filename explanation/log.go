package explanation

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// maxLineBytes bounds one log line; a longer one counts as unreadable.
const maxLineBytes = 1 << 20

// Log holds the log lines of any number of processes that help to explain
// requests.
type Log struct {
	// Unreadable counts lines that are too long or are no valid log line.
	Unreadable int
	// requestLines are the lines that name a request, by request id.
	requestLines map[string][]Line
	// stateEvents are the lines that change what a process knows about itself
	// and the system, by process.
	stateEvents map[string][]Line
}

// NewLog returns a log without lines.
func NewLog() *Log {
	return &Log{
		requestLines: map[string][]Line{},
		stateEvents:  map[string][]Line{},
	}
}

// Read adds the lines of a file.
func (l *Log) Read(file string, from io.Reader) (err error) {
	defer pomelospring.Annotate(&err, "read the log %s", file)
	reader := bufio.NewReader(from)
	for {
		text, err := reader.ReadBytes('\n')
		if len(text) > 0 {
			l.addLine(file, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("after %d requests: %w", len(l.requestLines), err)
		}
	}
}

// addLine files a line under its request, or under its process if it is a state
// event, and ignores other lines.
func (l *Log) addLine(file string, text []byte) {
	if strings.TrimSpace(string(text)) == "" {
		return
	}
	if len(text) > maxLineBytes {
		l.Unreadable++
		return
	}
	line, wasCut, ok := parse(file, text)
	if wasCut || !ok {
		l.Unreadable++
	}
	if !ok {
		return
	}
	if request := line.text("request"); request != "" {
		l.requestLines[request] = append(l.requestLines[request], line)
		return
	}
	if isStateEvent(line.number()) {
		l.stateEvents[line.Process] = append(l.stateEvents[line.Process], line)
	}
}

// Requests returns the ids of all requests that lines name, sorted.
func (l *Log) Requests() (ids []string) {
	for id := range l.requestLines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func sortByTime(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(x, y Line) int { return x.At.Compare(y.At) })
	return sorted
}

// isStateEvent reports whether an event changes what a process knows about
// itself and the system.
func isStateEvent(number int) bool {
	switch number {
	case events.Started.Number, events.Stopping.Number, events.Stopped.Number, events.LinesDropped.Number,
		events.ServersListed.Number, events.ServerBroken.Number,
		events.LogUnreachable.Number, events.LeaseLapsed.Number,
		events.DomainCutOff.Number, events.DomainReached.Number,
		events.StoreLost.Number, events.StoreRegained.Number,
		events.LeaderFound.Number, events.LeaderLost.Number,
		events.LeadershipTaken.Number, events.LeadershipLost.Number,
		events.ConfigurationInForce.Number, events.KeysUnverifiable.Number,
		events.PolicyInForce.Number, events.TeamRateChanged.Number, events.SettingsReloaded.Number:
		return true
	}
	return false
}
