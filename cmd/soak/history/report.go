package history

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Report sums up a soak.
type Report struct {
	Seed     uint64         `json:"seed"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// SlowestRecovery is the longest of all recoveries.
	SlowestRecovery Recovery    `json:"slowestRecovery"`
	Violations      []Violation `json:"violations"`
}

// NewReport sums up and judges a history.
func NewReport(seed uint64, h *History) Report {
	report := Report{
		Seed:       seed,
		Outcomes:   map[string]int{},
		Faults:     map[string]int{},
		Violations: Judge(h),
	}
	for _, r := range h.Requests {
		report.Outcomes[outcome(r)]++
	}
	for _, f := range h.Faults {
		report.Faults[f.Kind]++
	}
	for _, r := range h.Recoveries {
		slowest := report.SlowestRecovery
		if r.End.IsZero() || r.End.Sub(r.Begin) > slowest.End.Sub(slowest.Begin) {
			report.SlowestRecovery = r
		}
		if r.End.IsZero() {
			break
		}
	}
	return report
}

func outcome(r Request) string {
	switch {
	case r.Unreached:
		return "unreached"
	case r.Status == 0:
		return "noAnswer"
	case r.Status == http.StatusOK && len(r.Events) < r.EventCount:
		return "brokenOff"
	case r.Status == http.StatusOK:
		return "served"
	}
	return fmt.Sprint("status", r.Status)
}

// Verdict is "kept" or "broken".
func (r Report) Verdict() string {
	if len(r.Violations) > 0 {
		return "broken"
	}
	return "kept"
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %s\n", r.Seed, r.Verdict())
	printCounts(w, "requests", r.Outcomes)
	printCounts(w, "faults", r.Faults)
	fmt.Fprintf(w, "slowest recovery: %s, %s\n", r.SlowestRecovery.Subject, r.SlowestRecovery.End.Sub(r.SlowestRecovery.Begin).Round(time.Millisecond))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "broken: %s: %s\n", v.Check, v.Text)
	}
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	fmt.Fprintf(w, "%s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s=%d", name, counts[name])
	}
	fmt.Fprintln(w)
}
