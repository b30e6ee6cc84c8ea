package explanation

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pomelospring/pomelospring"
)

// timeFormat prints times without the date: the logs are expected to be of one day.
const timeFormat = "15:04:05.000"

// Print writes the history of one request in order of time, preceded for each
// process by what it believed about the system at its first line, and the cause
// of the request's end.
func (l *Log) Print(out io.Writer, request string) (err error) {
	defer pomelospring.Annotate(&err, "print the history of %s", request)
	var text strings.Builder
	lines := sortByTime(l.requestLines[request])
	servers, team := map[string]bool{}, ""
	for _, line := range lines {
		if server := line.text("server"); server != "" {
			servers[server] = true
		}
		if name := line.text("team"); name != "" {
			team = name
		}
	}
	seen := map[string]bool{}
	for _, line := range lines {
		if !seen[line.Process] {
			seen[line.Process] = true
			for _, stateEvent := range l.stateAt(line, servers, team) {
				fmt.Fprintf(&text, "  believed  %s\n", formatLine(stateEvent))
			}
		}
		fmt.Fprintf(&text, "%s\n", formatLine(line))
	}
	fmt.Fprintf(&text, "cause: %s\n", l.CauseOf(request).Text)
	fmt.Fprintf(&text, "%d lines could not be read\n", l.Unreadable)
	_, err = io.WriteString(out, text.String())
	return err
}

// PrintCauses writes a table of the requests' ends and causes with their counts,
// the most frequent first, and an example request for each.
func (l *Log) PrintCauses(out io.Writer) (err error) {
	defer pomelospring.Annotate(&err, "print the causes")
	type row struct {
		end     End
		kind    string
		count   int
		example string
	}
	rows := map[string]*row{}
	explained, notServed := 0, 0
	for _, request := range l.Requests() {
		cause := l.CauseOf(request)
		key := string(cause.End) + " " + cause.Kind
		if rows[key] == nil {
			rows[key] = &row{
				end:     cause.End,
				kind:    cause.Kind,
				example: request,
			}
		}
		rows[key].count++
		if cause.End == EndServed {
			continue
		}
		notServed++
		if cause.Kind != "" {
			explained++
		}
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(x, y *row) int { return y.count - x.count })
	var text strings.Builder
	for _, r := range sorted {
		fmt.Fprintf(&text, "%6d  %-8s %s  (%s)\n", r.count, r.end, r.kind, r.example)
	}
	fmt.Fprintf(&text, "%d of %d requests that were not served have a cause in the log; %d lines could not be read\n", explained, notServed, l.Unreadable)
	_, err = io.WriteString(out, text.String())
	return err
}

// formatLine returns a line as text with its fields sorted by name.
func formatLine(line Line) string {
	text := fmt.Sprintf("%s %s %d %s", line.At.Format(timeFormat), line.Process, line.number(), line.Message)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if name == "event" || name == "request" {
			continue
		}
		text += fmt.Sprintf(" %s=%v", name, line.Fields[name])
	}
	return text
}
