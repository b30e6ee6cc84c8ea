package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

const (
	// maxComparedReplicas bounds how many replicas of an adapter are scored for
	// one request.
	maxComparedReplicas = 8
	// crossDomainPenalty is added to the load of a server in another failure
	// domain.
	crossDomainPenalty = 0.15
	// cachedPrefixBonus is subtracted from the load of the server that probably
	// has the prompt's prefix in its cache.
	cachedPrefixBonus = 0.25
	// spillOverLoad is the load of the best replica from which on a request may
	// go to a server without the adapter, which then loads it.
	spillOverLoad = 1.5
	// maxNewReplicaLoad is the maximum load of a server that gets a new replica.
	maxNewReplicaLoad = 0.5
)

// Affinity sends a request to a model worker where the adapter is resident,
// preferring the request's failure domain, a cached prompt prefix and low load.
// If the adapter is resident nowhere, the request goes to the first usable
// server on the consistent-hash ring, so that all instances load the adapter on
// the same server.
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
	if best != nil && best.load() < spillOverLoad {
		return targetOf(best, second, "resident"), true
	}
	hash := xxhash.Sum64String(query.Adapter.Adapter) ^ xxhash.Sum64String(query.Adapter.Version)
	if best != nil {
		return spillOver(d, best, hash, query), true
	}
	if entry := firstUsable(d.ring, hash, query); entry != nil {
		return targetOf(entry, nil, "first on the hash ring"), true
	}
	return pomelospring.Target{}, false
}

// spillOver sends a request whose replicas are overloaded to a lightly loaded
// server of its own failure domain, which thereby becomes another replica. If
// there is none, the request goes to the best replica.
func spillOver(d *Directory, best *Entry, hash uint64, query pomelospring.RouteQuery) pomelospring.Target {
	candidate := firstUsable(d.domainRings[query.Domain], hash, query)
	if candidate == nil || candidate.Owner == best.Owner || candidate.load() > maxNewReplicaLoad {
		return targetOf(best, candidate, "resident, overloaded")
	}
	return targetOf(candidate, best, "spilled over from overloaded replicas")
}

// pick returns the two replicas with the lowest scores from a bounded sample.
// The sample starts at an index derived from the prompt's prefix, so that
// requests with the same prefix tend to reach the same cache.
func pick(replicas []*Entry, query pomelospring.RouteQuery) (best, second *Entry) {
	if len(replicas) == 0 {
		return nil, nil
	}
	start := int(query.Prefix % uint64(len(replicas)))
	var lowest, secondLowest float64
	for i := range min(len(replicas), maxComparedReplicas) {
		entry := replicas[(start+i)%len(replicas)]
		if !usable(entry, query) {
			continue
		}
		score := score(entry, query, i == 0)
		switch {
		case best == nil || score < lowest:
			best, second = entry, best
			lowest, secondLowest = score, lowest
		case second == nil || score < secondLowest:
			second, secondLowest = entry, score
		}
	}
	return best, second
}

// score returns the server's load, adjusted for its failure domain and a probably
// cached prefix; lower is better.
func score(entry *Entry, query pomelospring.RouteQuery, probablyCached bool) float64 {
	score := entry.load()
	if entry.Domain != query.Domain {
		score += crossDomainPenalty
	}
	if probablyCached && query.Prefix != 0 {
		score -= cachedPrefixBonus
	}
	return score
}

// usable reports whether a server runs the base model, is not excluded from the
// request and has a reachable owner.
func usable(entry *Entry, query pomelospring.RouteQuery) bool {
	return entry.Base == query.Base && !slices.Contains(query.Avoid, entry.Server) && query.Reachable(entry.Owner)
}

// firstUsable returns the first usable server on the ring from hash on, or nil.
func firstUsable(ring []point, hash uint64, query pomelospring.RouteQuery) *Entry {
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
