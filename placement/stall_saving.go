// Package placement decides which adapter to load on which model worker, and
// what to evict for it.
package placement

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// replicaBacklog is how many requests must wait for an adapter, per
	// replica, before it is loaded on another model worker.
	replicaBacklog = 8
	// agingTime is the waiting time of the oldest request that weighs as much
	// as one more waiting request.
	agingTime = 500 * time.Millisecond
	// demandHorizon is how far ahead expected requests count as waiting.
	demandHorizon = time.Second
)

// StallSaving loads the adapter whose load saves the most waiting, and evicts
// the adapter with the lowest request rate.
type StallSaving struct{}

var _ pomelospring.Placer = StallSaving{}

// Place implements pomelospring.Placer.
func (s StallSaving) Place(view pomelospring.PlacementView) (placement pomelospring.Placement, found bool) {
	var best float64
	for _, demand := range view.Demands {
		value := estimateSaving(demand, view.Now)
		if value <= best {
			continue
		}
		if server, evict, fits := cheapestServer(demand, view); fits {
			best, found = value, true
			placement = pomelospring.Placement{
				Server:  server,
				Adapter: demand.Adapter,
				Evict:   evict,
				Reason:  "most waiting saved",
			}
		}
	}
	return placement, found
}

// estimateSaving estimates how much waiting a load of the adapter saves, as the
// number of waiting and expected requests per replica.
func estimateSaving(demand pomelospring.DemandView, now time.Time) float64 {
	if demand.Replicas > 0 && demand.Waiting.Count < replicaBacklog*demand.Replicas {
		return 0
	}
	age := now.Sub(demand.Waiting.Oldest).Seconds() / agingTime.Seconds()
	count := float64(demand.Waiting.Count) + demand.Rate*demandHorizon.Seconds()
	return (count + age) / float64(1+demand.Replicas)
}

// cheapestServer returns the model worker where the eviction costs least. The
// number of running requests only decides between evictions of about the same
// cost.
func cheapestServer(demand pomelospring.DemandView, view pomelospring.PlacementView) (server string, evict pomelospring.AdapterVersion, found bool) {
	var lowest float64
	for _, candidate := range view.Servers {
		if excluded(demand, candidate) {
			continue
		}
		victim, cost, fits := cheapestVictim(candidate)
		if !fits {
			continue
		}
		cost += float64(candidate.Running) / float64(max(1, candidate.Limit)) / 1000
		if !found || cost < lowest {
			server, evict, lowest, found = candidate.Name, victim, cost, true
		}
	}
	return server, evict, found
}

// excluded reports whether a model worker can't take the adapter: it serves
// another base model, failed to load the adapter recently or already has it.
func excluded(demand pomelospring.DemandView, server pomelospring.ServerView) bool {
	if server.Base != demand.Base {
		return true
	}
	for _, name := range demand.Avoid {
		if name == server.Name {
			return true
		}
	}
	for _, resident := range server.Resident {
		if resident.Adapter == demand.Adapter {
			return true
		}
	}
	return false
}

// cheapestVictim returns the adapter that a load on a model worker evicts, and
// the cost: the rate of requests that stall without that adapter. With a free
// slot nothing is evicted and the cost is 0.
func cheapestVictim(server pomelospring.ServerView) (victim pomelospring.AdapterVersion, cost float64, fits bool) {
	if len(server.Resident) < server.Slots {
		return pomelospring.AdapterVersion{}, 0, true
	}
	if !server.MayEvict {
		return pomelospring.AdapterVersion{}, 0, false
	}
	var oldest time.Time
	for _, resident := range server.Resident {
		if resident.Busy > 0 || resident.Loading || resident.Waiting > 0 {
			continue
		}
		if !fits || resident.Rate < cost || resident.Rate == cost && resident.LastUsed.Before(oldest) {
			victim, cost, oldest, fits = resident.Adapter, resident.Rate, resident.LastUsed, true
		}
	}
	return victim, cost, fits
}
