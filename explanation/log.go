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

// lineLimit bounds one log line, in bytes; longer ones count as spoiled.
const lineLimit = 1 << 20

// Log holds the lines that matter for requests, of any number of processes.
type Log struct {
	// Unreadable counts lines that can't be read.
	Unreadable int
	// calls are the lines that name a request, by request.
	calls map[string][]Line
	// beliefs are the lines about what a process believes, by process.
	beliefs map[string][]Line
}

// NewLog makes a log without lines.
func NewLog() *Log {
	return &Log{
		calls:   map[string][]Line{},
		beliefs: map[string][]Line{},
	}
}

// Read takes in the lines of a file.
func (l *Log) Read(file string, from io.Reader) (err error) {
	defer pomelospring.Annotate(&err, "read the log %s", file)
	reader := bufio.NewReader(from)
	for {
		text, err := reader.ReadBytes('\n')
		if len(text) > 0 {
			l.take(file, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("after %d requests: %w", len(l.calls), err)
		}
	}
}

func (l *Log) take(file string, text []byte) {
	if strings.TrimSpace(string(text)) == "" {
		return
	}
	if len(text) > lineLimit {
		l.Unreadable++
		return
	}
	line, ok := parse(file, text)
	if !ok {
		l.Unreadable++
		return
	}
	if request := line.text("request"); request != "" {
		l.calls[request] = append(l.calls[request], line)
		return
	}
	if isBelief(line.number()) {
		l.beliefs[line.Process] = append(l.beliefs[line.Process], line)
	}
}

// Requests lists the requests that lines name.
func (l *Log) Requests() (ids []string) {
	for id := range l.calls {
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

// isBelief reports whether an event changes what a process believes.
func isBelief(number int) bool {
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
