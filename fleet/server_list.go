package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// minExpiryOutage is how long the store must have been unreachable before
	// entries may have expired although their servers are healthy.
	minExpiryOutage = 2 * time.Second
	// minExpiredFraction is the fraction of all servers that must then be missing
	// for their entries to count as expired; fewer are taken to have left.
	minExpiredFraction = 1.0 / 3
	// returnWindow is how long expired servers have to register again.
	returnWindow = 2 * time.Second
)

// ServerList maintains the list of backend servers from the entries that they
// write to the store.
type ServerList struct {
	Board  *Board
	Logger log.Interface
	Clock  pomelospring.Clock
	// ReadAge returns for how long the records of the read that is being applied may not have
	// been all; nil if each brings all.
	ReadAge func() time.Duration
	// Decode decodes a server's entry.
	Decode func(id string, value []byte) (server pomelospring.FleetServer, err error)

	mu      sync.Mutex
	servers map[string]pomelospring.FleetServer
	// readTo is the position in the store up to which the list was read. Several
	// leaders relay it, and reads of this instance may be under way meanwhile, so
	// an older state may arrive after a newer one.
	readTo pomelospring.TopicPosition
	// departures protects against a copy from which the store is restored.
	departures departures
	// missing maps servers whose entry was removed to the time at which they are
	// dropped.
	missing map[string]time.Time
	// cold maps the servers that were logged as cold to when they no longer are.
	cold map[string]time.Time
	// returnDeadline is the end of the window in which expired servers may
	// register again after an outage.
	returnDeadline time.Time
}

// ApplyRead applies records read from the store up to the position next. full says
// that they are all records; outage is how long the store was unreachable before
// this read.
func (l *ServerList) ApplyRead(records []pomelospring.KeyedRecord, full bool, next pomelospring.TopicPosition, outage time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	l.initialize()
	if next.Before(l.readTo) {
		return
	}
	restored := l.advance(next, now)
	records = latestRecords(records)
	removed := l.removedIn(records, full, now)
	if outage > minExpiryOutage && float64(len(removed)) >= minExpiredFraction*float64(len(l.servers)) {
		l.returnDeadline = now.Add(returnWindow)
	}
	for _, id := range removed {
		l.removed(id, now)
	}
	for _, record := range records {
		if len(record.Value) > 0 {
			l.applyEntry(record, now)
		}
	}
	l.applyDeadlines(now)
	if restored {
		l.logRestored()
	}
	var age time.Duration
	if l.ReadAge != nil {
		age = min(l.ReadAge(), l.Board.ServersAge(now))
	}
	l.Board.SetServers(maps.Clone(l.servers), now.Add(-age))
}

// advance raises the position up to which the list was read, and reports whether the
// store was restored since the last read. What is listed then stays for the return
// window, in which servers that the copy lacks register again.
func (l *ServerList) advance(readTo pomelospring.TopicPosition, now time.Time) (restored bool) {
	known := l.readTo.Offset > 0
	rises := l.readTo.Era < readTo.Era
	l.readTo = readTo
	if rises {
		l.departures.begin(readTo, known, now)
	}
	return known && rises
}

// applyDeadlines drops servers that have not registered again in time, and lists those
// that the restored store still has when the copy no longer explains it.
func (l *ServerList) applyDeadlines(now time.Time) {
	for id, deadline := range l.missing {
		if !now.Before(deadline) {
			l.drop(id, "its entry was removed from the store")
		}
	}
	for _, server := range l.departures.overdue(now) {
		l.upsert(server, now)
		l.logCold(server.ID, now)
	}
	l.logWarm(now)
}

// logRestored logs which servers a restore of the store left in doubt.
func (l *ServerList) logRestored() {
	missing := slices.Sorted(maps.Keys(l.missing))
	withheld := slices.Sorted(maps.Keys(l.departures.withheld))
	events.Log(l.Logger, events.ServersKept, log.Fields{
		"eraAfter":      l.readTo.Era,
		"offsetAfter":   l.readTo.Offset,
		"servers":       len(l.servers),
		"missingCount":  len(missing),
		"missing":       missing[:min(len(missing), maxLoggedKeys)],
		"withheldCount": len(withheld),
		"withheld":      withheld[:min(len(withheld), maxLoggedKeys)],
	})
}

// initialize makes the zero ServerList usable. The caller holds the lock.
func (l *ServerList) initialize() {
	if l.servers == nil {
		l.servers = map[string]pomelospring.FleetServer{}
		l.missing = map[string]time.Time{}
		l.cold = map[string]time.Time{}
		l.departures = newDepartures()
	}
}

// Relay applies what the leader read from the store at readAt up to the position
// readTo: the servers that changed and those removed, or the complete list if full
// is set. A state older than the one known is ignored, as it would bring back
// servers that have left.
func (l *ServerList) Relay(changed []pomelospring.FleetServer, removed []string, full bool, readTo pomelospring.TopicPosition, readAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if readTo.Before(l.readTo) {
		return
	}
	now := l.Clock()
	restored := l.advance(readTo, now)
	l.departures.followLeader(full, now)
	listed := map[string]bool{}
	for _, server := range changed {
		listed[server.ID] = true
		if !l.departures.skip(server, now) {
			l.upsert(server, now)
		}
	}
	for _, id := range removed {
		if _, known := l.servers[id]; known {
			l.drop(id, "the leader no longer lists it")
		}
	}
	if full {
		l.removeUnlisted(listed, now)
	}
	l.applyDeadlines(now)
	if restored {
		l.logRestored()
	}
	l.Board.SetServers(maps.Clone(l.servers), readAt)
}

