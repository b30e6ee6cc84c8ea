package fleet

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// demandHalfLife lets the demand for an adapter fade; demand moves to
	// others within some ten seconds.
	demandHalfLife = 5 * time.Second
	// demandMemory bounds the adapters whose demand is remembered.
	demandMemory = 2000
)

// demand is a decayed count of prompt tokens that calls of one adapter brought
// to this instance.
type demand struct {
	tokens float64
	at     time.Time
}

func (d demand) rate(now time.Time) float64 {
	faded := d.tokens * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
	return faded * math.Ln2 / demandHalfLife.Seconds()
}

// RecordDemand counts a call of an adapter.
func (b *Board) RecordDemand(adapter string, tokens int64, now time.Time) {
	if adapter == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.demands) >= demandMemory {
		for name, d := range b.demands {
			if now.Sub(d.at) > demandHalfLife {
				delete(b.demands, name)
			}
		}
	}
	known := b.demands[adapter]
	if !known.at.IsZero() {
		known.tokens *= math.Exp2(-now.Sub(known.at).Seconds() / demandHalfLife.Seconds())
	}
	b.demands[adapter] = demand{
		tokens: known.tokens + float64(tokens),
		at:     now,
	}
}

// SetReportStaleness takes in how many instances there are, and how old what they tell of
// their use is on average.
func (b *Board) SetReportStaleness(instances int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = instances
	b.useAge = age
}

// UnreportedLoad estimates the prompts of an adapter, as the time to read them, that
// the other instances sent since what is known of their use. The balancer
// deals callers out by hash, so that this instance's demand stands for theirs.
func (b *Board) UnreportedLoad(adapter string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	asked, known := b.demands[adapter]
	if !known || b.instances < 2 {
		return 0
	}
	tokens := asked.rate(now) * float64(b.instances-1) * b.useAge.Seconds()
	return dispatch.PrefillTime(int64(tokens))
}
