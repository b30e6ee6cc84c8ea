package fleet

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// leavingRetention is how long a server that announced that it leaves is
	// remembered once it is not listed, as an older list may still arrive.
	leavingRetention = time.Minute
	// maxSharedServers bounds the servers named in one message to a leader.
	maxSharedServers = 256
)

// LeavingServer is one start of a backend server that announced that it leaves.
type LeavingServer struct {
	ID      string
	Started time.Time
}

// leavingServer is what is known of a server that announced that it leaves.
type leavingServer struct {
	started time.Time
	// listed is set if the server list has this start of the server, and not as
	// draining. retainedUntil is when the server is forgotten otherwise.
	listed        bool
	retainedUntil time.Time
}

// RecordLeaving records that a server announced that it leaves, and reports whether
// this takes it out of use. An older start than the listed one changes nothing.
func (b *Board) RecordLeaving(leaving LeavingServer, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server, listed := b.servers[leaving.ID]
	if listed && server.Started.After(leaving.Started) {
		return false
	}
	if known := b.leaving[leaving.ID]; known != nil && !known.started.Before(leaving.Started) {
		return false
	}
	b.leaving[leaving.ID] = &leavingServer{
		started:       leaving.Started,
		listed:        listed && !server.Draining,
		retainedUntil: now.Add(leavingRetention),
	}
	if !listed || server.Draining {
		return false
	}
	server.Draining = true
	b.servers[leaving.ID] = server
	b.index.forgetPauses()
	b.serverVersion++
	b.changed[leaving.ID] = b.serverVersion
	return true
}

// LeavingServers lists servers of a domain that announced that they leave while the
// server list has them as ready. It lists at most maxSharedServers, others each
// time.
func (b *Board) LeavingServers(domain string) (servers []LeavingServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, leaving := range b.leaving {
		if len(servers) == maxSharedServers {
			break
		}
		if leaving.listed && b.servers[id].Domain == domain {
			servers = append(servers, LeavingServer{
				ID:      id,
				Started: leaving.started,
			})
		}
	}
	return servers
}

// UnusableServers lists the IDs of servers of a service that this instance sends
// nothing to although a leader may still place adapters on them, at most
// maxSharedServers. Servers with a bound are among them if they have no turn until
// turnBy.
func (b *Board) UnusableServers(service string, turnBy, now time.Time) (ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.nextTurns {
		if len(ids) == maxSharedServers {
			return ids
		}
		if at.After(turnBy) && b.servers[id].Service == service && b.bound(id, now).Limited() {
			ids = append(ids, id)
		}
	}
	for id := range b.leaving {
		if len(ids) == maxSharedServers {
			return ids
		}
		if server := b.servers[id]; server.Draining && server.Service == service {
			ids = append(ids, id)
		}
	}
	for id := range b.pauses {
		if len(ids) == maxSharedServers {
			return ids
		}
		if server := b.servers[id]; b.paused(id, now) && !server.Draining && server.Service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyLeaving sets the servers of a new list to drain that announced that they
// leave, and forgets those that have not been listed for long. The caller holds the
// lock.
func (b *Board) applyLeaving(servers map[string]pomelospring.FleetServer, now time.Time) {
	for id, leaving := range b.leaving {
		server, listed := servers[id]
		if !listed || server.Started.After(leaving.started) {
			leaving.listed = false
			if now.After(leaving.retainedUntil) {
				delete(b.leaving, id)
			}
			continue
		}
		leaving.listed = !server.Draining
		leaving.retainedUntil = now.Add(leavingRetention)
		server.Draining = true
		servers[id] = server
	}
}