// NeedsCompleteList reports whether changes alone leave out servers that a leader
// lists.
func (l *ServerList) NeedsCompleteList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departures.skipped && !l.Clock().Before(l.departures.withholdUntil)
}

// removeUnlisted removes the servers that a complete list lacks.
func (l *ServerList) removeUnlisted(listed map[string]bool, now time.Time) {
	for id, server := range l.servers {
		switch {
		case listed[id]:
		case l.departures.mayReturn(server, now):
			l.await(server, l.departures.returnUntil)
		default:
			l.drop(id, "the leader no longer lists it")
		}
	}
}

// Changes lists the servers that changed or were removed after a version of the
// list, and returns the current version with the position in the store up to which
// it was read.
func (l *ServerList) Changes(since int64) (changed []pomelospring.FleetServer, removed []string, version int64, readTo pomelospring.TopicPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed, removed, version = l.Board.ServerChanges(since)
	return changed, removed, version, l.readTo
}

// latestRecords returns the last record of each key, in order.
func latestRecords(records []pomelospring.KeyedRecord) (newest []pomelospring.KeyedRecord) {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	for i, record := range records {
		if last[record.Key] == i {
			newest = append(newest, record)
		}
	}
	return newest
}

// removedIn lists the known servers whose entry the records delete, or omit if
// the records are full. Those that a restored store lacks only have to register again.
func (l *ServerList) removedIn(records []pomelospring.KeyedRecord, full bool, now time.Time) (removed []string) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = len(record.Value) > 0
	}
	for id, server := range l.servers {
		listed, named := present[id]
		switch {
		case listed || !named && !full:
		case !named && l.departures.mayReturn(server, now):
			l.await(server, l.departures.returnUntil)
		default:
			removed = append(removed, id)
		}
	}
	if full {
		l.departures.keepWithheld(present)
	}
	for id, listed := range present {
		if !listed {
			delete(l.departures.withheld, id)
		} else {
			l.departures.confirmed[id] = true
		}
	}
	return removed
}

// removed handles the removal of a server's entry. After an outage of the store
// a server that was not draining stays listed until the return window ends.
func (l *ServerList) removed(id string, now time.Time) {
	server, known := l.servers[id]
	if !known {
		return
	}
	if now.Before(l.returnDeadline) && !server.Draining {
		l.await(server, l.returnDeadline)
		return
	}
	l.drop(id, "its entry was removed from the store")
}

// await keeps a server listed whose entry is gone until a deadline.
func (l *ServerList) await(server pomelospring.FleetServer, deadline time.Time) {
	server.Awaited = true
	l.servers[server.ID] = server
	l.missing[server.ID] = deadline
}

// drop removes a server from the list and logs the reason.
func (l *ServerList) drop(id, reason string) {
	l.departures.add(l.servers[id], l.Clock())
	delete(l.servers, id)
	delete(l.missing, id)
	events.Log(l.Logger, events.ServersListed, log.Fields{
		"server": id,
		"change": "left",
		"reason": reason,
	})
}

// applyEntry applies a server's entry; a malformed one drops the server.
func (l *ServerList) applyEntry(record pomelospring.KeyedRecord, now time.Time) {
	server, err := l.Decode(record.Key, record.Value)
	if err != nil {
		events.Log(l.Logger, events.ServerMalformed, log.Fields{
			"server": record.Key,
			"error":  err.Error(),
		})
		if _, known := l.servers[record.Key]; known {
			l.drop(record.Key, "its entry is malformed")
		}
		return
	}
	if l.departures.inCopy(record.Position()) && l.departures.withhold(server, now) {
		l.departures.withheld[server.ID] = server
		return
	}
	if !server.ColdUntil.IsZero() && !server.ColdUntil.After(now) {
		l.Board.endCold(server.ID, now)
	}
	l.upsert(server, now)
	l.logCold(server.ID, now)
}

// upsert adds or updates a server unless the known entry is newer.
func (l *ServerList) upsert(server pomelospring.FleetServer, now time.Time) {
	before, known := l.servers[server.ID]
	if known && server.Started.Before(before.Started) {
		// A delayed heartbeat from before the server restarted.
		return
	}
	if known && before.Draining && server.Started.Equal(before.Started) {
		// A draining server takes calls again only after a restart.
		server.Draining = true
	}
	l.setCold(&server, before, now)
	delete(l.missing, server.ID)
	l.departures.returned(server.ID)
	l.servers[server.ID] = server
	if !known || before.Draining != server.Draining || !before.Started.Equal(server.Started) {
		events.Log(l.Logger, events.ServersListed, log.Fields{
			"server":   server.ID,
			"change":   "listed",
			"service":  server.Service,
			"address":  server.Address,
			"domain":   server.Domain,
			"software": server.Software,
			"draining": server.Draining,
		})
	}
}
