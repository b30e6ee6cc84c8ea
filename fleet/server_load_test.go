package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestBusyServerIsPreferredToUnreachable guards against calls in a cut-off domain
// that try the unreachable servers of other domains before busy local ones.
func TestBusyServerIsPreferredToUnreachable(t *testing.T) {
	scenarios := []struct {
		name  string
		after time.Duration
		want  string
	}{
		{name: "immediately after the failure", want: "near"},
		{name: "one second later", after: time.Second, want: "near"},
		{name: "after the failure rate decayed", after: 20 * time.Second, want: "far"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			board.SetServers(map[string]pomelospring.FleetServer{
				"near": {ID: "near", Service: "app", Domain: "north", Slots: 6},
				"far":  {ID: "far", Service: "app", Domain: "south", Slots: 6},
			}, start)
			for range 8 {
				board.BeginCall("near", "", 0)
			}
			board.RecordUnreachable("far", start)
			candidates := board.Candidates("app", &pomelospring.Call{}, nil, start.Add(scenario.after))
			choice := dispatch.Choose(candidates, dispatch.Requirements{
				Domain: "north",
			})
			if diff := cmp.Diff(scenario.want, choice.Candidate.Server.ID); diff != "" {
				t.Error(diff)
			}
		})
	}
}
