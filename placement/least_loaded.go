package placement

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// LeastLoaded loads the adapter with the oldest waiting request on the least
// loaded model worker and evicts the least recently used adapter. It is the
// baseline for StallSaving.
type LeastLoaded struct{}

var _ pomelospring.Placer = LeastLoaded{}

// Place implements pomelospring.Placer.
func (l LeastLoaded) Place(view pomelospring.PlacementView) (placement pomelospring.Placement, found bool) {
	var oldest time.Time
	for _, demand := range view.Demands {
		if demand.Replicas > 0 || found && !demand.Waiting.Oldest.Before(oldest) {
			continue
		}
		if server, evict, fits := leastLoadedServer(demand, view); fits {
			oldest, found = demand.Waiting.Oldest, true
			placement = pomelospring.Placement{
				Server:  server,
				Adapter: demand.Adapter,
				Evict:   evict,
				Reason:  "oldest first, least loaded",
			}
		}
	}
	return placement, found
}

// leastLoadedServer returns the model worker with the fewest running requests
// that can take the adapter, and the adapter to evict there, if any.
func leastLoadedServer(demand pomelospring.DemandView, view pomelospring.PlacementView) (server string, evict pomelospring.AdapterVersion, found bool) {
	lowest := 0
	for _, candidate := range view.Servers {
		if excluded(demand, candidate) || found && candidate.Running >= lowest {
			continue
		}
		if victim, fits := leastRecentlyUsed(candidate); fits {
			server, evict, lowest, found = candidate.Name, victim, candidate.Running, true
		}
	}
	return server, evict, found
}

// leastRecentlyUsed returns the idle adapter to evict from a model worker, the
// zero value if a slot is free. fits is false if the worker has no slot for
// another adapter.
func leastRecentlyUsed(server pomelospring.ServerView) (victim pomelospring.AdapterVersion, fits bool) {
	if len(server.Resident) < server.Slots {
		return pomelospring.AdapterVersion{}, true
	}
	if !server.MayEvict {
		return pomelospring.AdapterVersion{}, false
	}
	var oldest time.Time
	for _, resident := range server.Resident {
		if resident.Busy > 0 || resident.Loading {
			continue
		}
		if !fits || resident.LastUsed.Before(oldest) {
			victim, oldest, fits = resident.Adapter, resident.LastUsed, true
		}
	}
	return victim, fits
}
