package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

const (
	// choices bounds how many replicas of an adapter are compared.
	choices = 8
	// farPenalty is what crossing a failure domain costs, in load.
	farPenalty = 0.15
	// prefixBonus is what a likely cached prompt beginning is worth, in load.
	prefixBonus = 0.25
	// spillLoad is the load from which another replica is made.
	spillLoad = 1.5
	// roomyLoad is the load up to which a server takes another replica.
	roomyLoad = 0.5
)

// Affinity sends a request to a model worker that has the adapter, preferring
// its own failure domain, a cached prompt beginning and low load. An adapter
// that is nowhere goes to the server that the ring names, so that all
// instances load it at the same place.
type Affinity struct {
	Directory *Directory
}

var _ pomelospring.Router = Affinity{}

// Route implements pomelospring.Router.
func (a Affinity) Route(query pomelospring.RouteQuery) (target pomelospring.Target, found bool) {
	d := a.Directory
	d.mu.RLock()
	defer d.mu.RUnlock()
	best, second := pick(d.resident[query.Adapter], query)
	if best != nil && best.load() < spillLoad {
		return targetOf(best, second, "resident"), true
	}
	hash := xxhash.Sum64String(query.Adapter.Adapter) ^ xxhash.Sum64String(query.Adapter.Version)
	if best != nil {
		return spill(d, best, hash, query), true
	}
	if entry := onRing(d.all, hash, query); entry != nil {
		return targetOf(entry, nil, "home of the adapter"), true
	}
	return pomelospring.Target{}, false
}

// spill sends a request past its full replicas to a server of its own failure
// domain that has room, so that the adapter gets another replica there.
func spill(d *Directory, best *Entry, hash uint64, query pomelospring.RouteQuery) pomelospring.Target {
	other := onRing(d.domains[query.Domain], hash, query)
	if other == nil || other.Owner == best.Owner || other.load() > roomyLoad {
		return targetOf(best, other, "resident, full")
	}
	return targetOf(other, best, "spilled from full replicas")
}

// pick compares a bounded sample of the replicas, starting at a place that the
// prompt's beginning names.
func pick(replicas []*Entry, query pomelospring.RouteQuery) (best, second *Entry) {
	if len(replicas) == 0 {
		return nil, nil
	}
	start := int(query.Prefix % uint64(len(replicas)))
	var lowest, next float64
	for i := range min(len(replicas), choices) {
		entry := replicas[(start+i)%len(replicas)]
		if !usable(entry, query) {
			continue
		}
		score := score(entry, query, i == 0)
		switch {
		case best == nil || score < lowest:
			best, second = entry, best
			lowest, next = score, lowest
		case second == nil || score < next:
			second, next = entry, score
		}
	}
	return best, second
}

func score(entry *Entry, query pomelospring.RouteQuery, prefixed bool) float64 {
	score := entry.load()
	if entry.Domain != query.Domain {
		score += farPenalty
	}
	if prefixed && query.Prefix != 0 {
		score -= prefixBonus
	}
	return score
}

func usable(entry *Entry, query pomelospring.RouteQuery) bool {
	return entry.Base == query.Base && !slices.Contains(query.Avoid, entry.Server) && query.Reachable(entry.Owner)
}

// onRing walks from the hash to the first server that is usable.
func onRing(ring []point, hash uint64, query pomelospring.RouteQuery) *Entry {
	start, _ := slices.BinarySearchFunc(ring, hash, comparePoint)
	for i := range ring {
		entry := ring[(start+i)%len(ring)].entry
		if usable(entry, query) {
			return entry
		}
	}
	return nil
}

func targetOf(best, second *Entry, reason string) pomelospring.Target {
	target := pomelospring.Target{
		Server:  best.Server,
		Owner:   best.Owner,
		Address: best.Address,
		Domain:  best.Domain,
		Reason:  reason,
	}
	if second != nil {
		target.RunnerUp = second.Server
	}
	return target
}
