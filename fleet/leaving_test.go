package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// leavingIDs lists the servers that a board's instance tells others of.
func leavingIDs(board *fleet.Board) (ids []string) {
	for _, server := range board.LeavingServers("north") {
		ids = append(ids, server.ID)
	}
	return ids
}

// TestLeavingServerGetsNewCallsAgain guards against lists and reports that bring a
// server back which announced that it leaves.
func TestLeavingServerGetsNewCallsAgain(t *testing.T) {
	a := pomelospring.FleetServer{ID: "a", Started: start, Domain: "north"}
	b := pomelospring.FleetServer{ID: "b", Started: start, Domain: "north"}
	restarted, draining := b, b
	restarted.Started = start.Add(time.Second)
	draining.Draining = true
	leaving := fleet.LeavingServer{ID: "b", Started: start}
	ready := []pomelospring.FleetServer{a, b}
	scenarios := []struct {
		name  string
		apply func(list *fleet.ServerList, announce func(server fleet.LeavingServer))
		want  []string
		// shared has the servers that the instance tells others of.
		shared []string
	}{
		{
			name: "the list still has it as ready",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay(ready, nil, true, at(21), start)
			},
			want: []string{"a"}, shared: []string{"b"},
		},
		{
			name: "an older list arrives",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay(ready, nil, true, at(19), start)
			},
			want: []string{"a"}, shared: []string{"b"},
		},
		{
			name: "the list has it as draining and then, from an older state, as ready",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay([]pomelospring.FleetServer{a, draining}, nil, true, at(21), start)
				list.Relay(ready, nil, true, at(22), start)
			},
			want: []string{"a"},
		},
		{
			name: "the list drops it and then, from an older state, has it again",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(21), start.Add(time.Second))
				list.Relay(ready, nil, true, at(22), start.Add(5*time.Second))
			},
			want: []string{"a"}, shared: []string{"b"},
		},
		{
			name: "it announces so before it is listed here",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(21), start)
				announce(leaving)
				list.Relay(ready, nil, true, at(22), start)
			},
			want: []string{"a"}, shared: []string{"b"},
		},
		{
			name: "it was started anew under its name",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay([]pomelospring.FleetServer{a, restarted}, nil, true, at(21), start)
			},
			want: []string{"a", "b"},
		},
		{
			name: "an announcement of before its new start arrives late",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				list.Relay([]pomelospring.FleetServer{a, restarted}, nil, true, at(21), start)
				announce(leaving)
			},
			want: []string{"a", "b"},
		},
		{
			name: "the new start leaves too",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay([]pomelospring.FleetServer{a, restarted}, nil, true, at(21), start)
				announce(fleet.LeavingServer{ID: "b", Started: restarted.Started})
			},
			want: []string{"a"}, shared: []string{"b"},
		},
		{
			name: "it is forgotten long after the list dropped it",
			apply: func(list *fleet.ServerList, announce func(server fleet.LeavingServer)) {
				announce(leaving)
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(21), start.Add(2*time.Minute))
				list.Relay(ready, nil, true, at(22), start.Add(2*time.Minute))
			},
			want: []string{"a", "b"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			list := &fleet.ServerList{
				Board:  board,
				Logger: quiet(),
				Clock:  func() time.Time { return start },
				Decode: decode,
			}
			list.Relay(ready, nil, true, at(20), start)
			notices := fleet.Notices{Board: board, Logger: quiet(), Clock: list.Clock}
			scenario.apply(list, func(server fleet.LeavingServer) { notices.RecordLeaving([]fleet.LeavingServer{server}, "test") })
			candidates := board.Candidates("", &pomelospring.Call{}, nil, start)
			got := make([]string, 0, len(candidates))
			for _, candidate := range candidates {
				got = append(got, candidate.Server.ID)
			}
			slices.Sort(got)
			// Leaders must place nothing on a server that gets no calls from here.
			if diff := cmp.Diff(!slices.Contains(scenario.want, "b"), slices.Contains(board.UnusableServers("", start, start), "b")); diff != "" {
				t.Errorf("unusable: %s", diff)
			}
			if diff := cmp.Diff([][]string{scenario.want, scenario.shared}, [][]string{got, leavingIDs(board)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
