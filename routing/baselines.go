package routing

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// LeastLoaded sends a request to the least loaded model worker of its own
// failure domain, wherever the adapter is resident. It is a baseline for
// comparison with Affinity.
type LeastLoaded struct {
	Directory *Directory
}

var _ pomelospring.Router = LeastLoaded{}

// Route implements pomelospring.Router.
func (l LeastLoaded) Route(query pomelospring.RouteQuery) (target pomelospring.Target, found bool) {
	d := l.Directory
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best, second *Entry
	for _, entry := range d.servers {
		if entry.Domain != query.Domain || !usable(entry, query) {
			continue
		}
		if best == nil || entry.load() < best.load() || entry.load() == best.load() && entry.Server < best.Server {
			best, second = entry, best
		}
	}
	if best == nil {
		return pomelospring.Target{}, false
	}
	return targetOf(best, second, "least loaded"), true
}

// Rendezvous sends a request to the first usable model worker on the
// consistent-hash ring, from the adapter's hash on. It is a baseline for
// comparison with Affinity.
type Rendezvous struct {
	Directory *Directory
}

var _ pomelospring.Router = Rendezvous{}

// Route implements pomelospring.Router.
func (r Rendezvous) Route(query pomelospring.RouteQuery) (target pomelospring.Target, found bool) {
	d := r.Directory
	d.mu.RLock()
	defer d.mu.RUnlock()
	hash := xxhash.Sum64String(query.Adapter.Adapter) ^ xxhash.Sum64String(query.Adapter.Version)
	entry := firstUsable(d.ring, hash, query)
	if entry == nil {
		return pomelospring.Target{}, false
	}
	return targetOf(entry, nil, "first on the hash ring"), true
}
