package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestADomainIsTakenToBeCutOff plays what speaks for a cut: in the zone cuts of
// lalc-signplat-grown trouble-3, calls tried one worker of the cut domain after
// the other, 300 ms each.
func TestADomainIsTakenToBeCutOff(t *testing.T) {
	const cutTime = time.Second
	type step func(b *fleet.Board, now time.Time)
	timeout := func(server string) step {
		return func(b *fleet.Board, now time.Time) { b.RecordConnectTimeout(server, now) }
	}
	silentLeader := func(b *fleet.Board, _ time.Time) { b.RecordLeaderTimeout("south") }
	heard := func(b *fleet.Board, now time.Time) { b.RecordContact("south", now) }
	scenarios := []struct {
		name  string
		steps []step
		after time.Duration
		want  bool
	}{
		{name: "nothing happened"},
		{name: "one server times out", steps: []step{timeout("s1"), timeout("s1")}},
		{name: "a suspended leader alone", steps: []step{silentLeader, silentLeader, silentLeader}},
		{name: "two servers", steps: []step{timeout("s1"), timeout("s2")}, want: true},
		{name: "a server and the leader", steps: []step{silentLeader, timeout("s1")}, want: true},
		{name: "the domain was heard of in between", steps: []step{timeout("s1"), heard, timeout("s2")}},
		{name: "it answers again", steps: []step{timeout("s1"), timeout("s2"), heard}},
		{name: "it is tried again", steps: []step{timeout("s1"), timeout("s2")}, after: cutTime},
		{name: "the own domain never", steps: []step{timeout("n1"), timeout("n2")}},
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
				t.Error("the own domain is cut off")
			}
			want := 4
			if s.want {
				want = 2
			}
			if got := len(b.Candidates("app", &pomelospring.Call{}, nil, now)); got != want {
				t.Errorf("%d candidates, wanted %d", got, want)
			}
		})
	}
}

func TestAPlainCallIsSentIntoACutRatherThanNowhere(t *testing.T) {
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

func TestUnseenDemand(t *testing.T) {
	scenarios := []struct {
		name      string
		calls     int
		instances int
		after     time.Duration
		most      time.Duration
		least     time.Duration
	}{
		{name: "nothing was asked", instances: 79},
		{name: "one instance sees all there is", calls: 20, instances: 1},
		{
			// 20 calls of 9,000 tokens here weigh 25,000 tokens a second; 78 others
			// ask as much, for 0.3 s, at 32,000 tokens a second.
			name: "a popular adapter", calls: 20, instances: 79, least: 15 * time.Second, most: 20 * time.Second,
		},
		{name: "it fades", calls: 20, instances: 79, after: 50 * time.Second, most: 20 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := fleet.NewBoard("north")
			b.SetReportStaleness(s.instances, 300*time.Millisecond)
			for range s.calls {
				b.RecordDemand("m/x", 9000, start)
			}
			got := b.UnreportedLoad("m/x", start.Add(s.after))
			if got < s.least || got > s.most {
				t.Errorf("%s is unseen, wanted %s to %s", got, s.least, s.most)
			}
		})
	}
}
