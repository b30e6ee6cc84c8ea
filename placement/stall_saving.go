// Package placement decides which adapter to load on which model worker, and
// what to evict for it.
package placement

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// replicaBacklog is how many requests must wait for an adapter, per
	// replica, before another replica is worth a load.
	replicaBacklog = 8
	// agingTime is how long a request waits until it counts as much as one
	// more request.
	agingTime = 500 * time.Millisecond
	// horizon is how far ahead expected requests count towards a load.
	horizon = time.Second
)

// StallSaving spends each load where it saves most waiting, and evicts what is
// expected to be asked for least.
type StallSaving struct{}

var _ pomelospring.Placer = StallSaving{}

// Place implements pomelospring.Placer.
func (s StallSaving) Place(view pomelospring.PlacementView) (placement pomelospring.Placement, found bool) {
	var best float64
	for _, demand := range view.Demands {
		value := saving(demand, view.Now)
		if value <= best {
			continue
		}
		if server, evict, fits := cheapest(demand, view); fits {
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

// saving estimates how much waiting a load of the adapter ends.
func saving(demand pomelospring.DemandView, now time.Time) float64 {
	if demand.Replicas > 0 && demand.Waiting.Count < replicaBacklog*demand.Replicas {
		return 0
	}
	age := now.Sub(demand.Waiting.Oldest).Seconds() / agingTime.Seconds()
	count := float64(demand.Waiting.Count) + demand.Rate*horizon.Seconds()
	return (count + age) / float64(1+demand.Replicas)
}

// cheapest finds the model worker where the load displaces least.
func cheapest(demand pomelospring.DemandView, view pomelospring.PlacementView) (server string, evict pomelospring.AdapterVersion, found bool) {
	var lowest float64
	for _, candidate := range view.Servers {
		if excluded(demand, candidate) {
			continue
		}
		victim, cost, fits := displace(candidate)
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

// displace finds what a load on a server would evict and what that costs, as
// the rate of requests that would then stall. A free slot costs nothing.
func displace(server pomelospring.ServerView) (victim pomelospring.AdapterVersion, cost float64, fits bool) {
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
