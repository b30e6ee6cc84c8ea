package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/quota"
)

// A team over its rate whose first ranks come in a flood, too, keeps to its limit before
// the instances know of each other.
func TestFloodOfTheFirstRanks(t *testing.T) {
	const (
		rate, burst = 410_000.0, 410_000.0
		calm        = 8 * time.Second
		length      = 20 * time.Second
		cheap       = 200.0
		large       = 9250.0
	)
	scenarios := []struct {
		name      string
		instances int
		factor    float64
	}{
		{name: "6 instances", instances: 6, factor: 10},
		{name: "78 instances", instances: 78, factor: 5},
		{name: "78 instances, ten times the rate", instances: 78, factor: 10},
		{name: "200 instances", instances: 200, factor: 5},
		{name: "200 instances, ten times the rate", instances: 200, factor: 10},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			f := newFleet(scenario.instances, 2, rate, burst, 1)
			f.interval = exchangeInterval(scenario.instances)
			f.late = true
			random := rand.New(rand.NewPCG(7, 7))
			f.runStart = f.now
			for at := time.Duration(0); at < length; at += step {
				sum := 0.0
				try := func(instance int, factor, tokens float64, priority int) {
					for range poisson(factor*rate*step.Seconds()/tokens/float64(scenario.instances), random) {
						f.calls++
						if f.ask(instance, quota.Request{
							Team:        team,
							Tokens:      tokens,
							UsualTokens: tokens,
							Priority:    priority,
							Call:        fmt.Sprint(f.calls),
						}).Admitted {
							sum += tokens
						}
					}
				}
				for i := range f.ledgers {
					if at < calm {
						try(i, 0.05, cheap, -1)
					} else {
						try(i, scenario.factor, cheap, -1)
					}
					try(i, 2, large, 1)
					f.exchangeIfDue(i, at)
				}
				f.spent = append(f.spent, sum)
				f.now = f.now.Add(step)
			}
			t.Logf("%.3f of the limit at most; %d of %d calls asked a leader", f.maxInWindow()/(rate*window.Seconds()+burst), f.asked, f.calls)
			if maxInWindow := f.maxInWindow(); maxInWindow > maxAllowed(rate, burst) {
				t.Errorf("%.0f tokens in a window, allowed %.0f", maxInWindow, maxAllowed(rate, burst))
			}
		})
	}
}
