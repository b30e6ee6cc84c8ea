package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/pacing"
)

var start = time.Unix(1000, 0)

// TestScheduleExceedsALimitInSomeWindow guards against more turns in some 4 s than one
// and a half times the limit and 5, and against limits that are not used.
func TestScheduleExceedsALimitInSomeWindow(t *testing.T) {
	const window, length = 4 * time.Second, 120 * time.Second
	for _, limit := range []float64{0.1, 0.5, 1, 1.2, 4, 30, 400} {
		for _, patience := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(limit, patience), func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				schedule := pacing.Schedule{KeepsCredit: true}
				var turns []time.Time
				for now := start; now.Sub(start) < length; now = now.Add(time.Duration(random.ExpFloat64() / (4*limit + 10) * float64(time.Second))) {
					// Quiet times let credit grow.
					if now.Sub(start)/(10*time.Second)%3 == 2 {
						continue
					}
					if turn := schedule.Reserve("a", "x", limit, now.Add(patience), now); turn.Granted {
						turns = append(turns, turn.At)
					}
				}
				first := 0
				for i, at := range turns {
					for at.Sub(turns[first]) >= window {
						first++
					}
					if count, allowed := i+1-first, 1.5*limit*window.Seconds()+5; float64(count) > allowed {
						t.Fatalf("%d turns in 4 s from %s, want at most %v", count, turns[first].Sub(start), allowed)
					}
				}
				if used := float64(len(turns)) / (limit * length.Seconds() * 2 / 3); used < 0.8 {
					t.Errorf("%.2f of the limit was used", used)
				}
			})
		}
	}
}

// TestPartsOfALimitAddUpToMore guards against instances that keep the limit for
// themselves and all begin with a call at once, or use up credit at the same time.
func TestPartsOfALimitAddUpToMore(t *testing.T) {
	const instances, limit = 58, 1.0
	schedules := make([]pacing.Schedule, instances)
	var sends []time.Duration
	for after := time.Duration(0); after < 5*time.Minute; after += 100 * time.Millisecond {
		// All ask at once, but for a long pause in between.
		if after > time.Minute && after < 3*time.Minute {
			continue
		}
		for i := range schedules {
			now := start.Add(after + time.Duration(i)*time.Millisecond)
			if schedules[i].Reserve("a", "x", limit/instances, now, now).Granted {
				sends = append(sends, after)
			}
		}
	}
	// Each instance sends at most once in an interval.
	if most := int(limit * (3*time.Minute + instances*time.Second).Seconds()); len(sends) == 0 || len(sends) > most {
		t.Errorf("%d sends, want 1 to %d", len(sends), most)
	}
	for _, at := range sends {
		if at < instances*time.Second || at > 3*time.Minute && at < 3*time.Minute+instances*time.Second {
			t.Fatalf("a send %s after the start", at)
		}
	}
}

// TestLaterTurnIsGiven guards against a turn that the caller can't wait for, and against
// one that is lost because of that.
func TestLaterTurnIsGiven(t *testing.T) {
	schedule := pacing.Schedule{KeepsCredit: true}
	at := func(after time.Duration, patience time.Duration) (granted bool, wait, next time.Duration) {
		turn := schedule.Reserve("a", "x", 2, start.Add(after+patience), start.Add(after))
		return turn.Granted, turn.At.Sub(start.Add(after)), turn.NextAt.Sub(start.Add(after))
	}
	type result struct {
		Granted    bool
		Wait, Next time.Duration
	}
	calls := []struct{ after, patience time.Duration }{
		{after: 0},
		{after: 0, patience: 500 * time.Millisecond},
		{after: 0, patience: 500 * time.Millisecond},
		{after: 0, patience: time.Second},
		{after: 10 * time.Second},
		{after: 10 * time.Second},
		{after: 10 * time.Second},
	}
	got := make([]result, 0, len(calls))
	for _, call := range calls {
		granted, wait, next := at(call.after, call.patience)
		got = append(got, result{granted, wait, next})
	}
	half := 500 * time.Millisecond
	want := []result{
		{false, half, half},
		{true, half, 2 * half},
		{false, 2 * half, 2 * half},
		{true, 2 * half, 3 * half},
		{true, 0, 0},
		{true, 0, half},
		{false, half, half},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
