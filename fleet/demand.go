package fleet

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of an adapter's demand; demand moves to
	// other adapters within about ten seconds.
	demandHalfLife = 5 * time.Second
	// minDemandCalls is how many recent calls at this instance show the demand of
	// its domain. In a large fleet a single one would stand for dozens.
	minDemandCalls = 3.0
	// maxDemands is the number of adapters above which stale demand is discarded.
	maxDemands = 2000
)

// demand is an exponentially decayed count of one adapter's calls at this
// instance, and of their prompt tokens.
type demand struct {
	calls  float64
	tokens float64
	at     time.Time
}

// decayed returns the demand as of now.
func (d demand) decayed(now time.Time) demand {
	factor := math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	return demand{
		calls:  d.calls * factor,
		tokens: d.tokens * factor,
		at:     now,
	}
}

// perSecond converts a decayed count to a rate.
func perSecond(count float64) float64 { return count * math.Ln2 / demandHalfLife.Seconds() }

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
	counted := b.demands[adapter].decayed(now)
	counted.calls++
	counted.tokens += float64(tokens)
	b.demands[adapter] = counted
}

// DomainDemand estimates the calls for an adapter at all instances of this
// domain, per second; 0 if this instance has too few to tell. The load balancer
// assigns callers by hash, so this instance's demand is representative.
func (b *Board) DomainDemand(adapter string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	calls := b.demands[adapter].decayed(now).calls
	if calls < minDemandCalls {
		return 0
	}
	instances := float64(max(1, b.instances)) / float64(max(1, b.index.domains))
	return perSecond(calls) * max(1, instances)
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
	tokens := perSecond(demanded.decayed(now).tokens) * float64(b.instances-1) * b.reportAge.Seconds()
	return b.prefill.PrefillTime(int64(tokens))
}
