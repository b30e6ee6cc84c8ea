package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestSilentServerIsProbedUntilItAnswers guards against a server that stays out of
// use after it has gone on, and against many calls at one that never does.
func TestSilentServerIsProbedUntilItAnswers(t *testing.T) {
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	scenarios := []struct {
		name string
		// steps prepare a server that got a call at the start.
		steps func(board *fleet.Board)
		// alone is set if there is no other server.
		alone bool
		// used are the times, of some, at which calls may be sent to the server.
		times, used []int
	}{
		{
			name:  "a silent server is left for half a second",
			steps: func(board *fleet.Board) { board.RecordSilence("a", start, at(700)) },
			times: []int{700, 1100, 1200}, used: []int{1200},
		},
		{
			name: "a server that answered another call meanwhile is slow, not silent",
			steps: func(board *fleet.Board) {
				board.RecordAnswer("a", at(300))
				board.RecordSilence("a", start, at(700))
			},
			times: []int{700}, used: []int{700},
		},
		{
			name: "a server that goes on is used at once",
			steps: func(board *fleet.Board) {
				board.RecordSilence("a", start, at(700))
				board.RecordAnswer("a", at(900))
			},
			times: []int{900}, used: []int{900},
		},
		{
			name: "each call without an answer doubles the time to the next",
			steps: func(board *fleet.Board) {
				board.RecordSilence("a", start, at(700))
				board.RecordProbe("a", at(1200))
				board.RecordSilence("a", at(1200), at(1900))
				board.RecordProbe("a", at(2200))
			},
			times: []int{2200, 4100, 4200}, used: []int{4200},
		},
		{
			name: "a later silence begins anew",
			steps: func(board *fleet.Board) {
				board.RecordSilence("a", start, at(700))
				board.RecordProbe("a", at(1200))
				board.RecordAnswer("a", at(1300))
				board.RecordSilence("a", at(2000), at(2700))
			},
			times: []int{2700, 3200}, used: []int{3200},
		},
		{
			name:  "a silent server is used where there is no other",
			steps: func(board *fleet.Board) { board.RecordSilence("a", start, at(700)) },
			alone: true, times: []int{700}, used: []int{700},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			servers := map[string]pomelospring.FleetServer{"a": {ID: "a", Service: "app", Domain: "north", Slots: 6}}
			if !scenario.alone {
				servers["b"] = pomelospring.FleetServer{ID: "b", Service: "app", Domain: "north", Slots: 6}
			}
			board.SetServers(servers, start)
			scenario.steps(board)
			var used []int
			for _, milliseconds := range scenario.times {
				for _, candidate := range board.Candidates("app", &pomelospring.Call{}, nil, at(milliseconds)) {
					if candidate.Server.ID == "a" {
						used = append(used, milliseconds)
					}
				}
			}
			if diff := cmp.Diff(scenario.used, used); diff != "" {
				t.Error(diff)
			}
		})
	}
}
