package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/quarantine"
)

var start = time.Unix(1_000_000, 0)

// at returns a time in seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// step is a crash of a server during a team's call, or an answer if server is empty.
type step struct {
	seconds float64
	server  string
	team    string
	parts   []string
}

func recordCrash(r *quarantine.Register, server, team string, parts []string, now time.Time) {
	r.RecordCrash(server, []quarantine.Call{{Team: team, Parts: parts}}, now, now)
}

func play(r *quarantine.Register, steps []step) {
	for _, s := range steps {
		if s.server == "" {
			r.RecordOutput(s.parts, at(s.seconds))
			continue
		}
		recordCrash(r, s.server, s.team, s.parts, at(s.seconds))
	}
}

func TestBlockedParts(t *testing.T) {
	crashes := func(count int, team string, parts ...string) (steps []step) {
		for i := range count {
			steps = append(steps, step{seconds: float64(i), server: fmt.Sprintf("%s-%d", team, i), team: team, parts: parts})
		}
		return steps
	}
	scenarios := []struct {
		name  string
		steps []step
		team  string
		now   float64
		// want is whether a call with the parts "first" and "bad" is refused.
		want bool
	}{
		{name: "two crashes", steps: crashes(2, "x", "bad"), team: "x", now: 3},
		{name: "three crashes", steps: crashes(3, "x", "bad"), team: "x", now: 3, want: true},
		{name: "three workers that ended together", steps: []step{
			{server: "s1", team: "x", parts: []string{"bad"}}, {server: "s2", team: "x", parts: []string{"bad"}}, {server: "s3", team: "x", parts: []string{"bad"}},
		}, team: "x", now: 3},
		{name: "one crash that three calls saw", steps: []step{
			{server: "s", team: "x", parts: []string{"bad"}}, {server: "s", team: "x", parts: []string{"bad"}}, {server: "s", team: "x", parts: []string{"bad"}},
		}, team: "x", now: 3},
		{name: "another team's calls alone", steps: crashes(5, "x", "bad"), team: "y", now: 5},
		{name: "calls of two teams", steps: append(crashes(3, "x", "bad"), crashes(1, "y", "bad")...), team: "z", now: 5, want: true},
		{name: "an answer began since", steps: append(crashes(4, "x", "bad"), step{seconds: 4, parts: []string{"bad"}}), team: "x", now: 5},
		{name: "answers began before", steps: append([]step{{parts: []string{"bad"}}}, crashes(5, "x", "bad")...), team: "x", now: 5},
		{name: "answers began long before many crashes", steps: append([]step{{seconds: -1, parts: []string{"bad"}}}, crashes(6, "x", "bad")...), team: "x", now: 6, want: true},
		{name: "a first part that others were answered on", steps: append(crashes(3, "x", "first", "bad"), step{seconds: 3, parts: []string{"first"}}), team: "x", now: 4, want: true},
		{name: "two parts that can't be told apart, both in the call", steps: crashes(3, "x", "first", "bad"), team: "x", now: 3, want: true},
		{name: "two parts that can't be told apart, one in the call", steps: crashes(3, "x", "other", "bad"), team: "x", now: 3},
		{name: "two parts, of which one ends a worker without the other", steps: append(crashes(3, "x", "other", "bad"), step{seconds: 3, server: "s", team: "x", parts: []string{"bad"}}), team: "x", now: 4, want: true},
		{name: "no call for a quarter of an hour", steps: crashes(3, "x", "bad"), team: "x", now: 900},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			r := quarantine.NewRegister()
			play(r, scenario.steps)
			verdict, _, retryAt := r.Judge(scenario.team, []string{"first", "bad"}, at(scenario.now))
			if diff := cmp.Diff(scenario.want, verdict == quarantine.Refused); diff != "" {
				t.Error(diff)
			}
			if scenario.want && !retryAt.After(at(scenario.now)) {
				t.Errorf("to be retried at %s", retryAt)
			}
		})
	}
}

