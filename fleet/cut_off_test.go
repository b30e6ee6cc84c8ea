package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestDomainCutOffDetection guards against calls that try the servers of a cut-off
// failure domain one after the other, with a connect timeout of 300 ms each.
func TestDomainCutOffDetection(t *testing.T) {
	const cutOffDuration = time.Second
	type step func(b *fleet.Board, now time.Time)
	timeout := func(server string) step {
		return func(b *fleet.Board, now time.Time) { b.RecordConnectTimeout(server, now) }
	}
	leaderTimeout := func(b *fleet.Board, _ time.Time) { b.RecordLeaderTimeout("south") }
	contact := func(b *fleet.Board, now time.Time) { b.RecordContact("south", now) }
	scenarios := []struct {
		name  string
		steps []step
		after time.Duration
		want  bool
	}{
		{name: "no timeouts"},
		{name: "repeated timeouts of one server", steps: []step{timeout("s1"), timeout("s1")}},
		{name: "repeated timeouts of the leader alone", steps: []step{leaderTimeout, leaderTimeout, leaderTimeout}},
		{name: "timeouts of two servers", steps: []step{timeout("s1"), timeout("s2")}, want: true},
		{name: "timeouts of a server and the leader", steps: []step{leaderTimeout, timeout("s1")}, want: true},
		{name: "contact between two timeouts", steps: []step{timeout("s1"), contact, timeout("s2")}},
		{name: "contact after two timeouts", steps: []step{timeout("s1"), timeout("s2"), contact}},
		{name: "the cut-off duration has passed", steps: []step{timeout("s1"), timeout("s2")}, after: cutOffDuration},
		{name: "the instance's own domain", steps: []step{timeout("n1"), timeout("n2")}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := fleet.NewBoard("north")
			b.SetServers(map[string]pomelospring.FleetServer{
				"n1": {ID: "n1", Service: "app", Domain: "north"},
				"n2": {ID: "n2", Service: "app", Domain: "north"},
				"s1": {ID: "s1", Service: "app", Domain: "south"},
				"s2": {ID: "s2", Service: "app", Domain: "south"},
			}, start)
			for _, step := range s.steps {
				step(b, start)
			}
			now := start.Add(s.after)
			if diff := cmp.Diff(s.want, b.CutOff("south", now)); diff != "" {
				t.Error(diff)
			}
			if b.CutOff("north", now) {
				t.Error("the instance's own domain counts as cut off")
			}
			want := 4
			if s.want {
				want = 2
			}
			if got := len(b.Candidates("app", &pomelospring.Call{}, nil, now)); got != want {
				t.Errorf("%d candidates, want %d", got, want)
			}
		})
	}
}

func TestCallWithoutAdapterFallsBackToCutOffDomain(t *testing.T) {
	b := fleet.NewBoard("north")
	b.SetServers(map[string]pomelospring.FleetServer{
		"s1": {ID: "s1", Service: "app", Domain: "south"},
		"s2": {ID: "s2", Service: "app", Domain: "south"},
	}, start)
	b.RecordConnectTimeout("s1", start)
	b.RecordConnectTimeout("s2", start)
	if got := len(b.Candidates("app", &pomelospring.Call{}, nil, start)); got != 2 {
		t.Errorf("%d candidates", got)
	}
}

func TestUnreportedLoad(t *testing.T) {
	scenarios := []struct {
		name      string
		calls     int
		instances int
		after     time.Duration
		maxLoad   time.Duration
		minLoad   time.Duration
	}{
		{name: "no demand", instances: 79},
		{name: "a single instance has no unreported load", calls: 20, instances: 1},
		{
			// 20 calls of 9,000 tokens here count as 25,000 tokens/s. The 78 other
			// instances send as much for 0.3 s, prefilled at 32,000 tokens/s.
			name: "a popular adapter", calls: 20, instances: 79, minLoad: 15 * time.Second, maxLoad: 20 * time.Second,
		},
		{name: "demand decays", calls: 20, instances: 79, after: 50 * time.Second, maxLoad: 20 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := fleet.NewBoard("north")
			b.SetReportStaleness(s.instances, 300*time.Millisecond)
			for range s.calls {
				b.RecordDemand("m/x", 9000, start)
			}
			got := b.UnreportedLoad("m/x", start.Add(s.after))
			if got < s.minLoad || got > s.maxLoad {
				t.Errorf("unreported load is %s, want %s to %s", got, s.minLoad, s.maxLoad)
			}
		})
	}
}
