package explanation

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pomelospring/pomelospring"
)

// timeForm is how times are printed: all logs of a day, to the millisecond.
const timeForm = "15:04:05.000"

// Print writes the history of one request with the beliefs in force at its
// first line in each process.
func (l *Log) Print(out io.Writer, request string) (err error) {
	defer pomelospring.Annotate(&err, "print the history of %s", request)
	var text strings.Builder
	lines := sortByTime(l.calls[request])
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
			for _, belief := range l.beliefsAt(line, servers, team) {
				fmt.Fprintf(&text, "  believed  %s\n", inWords(belief))
			}
		}
		fmt.Fprintf(&text, "%s\n", inWords(line))
	}
	fmt.Fprintf(&text, "cause: %s\n", l.CauseOf(request).Text)
	fmt.Fprintf(&text, "%d lines could not be read\n", l.Unreadable)
	_, err = io.WriteString(out, text.String())
	return err
}

// PrintCauses writes how many requests ended how and why, the most frequent first.
func (l *Log) PrintCauses(out io.Writer) (err error) {
	defer pomelospring.Annotate(&err, "print the causes")
	type row struct {
		end     End
		kind    string
		count   int
		example string
	}
	rows := map[string]*row{}
	named, failed := 0, 0
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
		failed++
		if cause.Kind != "" {
			named++
		}
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(x, y *row) int { return y.count - x.count })
	var text strings.Builder
	for _, r := range sorted {
		fmt.Fprintf(&text, "%6d  %-8s %s  (%s)\n", r.count, r.end, r.kind, r.example)
	}
	fmt.Fprintf(&text, "%d of %d requests that were not served have a cause in the log; %d lines could not be read\n", named, failed, l.Unreadable)
	_, err = io.WriteString(out, text.String())
	return err
}

// inWords is a line with its fields in order.
func inWords(line Line) string {
	text := fmt.Sprintf("%s %s %d %s", line.At.Format(timeForm), line.Process, line.number(), line.Message)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if name == "event" || name == "request" {
			continue
		}
		text += fmt.Sprintf(" %s=%v", name, line.Fields[name])
	}
	return text
}
