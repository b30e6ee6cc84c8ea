package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

func TestAPathIsWholeOnceProbesSucceedForSomeTime(t *testing.T) {
	const failure, reached, missed = "failure", "reached", "missed"
	type step struct {
		after  time.Duration
		event  string
		broken bool
	}
	scenarios := []struct {
		name  string
		steps []step
	}{
		{name: "one probe is not enough", steps: []step{{0, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}}},
		{name: "a missed probe starts over", steps: []step{{0, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, missed, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}}},
		{name: "a failed call starts over", steps: []step{{0, failure, true}, {500 * time.Millisecond, reached, true}, {100 * time.Millisecond, failure, true}, {400 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}}},
		{name: "after a relapse it takes longer", steps: []step{{0, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}, {time.Second, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}}},
		{name: "long after a recovery it doesn't", steps: []step{{0, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}, {11 * time.Second, failure, true}, {500 * time.Millisecond, reached, true}, {500 * time.Millisecond, reached, false}}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			server := pomelospring.FleetServer{ID: "i-1", Service: "app", Started: now}
			board := fleet.NewBoard("north")
			board.SetServers(map[string]pomelospring.FleetServer{server.ID: server}, now)
			for n, s := range scenario.steps {
				now = now.Add(s.after)
				if s.event == failure {
					board.RecordPathFailure(server, now)
				} else {
					board.RecordPathProbe(server, s.event == reached, now)
				}
				if broken := !board.PathBrokenSince(server.ID).IsZero(); broken != s.broken {
					t.Fatalf("step %d: broken is %t, want %t", n, broken, s.broken)
				}
			}
		})
	}
}

func TestAPathEndsWithTheStartOfItsServer(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	server := pomelospring.FleetServer{ID: "i-1", Service: "app", Started: now}
	restarted := server
	restarted.Started = now.Add(time.Second)
	scenarios := []struct {
		name    string
		servers map[string]pomelospring.FleetServer
		broken  int
	}{
		{name: "the same start", servers: map[string]pomelospring.FleetServer{server.ID: server}, broken: 1},
		{name: "started again", servers: map[string]pomelospring.FleetServer{server.ID: restarted}},
		{name: "gone", servers: map[string]pomelospring.FleetServer{}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			board.SetServers(map[string]pomelospring.FleetServer{server.ID: server}, now)
			board.RecordPathFailure(server, now)
			board.SetServers(scenario.servers, now)
			if diff := cmp.Diff(scenario.broken, len(board.BrokenPaths())); diff != "" {
				t.Errorf("broken paths (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(scenario.broken, len(board.DuePathProbes(8, now.Add(time.Minute)))); diff != "" {
				t.Errorf("due probes (-want +got):\n%s", diff)
			}
		})
	}
}
