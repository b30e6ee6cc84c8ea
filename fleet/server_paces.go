package fleet

import (
	"cmp"
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

// ratioStep is by how much one answer moves the learned quantile of the times of a
// service's answers, relative to their average.
const ratioStep = 1.02

// leaderPaces are the paces of a failure domain's servers as its leader told them, by
// server: those that are not listed are usual.
type leaderPaces struct {
	factors map[string]float64
	version int64
	// until is when they cease to hold; the own observations count after it.
	until time.Time
}

// RecordLoadReport records what a server said of its load.
func (b *Board) RecordLoadReport(server string, report pomelospring.ServerLoadReport, now time.Time) {
	if report.TimeFactor <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, listed := b.servers[server]; listed {
		b.paces.Observe(server, PaceObservation{
			Factor: report.TimeFactor,
			Weight: 1,
			Said:   true,
			At:     now,
		})
	}
}

// RecordAnswerTime records how long a model worker without waiting prompts took from a call
// with uncached prompt tokens to its first output.
func (b *Board) RecordAnswerTime(server string, tokens int64, took time.Duration, now time.Time) {
	if tokens < minMeasuredPrompt || took <= 0 {
		return
	}
	b.mu.Lock()
	took = b.observeTime(server, "", took, b.prefill.PrefillTime(tokens), now)
	b.mu.Unlock()
	b.RecordPrefill(tokens, took)
}

// RecordPlainAnswerTime records how long a server with a free slot took for a call to a
// service without a model.
func (b *Board) RecordPlainAnswerTime(server, service string, took time.Duration, now time.Time) {
	b.mu.Lock()
	usual := dispatch.Speeds{
		PlainCall: b.plainCalls[service],
	}.PlainCallTime()
	took = b.observeTime(server, service, took, usual, now)
	b.mu.Unlock()
	b.RecordPlainCall(service, took)
}

// observeTime records how long work took on a server of a service, whose average is usual.
// It returns how long the work would have taken at the usual pace, as far as the server says
// its own: measured paces are relative to the average that this goes into. The caller holds
// the lock.
func (b *Board) observeTime(server, service string, took, usual time.Duration, now time.Time) (atUsualPace time.Duration) {
	if _, listed := b.servers[server]; !listed || usual <= 0 {
		return took
	}
	if b.paces.Says(server, now) {
		return time.Duration(float64(took) / b.paceOf(server, now))
	}
	ratio := took.Seconds() / usual.Seconds()
	quantile := cmp.Or(b.ratioQuantiles[service], 1)
	if ratio > quantile {
		quantile *= math.Pow(ratioStep, measuredQuantile)
	} else {
		quantile /= math.Pow(ratioStep, 1-measuredQuantile)
	}
	b.ratioQuantiles[service] = quantile
	b.paces.Observe(server, PaceObservation{
		Factor: ratio / quantile,
		Weight: 1,
		At:     now,
	})
	return took
}

// paceOf returns the pace of a server: the leader's, while it answers, or else the own. The
// caller holds the lock.
func (b *Board) paceOf(server string, now time.Time) (factor float64) {
	if paces := b.leaderPaces[b.servers[server].Domain]; paces != nil && now.Before(paces.until) {
		if factor, listed := paces.factors[server]; listed {
			return factor
		}
		return 1
	}
	return b.paces.Of(server, now)
}

// Paces returns the paces of a failure domain's servers that differ from usual, from this
// instance's observations and those reported to it.
func (b *Board) Paces(domain string, now time.Time) (factors map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paces.Update(now)
	factors = map[string]float64{}
	for id := range b.paces.servers {
		if factor := b.paces.Of(id, now); factor != 1 && b.servers[id].Domain == domain {
			factors[id] = factor
		}
	}
	return factors
}

// TakePaceReports lists this instance's observations of a domain's servers since the last
// time.
func (b *Board) TakePaceReports(domain string) (reports []ServerPace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.paces.unreported {
		if b.servers[id].Domain != domain {
			continue
		}
		if report, found := b.paces.TakeReport(id); found {
			reports = append(reports, report)
		}
	}
	return reports
}

// MergePaces takes in observations that other instances report.
func (b *Board) MergePaces(reports []ServerPace, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports {
		if _, listed := b.servers[report.Server]; listed {
			b.paces.Merge(report, now)
		}
	}
}

// PaceChanges lists the paces of a domain's servers that changed after a version, and the
// current version.
func (b *Board) PaceChanges(domain string, since int64) (changed map[string]float64, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed, version = b.paces.Changes(since)
	for id := range changed {
		if b.servers[id].Domain != domain {
			delete(changed, id)
		}
	}
	return changed, version
}

// SetLeaderPaces applies the paces that a domain's leader told, all that differ from usual
// if full is set and else those that changed. A version of 0 says that it tells none.
func (b *Board) SetLeaderPaces(domain string, changed map[string]float64, full bool, version int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == 0 {
		delete(b.leaderPaces, domain)
		return
	}
	paces := b.leaderPaces[domain]
	if paces == nil || full {
		paces = &leaderPaces{
			factors: map[string]float64{},
		}
		b.leaderPaces[domain] = paces
	}
	for id, factor := range changed {
		paces.factors[id] = min(maxPace, max(minPace, factor))
	}
	paces.version = version
	paces.until = now.Add(sharedPaceLifetime)
}

// LeaderPaceVersion returns the version of a domain's paces that its leader told last; 0
// for none that hold.
func (b *Board) LeaderPaceVersion(domain string, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if paces := b.leaderPaces[domain]; paces != nil && now.Before(paces.until) {
		return paces.version
	}
	return 0
}

// endPaces forgets the paces and rooms of earlier starts of servers and of those that are
// not listed.
// The caller holds the lock, and b.servers has the list before.
func (b *Board) endPaces(servers map[string]pomelospring.FleetServer) {
	ended := func(id string) bool {
		server, listed := servers[id]
		return !listed || server.Started.After(b.servers[id].Started)
	}
	for id := range b.paces.servers {
		if ended(id) {
			b.paces.Forget(id)
		}
	}
	for id := range b.rooms.servers {
		if ended(id) {
			b.rooms.Forget(id)
		}
	}
	for _, paces := range b.leaderPaces {
		for id := range paces.factors {
			if ended(id) {
				delete(paces.factors, id)
			}
		}
	}
}
