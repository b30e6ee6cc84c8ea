package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestAServerThatCouldNotBeReachedIsLeftForABusyOne is incident inc-baee: in a
// domain that was cut off, calls tried the other domains' servers first.
func TestAServerThatCouldNotBeReachedIsLeftForABusyOne(t *testing.T) {
	scenarios := []struct {
		name  string
		after time.Duration
		want  string
	}{
		{name: "at once", want: "near"},
		{name: "a moment later", after: time.Second, want: "near"},
		{name: "when it may be back", after: 20 * time.Second, want: "far"},
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