// TestWrongRequestIsBlocked guards against requests that are blocked because others beside
// them ended servers, or because servers ended for a reason of their own, and against the
// one at fault that is not.
func TestWrongRequestIsBlocked(t *testing.T) {
	const bad, sound = "request:1", "request:0"
	// crash is the end of a server under requests, or an answer to them without one.
	type crash struct {
		seconds  float64
		server   string
		requests []string
		resent   bool
	}
	both := []string{bad, sound}
	scenarios := []struct {
		name    string
		crashes []crash
		team    string
		// want is whether the bad and the sound request are blocked.
		want [2]bool
	}{
		{name: "two ends", crashes: []crash{{1, "a", []string{bad}, false}, {2, "b", []string{bad}, false}}},
		{name: "three ends", crashes: []crash{{1, "a", []string{bad}, false}, {2, "b", []string{bad}, false}, {3, "c", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "of another team", team: "y", crashes: []crash{{1, "a", []string{bad}, false}, {2, "b", []string{bad}, false}, {3, "c", []string{bad}, false}}},
		{name: "a rack that lost power", crashes: []crash{{0, "", both, false}, {1, "a", both, false}, {1.05, "b", both, false}, {1.1, "c", both, false}, {1.1, "d", both, false}}},
		{name: "never answered, at three servers at once", crashes: []crash{{1, "a", []string{bad}, false}, {1.05, "b", []string{bad}, false}, {1.05, "c", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "never answered, and a sound one beside it at one of three servers", crashes: []crash{{1, "a", both, false}, {1.05, "b", []string{bad}, false}, {1.05, "c", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "two ends, the second because of the first, and a third", crashes: []crash{{1, "a", []string{bad}, false}, {1.05, "b", []string{bad}, true}, {2, "c", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "a sound one in all ends that is answered", crashes: []crash{{1, "a", both, false}, {2, "b", both, false}, {2.5, "", []string{sound}, false}, {3, "c", both, false}}, want: [2]bool{true, false}},
		{name: "a sound one in all ends that was answered before", crashes: []crash{{0, "", []string{sound}, false}, {1, "a", both, false}, {2, "b", both, false}, {3, "c", both, false}}, want: [2]bool{true, false}},
		{name: "a sound one in all ends but the fourth", crashes: []crash{{1, "a", both, false}, {2, "b", both, false}, {3, "c", both, false}, {4, "d", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "answered long before four ends", crashes: []crash{{0, "", []string{bad}, false}, {1, "a", []string{bad}, false}, {2, "b", []string{bad}, false}, {3, "c", []string{bad}, false}, {4, "d", []string{bad}, false}}, want: [2]bool{true, false}},
		{name: "answered after three ends", crashes: []crash{{1, "a", []string{bad}, false}, {2, "b", []string{bad}, false}, {3, "c", []string{bad}, false}, {4, "", []string{bad}, false}}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			r := quarantine.NewRegister()
			for _, c := range scenario.crashes {
				now := at(c.seconds)
				if c.server == "" {
					r.RecordOutput(c.requests, now)
					continue
				}
				var calls []quarantine.Call
				for _, request := range c.requests {
					calls = append(calls, quarantine.Call{Team: "x", Request: request, Resent: c.resent})
				}
				r.RecordCrash(c.server, calls, now, now)
			}
			team := "x"
			if scenario.team != "" {
				team = scenario.team
			}
			got := [2]bool{r.Blocked(team, []string{bad}, at(5)), r.Blocked(team, []string{sound}, at(5))}
			if got != scenario.want {
				t.Errorf("blocked: %v, want %v", got, scenario.want)
			}
		})
	}
}

// TestBlockLastsWhileItsCallsCome guards against parts that are let through again
// while their calls still come.
func TestBlockLastsWhileItsCallsCome(t *testing.T) {
	r := quarantine.NewRegister()
	for i := range 3 {
		recordCrash(r, fmt.Sprint(i), "x", []string{"bad"}, at(float64(i)))
	}
	for minute := range 120 {
		if verdict, _, _ := r.Judge("x", []string{"bad"}, at(3+float64(minute)*60)); verdict == quarantine.Admitted {
			t.Fatalf("not blocked after %d minutes", minute)
		}
	}
	if verdict, _, _ := r.Judge("x", []string{"bad"}, at(120*60+700)); verdict != quarantine.Admitted {
		t.Error("still blocked long after the last call")
	}
}

// TestTrialsOfBlockedPartsGetRarer checks when calls are let through, and that an
// answer to one ends the block.
func TestTrialsOfBlockedPartsGetRarer(t *testing.T) {
	r := quarantine.NewRegister()
	for i := range 3 {
		recordCrash(r, fmt.Sprint(i), "x", []string{"bad"}, at(float64(i)))
	}
	var trials []float64
	for second := range 4000 {
		now := float64(second + 3)
		if verdict, _, _ := r.Judge("x", []string{"bad"}, at(now)); verdict != quarantine.Trial || !r.BeginTrial("bad", at(now)) {
			continue
		}
		if verdict, _, _ := r.Judge("x", []string{"bad"}, at(now)); verdict != quarantine.Refused || r.BeginTrial("bad", at(now)) {
			t.Errorf("two trials at %g s", now)
		}
		trials = append(trials, now)
		recordCrash(r, fmt.Sprint("trial-", second), "x", []string{"bad"}, at(now))
	}
	if diff := cmp.Diff([]float64{32, 92, 212, 452, 932, 1532, 2132, 2732, 3332, 3932}, trials); diff != "" {
		t.Error(diff)
	}
	r.RecordOutput([]string{"bad"}, at(4533))
	if verdict, _, _ := r.Judge("x", []string{"bad"}, at(4533)); verdict != quarantine.Admitted {
		t.Errorf("verdict %d after an answer", verdict)
	}
}

// exchange lets two registers tell each other what changed since the last time.
func exchange(x, y *quarantine.Register, known map[[2]*quarantine.Register]int64, now time.Time) {
	for _, pair := range [][2]*quarantine.Register{{x, y}, {y, x}} {
		crashes, outputs, version := pair[0].Changes(known[pair])
		known[pair] = version
		pair[1].Merge(crashes, outputs, now)
	}
}

// TestInstancesFindThePartAmongCallsThatRanBesideIt plays calls at several instances
// that exchange through one of them. A worker that ends takes along up to seven sound
// calls; the parts of these must stay open at all instances, and the part at fault must
// be blocked everywhere before five workers have ended.
func TestInstancesFindThePartAmongCallsThatRanBesideIt(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		registers := make([]*quarantine.Register, 6)
		for i := range registers {
			registers[i] = quarantine.NewRegister()
		}
		known := map[[2]*quarantine.Register]int64{}
		sound := func() []string {
			return []string{fmt.Sprintf("first-%d", random.IntN(3)), fmt.Sprintf("subject-%d", random.IntN(40))}
		}
		crashes := 0
		for tick := range 600 {
			now := at(float64(tick) / 10)
			for range 2 {
				registers[random.IntN(6)].RecordOutput(sound(), now)
			}
			parts := []string{fmt.Sprintf("first-%d", random.IntN(3)), "bad", fmt.Sprintf("subject-%d", random.IntN(40))}
			receiver := registers[random.IntN(6)]
			if verdict, _, _ := receiver.Judge("x", parts, now); tick%7 == 0 && verdict != quarantine.Refused {
				server := fmt.Sprint(tick)
				recordCrash(receiver, server, "x", parts, now)
				for range random.IntN(8) {
					recordCrash(registers[random.IntN(6)], server, "x", sound(), now)
				}
				crashes++
			}
			for _, r := range registers[1:] {
				exchange(registers[0], r, known, now)
			}
		}
		if crashes > 5 {
			t.Errorf("seed %d: %d workers ended", seed, crashes)
		}
		for i, r := range registers {
			for part := range 40 {
				for first := range 3 {
					if verdict, block, _ := r.Judge("x", []string{fmt.Sprintf("first-%d", first), fmt.Sprintf("subject-%d", part)}, at(60)); verdict == quarantine.Refused {
						t.Errorf("seed %d: instance %d blocks %v", seed, i, block.Parts)
					}
				}
			}
			if verdict, _, _ := r.Judge("x", []string{"bad"}, at(60)); verdict != quarantine.Refused {
				t.Errorf("seed %d: instance %d does not block the part", seed, i)
			}
		}
	}
}

// TestRegisterIsBounded checks that crashes and outputs without end don't grow what is
// retained or exchanged.
func TestRegisterIsBounded(t *testing.T) {
	r := quarantine.NewRegister()
	for i := range 8_000 {
		now := at(float64(i) / 100)
		parts := make([]string, 100)
		for j := range parts {
			parts[j] = fmt.Sprint(i, "-", j)
		}
		if i%20 == 0 {
			recordCrash(r, fmt.Sprint(i), "x", parts, now)
		}
		r.RecordOutput(parts[:2], now)
	}
	crashes, outputs, _ := r.Changes(0)
	if len(crashes) > 64 || len(outputs) > 64*192 {
		t.Errorf("%d crashes, %d outputs", len(crashes), len(outputs))
	}
	for i := range crashes {
		if len(crashes[i].Suspects) > 192 {
			t.Errorf("%d suspects", len(crashes[i].Suspects))
		}
	}
}

func BenchmarkJudge(b *testing.B) {
	r := quarantine.NewRegister()
	for part := range 20 {
		for i := range 3 {
			recordCrash(r, fmt.Sprint(part, "-", i), "x", []string{fmt.Sprint("bad-", part)}, at(float64(3*part+i)))
		}
	}
	parts := []string{"first", "second", "third"}
	for b.Loop() {
		r.Judge("x", parts, at(61))
	}
}
