package pacing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/pacing"
)

// TestPartsOfARateMeet guards against instances that divide a rate and send at the same
// time, and against parts that are not used.
func TestPartsOfARateMeet(t *testing.T) {
	const perSecond, length = 4.0, 10 * time.Second
	scenarios := []struct {
		parts    int
		patience time.Duration
		// spread is by how much the time that all know differs among them.
		spread time.Duration
	}{
		{parts: 1},
		{parts: 6},
		{parts: 60},
		{parts: 500},
		{parts: 6, patience: time.Second},
		{parts: 60, patience: time.Second, spread: 250 * time.Millisecond},
		{parts: 500, patience: time.Second, spread: 250 * time.Millisecond},
	}
	for _, scenario := range scenarios {
		t.Run(fmt.Sprint(scenario), func(t *testing.T) {
			parts := make([]pacing.Part, scenario.parts)
			perSlot := map[int]int{}
			count := 0
			for now := start; now.Sub(start) < length; now = now.Add(10 * time.Millisecond) {
				for i := range parts {
					share := pacing.Share{PerSecond: perSecond, Parts: scenario.parts, Phase: float64(i) / float64(scenario.parts)}
					end := start.Add(length + time.Duration(i%5)*scenario.spread/5)
					if turn := parts[i].Reserve("a", share, end, now.Add(scenario.patience), now); turn.Granted {
						count++
						perSlot[int(turn.At.Sub(start)/time.Second)]++
					}
				}
			}
			for slot, calls := range perSlot {
				if most := perSecond*(1+scenario.spread.Seconds()) + 1; float64(calls) > most {
					t.Errorf("%d calls in second %d, want at most %v", calls, slot, most)
				}
			}
			if used := float64(count) / (perSecond * length.Seconds()); used < 0.9 || used > 1.1 {
				t.Errorf("%.2f of the rate was used", used)
			}
		})
	}
}
