package fleet

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// demandHalfLife is the half-life of an adapter's demand; demand moves to
	// other adapters within about ten seconds.
	demandHalfLife = 5 * time.Second
	// maxDemands is the number of adapters above which stale demand is discarded.
	maxDemands = 2000
)

// demand is an exponentially decayed count of the prompt tokens of one adapter's
// calls at this instance.
type demand struct {
	tokens float64
	at     time.Time
}

// rate returns the demand at now in tokens per second.
func (d demand) rate(now time.Time) float64 {
	decayed := d.tokens * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
	return decayed * math.Ln2 / demandHalfLife.Seconds()
}

// RecordDemand adds the prompt tokens of a call to its adapter's demand.
func (b *Board) RecordDemand(adapter string, tokens int64, now time.Time) {
	if adapter == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.demands) >= maxDemands {
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

// SetReportStaleness sets the number of instances and the average age of their
// load reports.
func (b *Board) SetReportStaleness(instances int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = instances
	b.reportAge = age
}

// UnreportedLoad estimates the prompts of an adapter, as prefill time, that the
// other instances sent and that their load reports don't include yet. The load
// balancer assigns callers by hash, so this instance's demand is representative.
func (b *Board) UnreportedLoad(adapter string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	demanded, known := b.demands[adapter]
	if !known || b.instances < 2 {
		return 0
	}
	tokens := demanded.rate(now) * float64(b.instances-1) * b.reportAge.Seconds()
	return dispatch.PrefillTime(int64(tokens))
}
