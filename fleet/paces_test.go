package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/fleet"
)

// TestPaceFollowsTheServer plays a server that works at a changing pace, and observes it as
// answers come. The pace known is to be that of the server from convergence after a lasting
// change, and is not to follow what lasts half a second.
func TestPaceFollowsTheServer(t *testing.T) {
	const convergence = 3 * time.Second
	noise := func(at time.Duration) float64 {
		if at%(4*time.Second) < 600*time.Millisecond {
			return 2.5
		}
		return 1
	}
	steady := func(time.Duration) float64 { return 1 }
	scenarios := []struct {
		name string
		// every is the time between answers.
		every time.Duration
		// lasting is the pace of the server, and moment the noise.
		lasting func(at time.Duration) float64
		moment  func(at time.Duration) float64
		// measured says that the server doesn't say its pace.
		measured bool
	}{
		{name: "fast", every: 200 * time.Millisecond, lasting: func(time.Duration) float64 { return 0.5 }, moment: steady},
		{name: "usual", every: 200 * time.Millisecond, lasting: steady, moment: steady},
		{name: "slow", every: 200 * time.Millisecond, lasting: func(time.Duration) float64 { return 1.3 }, moment: steady},
		{name: "slow, in its answers' times", every: 200 * time.Millisecond, lasting: func(time.Duration) float64 { return 2 }, moment: steady, measured: true},
		{name: "with noise", every: 200 * time.Millisecond, lasting: steady, moment: noise},
		{name: "with noise, many answers", every: 10 * time.Millisecond, lasting: steady, moment: noise},
		{name: "four times slower and back, with noise, many answers", every: 10 * time.Millisecond, lasting: slowFrom(10 * time.Second), moment: noise},
		{name: "slow, with noise", every: 100 * time.Millisecond, lasting: func(time.Duration) float64 { return 1.2 }, moment: noise},
		{name: "four times slower and back", every: 200 * time.Millisecond, lasting: slowFrom(10 * time.Second), moment: steady},
		{name: "four times slower and back, with noise", every: 100 * time.Millisecond, lasting: slowFrom(10 * time.Second), moment: noise},
		{name: "four times slower and back, in its answers' times", every: 200 * time.Millisecond, lasting: slowFrom(10 * time.Second), moment: steady, measured: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			paces := fleet.NewPaces()
			changedAt, before := time.Duration(0), scenario.lasting(0)
			for at := time.Duration(0); at < 40*time.Second; at += scenario.every {
				want := scenario.lasting(at)
				if want != before {
					changedAt, before = at, want
				}
				paces.Observe("s", fleet.PaceObservation{
					Factor: want * scenario.moment(at),
					Weight: 1,
					Said:   !scenario.measured,
					At:     start.Add(at),
				})
				got := paces.Of("s", start.Add(at))
				if at-changedAt >= convergence && math.Abs(math.Log(got/want)) > math.Log(fleet.PaceStep) {
					t.Fatalf("%s after a change to %.1f, the pace known is %.2f", at-changedAt, want, got)
				}
			}
		})
	}
}

// slowFrom returns the pace of a server that turns four times slower at a time, for 10 s.
func slowFrom(begin time.Duration) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= begin && at < begin+10*time.Second {
			return 4
		}
		return 1
	}
}

// TestUnknownPaceIsUsual guards against paces from too little, too old or odd evidence.
func TestUnknownPaceIsUsual(t *testing.T) {
	observe := func(factor float64, count int, said bool) *fleet.Paces {
		paces := fleet.NewPaces()
		for range count {
			paces.Observe("s", fleet.PaceObservation{Factor: factor, Weight: 1, Said: said, At: start})
		}
		return paces
	}
	scenarios := []struct {
		name  string
		paces *fleet.Paces
		after time.Duration
		low   float64
		high  float64
	}{
		{name: "nothing observed", paces: fleet.NewPaces(), low: 1, high: 1},
		{name: "one answer that says so", paces: observe(3, 1, true), low: 1, high: 1},
		{name: "three answers' times", paces: observe(3, 3, false), low: 1, high: 1},
		{name: "answers' times near the usual", paces: observe(1.4, 20, false), low: 1, high: 1},
		{name: "malformed figures", paces: observe(math.NaN(), 20, true), low: 1, high: 1},
		{name: "a figure beyond all bounds", paces: observe(1e9, 20, true), low: 4, high: 10},
		{name: "a minute without answers", paces: observe(4, 20, true), after: time.Minute, low: 1, high: fleet.PaceStep},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if got := scenario.paces.Of("s", start.Add(scenario.after)); got < scenario.low || got > scenario.high {
				t.Errorf("the pace is %.2f, not from %.2f to %.2f", got, scenario.low, scenario.high)
			}
		})
	}
}
