package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// at is a position in the store's first era.
func at(offset int64) pomelospring.TopicPosition {
	return pomelospring.TopicPosition{
		Offset: offset,
	}
}

// TestOlderListBringsNoServerBack plays the server lists that several leaders
// relay, and own reads, which arrive in another order than they were read in.
func TestOlderListBringsNoServerBack(t *testing.T) {
	a := pomelospring.FleetServer{ID: "a", Started: start}
	b := pomelospring.FleetServer{ID: "b", Started: start}
	draining := pomelospring.FleetServer{ID: "b", Started: start, Draining: true}
	scenarios := []struct {
		name  string
		apply func(list *fleet.ServerList)
		want  []string
	}{
		{
			name: "a whole list that is older",
			apply: func(list *fleet.ServerList) {
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(20), start)
				list.Relay([]pomelospring.FleetServer{a, b}, nil, true, at(19), start)
			},
			want: []string{"a"},
		},
		{
			name: "an older change of a server that left",
			apply: func(list *fleet.ServerList) {
				list.Relay([]pomelospring.FleetServer{a}, []string{"b"}, false, at(20), start)
				list.Relay([]pomelospring.FleetServer{draining}, nil, false, at(19), start)
			},
			want: []string{"a"},
		},
		{
			name: "an own read that a newer relay overtook",
			apply: func(list *fleet.ServerList) {
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(20), start)
				list.ApplyRead([]pomelospring.KeyedRecord{put("a", "ready"), put("b", "ready")}, true, at(19), 0)
			},
			want: []string{"a"},
		},
		{
			name: "a relay that a newer own read overtook",
			apply: func(list *fleet.ServerList) {
				list.ApplyRead([]pomelospring.KeyedRecord{put("a", "ready")}, true, at(20), 0)
				list.Relay([]pomelospring.FleetServer{b}, nil, false, at(19), start)
			},
			want: []string{"a"},
		},
		{
			name: "a newer list of a leader that holds a server which left here",
			apply: func(list *fleet.ServerList) {
				list.Relay([]pomelospring.FleetServer{a, b}, nil, true, at(20), start)
				list.Relay(nil, []string{"b"}, false, at(21), start)
				list.Relay([]pomelospring.FleetServer{a, {ID: "b", Started: start, Awaited: true}}, nil, true, at(22), start)
			},
			want: []string{"a"},
		},
		{
			name: "a newer list is applied",
			apply: func(list *fleet.ServerList) {
				list.Relay([]pomelospring.FleetServer{a}, nil, true, at(20), start)
				list.Relay([]pomelospring.FleetServer{b}, nil, false, at(21), start)
			},
			want: []string{"a", "b"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			scenario.apply(&fleet.ServerList{
				Board:  board,
				Logger: quiet(),
				Clock:  func() time.Time { return start },
				Decode: decode,
			})
			got := make([]string, 0, len(scenario.want))
			for _, server := range board.Servers() {
				got = append(got, server.ID)
			}
			slices.Sort(got)
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
