package fleet

import (
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// maxCandidates bounds the servers that are compared for a call without an adapter,
// half of them in the own failure domain. The best of so many is about as good as the
// best of all.
const maxCandidates = 64

// serverIndex finds the servers that may take a call without a look at all others.
type serverIndex struct {
	// holders counts, by adapter and server, the sources that have the adapter
	// resident there: the leader's report and the server list.
	holders map[string]map[string]int
	pools   map[poolKey]*pool
	// domains is the number of failure domains that have servers.
	domains int
	// software counts the servers by service and software version.
	software map[string]map[string]int
}

// poolKey names the servers of a service, or those of them that hold a base model.
type poolKey struct {
	service string
	model   string
}

// pool lists interchangeable servers that the server list has as ready and that are not
// evacuated, those of the own failure domain apart.
type pool struct {
	own    []string
	others []string
	// pausedUntil is set while all servers of the pool are paused: the end of the
	// first pause.
	pausedUntil time.Time
}

func newServerIndex() serverIndex {
	return serverIndex{
		holders: map[string]map[string]int{},
		pools:   map[poolKey]*pool{},
	}
}

// addHolder records that one more source has an adapter resident on a server.
func (i *serverIndex) addHolder(adapter, server string) {
	servers := i.holders[adapter]
	if servers == nil {
		servers = map[string]int{}
		i.holders[adapter] = servers
	}
	servers[server]++
}

// removeHolder undoes addHolder.
func (i *serverIndex) removeHolder(adapter, server string) {
	servers := i.holders[adapter]
	if servers[server]--; servers[server] > 0 {
		return
	}
	delete(servers, server)
	if len(servers) == 0 {
		delete(i.holders, adapter)
	}
}

// updateListed replaces the adapters that the server list has on a server.
func (i *serverIndex) updateListed(server string, before, after []pomelospring.ResidentAdapter) {
	if slices.Equal(before, after) {
		return
	}
	for _, resident := range before {
		i.removeHolder(resident.Adapter, server)
	}
	for _, resident := range after {
		i.addHolder(resident.Adapter, server)
	}
}

// rebuildPools lists the servers by service and base model, without those in evacuated
// failure domains.
func (i *serverIndex) rebuildPools(servers map[string]pomelospring.FleetServer, ownDomain string, evacuated map[string]bool) {
	i.pools = map[poolKey]*pool{}
	domains := map[string]bool{}
	i.software = map[string]map[string]int{}
	for _, server := range servers {
		domains[server.Domain] = true
		if i.software[server.Service] == nil {
			i.software[server.Service] = map[string]int{}
		}
		i.software[server.Service][server.Software]++
		if server.Draining || evacuated[server.Domain] {
			continue
		}
		i.addToPool(poolKey{service: server.Service}, &server, ownDomain)
		for _, model := range server.Models {
			i.addToPool(poolKey{service: server.Service, model: model}, &server, ownDomain)
		}
	}
	i.domains = len(domains)
}

func (i *serverIndex) addToPool(key poolKey, server *pomelospring.FleetServer, ownDomain string) {
	p := i.pools[key]
	if p == nil {
		p = &pool{}
		i.pools[key] = p
	}
	if server.Domain == ownDomain {
		p.own = append(p.own, server.ID)
		return
	}
	p.others = append(p.others, server.ID)
}

// possible lists the servers that may take a call: those that hold its adapter, or
// those of its service and model.
func (i *serverIndex) possible(service string, call *pomelospring.Call, now time.Time) iter.Seq[string] {
	if call.NeedsAdapter() {
		return maps.Keys(i.holders[call.Adapter])
	}
	p := i.pool(service, call)
	if now.Before(p.pausedUntil) {
		p = &pool{}
	}
	return p.all()
}

// count returns how many servers are listed for a call at most.
func (i *serverIndex) count(service string, call *pomelospring.Call) int {
	if call.NeedsAdapter() {
		return len(i.holders[call.Adapter])
	}
	p := i.pool(service, call)
	return min(maxCandidates, len(p.own)+len(p.others))
}

// pool returns the servers of a service that hold the model of a call.
func (i *serverIndex) pool(service string, call *pomelospring.Call) *pool {
	if p := i.pools[poolKey{service: service, model: call.Model()}]; p != nil {
		return p
	}
	return &pool{}
}

// all lists the pool's servers, in turns from the own domain and from the others, each
// from a random start, so that servers which seem equal get equally many calls.
func (p *pool) all() iter.Seq[string] {
	return func(yield func(id string) bool) {
		ownStart, otherStart := rand.IntN(len(p.own)+1), rand.IntN(len(p.others)+1)
		for i := range max(len(p.own), len(p.others)) {
			if i < len(p.own) && !yield(p.own[(ownStart+i)%len(p.own)]) {
				return
			}
			if i < len(p.others) && !yield(p.others[(otherStart+i)%len(p.others)]) {
				return
			}
		}
	}
}

// forgetPauses discards when the pools accept calls again.
func (i *serverIndex) forgetPauses() {
	for _, p := range i.pools {
		p.pausedUntil = time.Time{}
	}
}

// setResident records in a leader's report that an adapter is resident on a server.
// The caller holds the lock.
func (b *Board) setResident(report *leaderReport, server, adapter string, version int64) {
	residency := report.residency[server]
	if residency == nil {
		residency = map[string]int64{}
		report.residency[server] = residency
	}
	if _, known := residency[adapter]; !known {
		b.index.addHolder(adapter, server)
	}
	residency[adapter] = version
}

// removeResident undoes setResident. The caller holds the lock.
func (b *Board) removeResident(report *leaderReport, server, adapter string) {
	if _, known := report.residency[server][adapter]; !known {
		return
	}
	delete(report.residency[server], adapter)
	b.index.removeHolder(adapter, server)
}

// clearResident removes all adapters of a server from a leader's report. The caller
// holds the lock.
func (b *Board) clearResident(report *leaderReport, server string) {
	for adapter := range report.residency[server] {
		b.index.removeHolder(adapter, server)
	}
	delete(report.residency, server)
}

// updateIndex replaces the servers in the index by those of a new list. The caller
// holds the lock.
func (b *Board) updateIndex(servers map[string]pomelospring.FleetServer, changed bool) {
	for id, server := range servers {
		b.index.updateListed(id, b.servers[id].Resident, server.Resident)
	}
	for id, before := range b.servers {
		if _, listed := servers[id]; !listed {
			b.index.updateListed(id, before.Resident, nil)
		}
	}
	if changed {
		b.index.rebuildPools(servers, b.Domain, b.evacuated)
	}
}
