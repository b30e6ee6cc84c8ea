package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestOlderReportChangesALimit guards against reports that arrive late, come back to
// where they came from, or are of another start of the server.
func TestOlderReportChangesALimit(t *testing.T) {
	type report struct {
		// after is the time of the answer, and started the start of its server.
		after     time.Duration
		started   time.Duration
		perSecond float64
	}
	scenarios := []struct {
		name    string
		reports []report
		// restarted lists a later start of the server.
		restarted bool
		want      float64
	}{
		{name: "one report", reports: []report{{perSecond: 2}}, want: 2},
		{name: "it falls", reports: []report{{perSecond: 2}, {after: 1, perSecond: 1}}, want: 1},
		{name: "it rises", reports: []report{{perSecond: 2}, {after: 1, perSecond: 5}}, want: 5},
		{name: "it ends", reports: []report{{perSecond: 2}, {after: 1}}, want: 0},
		{name: "it ends, and an older report of it arrives", reports: []report{{after: 1, perSecond: 2}, {after: 3}, {after: 2, perSecond: 2}}, want: 0},
		{name: "it ends, and begins again", reports: []report{{perSecond: 2}, {after: 1}, {after: 2, perSecond: 2}}, want: 2},
		{name: "an older end arrives after a later answer", reports: []report{{perSecond: 2}, {after: 2 * time.Second, perSecond: 2}, {after: time.Second}}, want: 2},
		{name: "an echo seems later than the end", reports: []report{{perSecond: 2}, {after: 300 * time.Millisecond, perSecond: 2}, {after: 200 * time.Millisecond}}, want: 0},
		{name: "no limit was known to end", reports: []report{{}}, want: 0},
		{name: "an earlier start named one", reports: []report{{started: -time.Hour, perSecond: 2}}, want: 0},
		{name: "a later start names none", reports: []report{{perSecond: 2}, {after: time.Second}}, restarted: true, want: 0},
		{name: "the server was started anew", reports: []report{{perSecond: 2}}, restarted: true, want: 0},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			list := func(started time.Time) map[string]pomelospring.FleetServer {
				return map[string]pomelospring.FleetServer{"a": {ID: "a", Service: "llm", Domain: "d0", Started: started}}
			}
			board := fleet.NewBoard("d0")
			board.SetServers(list(start), start)
			for _, r := range scenario.reports {
				board.RecordLimit(fleet.ServerLimit{
					Server:    "a",
					Started:   start.Add(r.started),
					PerSecond: r.perSecond,
					At:        start.Add(r.after),
				}, start)
			}
			if scenario.restarted {
				board.SetServers(list(start.Add(time.Minute)), start)
			}
			if diff := cmp.Diff(scenario.want, board.LimitOf("a")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
