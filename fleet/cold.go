package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// heartbeat is the time between two entries of a server.
	heartbeat = 1200 * time.Millisecond
	// maxEntryDelay is how long an entry is under way until it is read.
	maxEntryDelay = 2 * time.Second
	// minColdExtension is how much later the end of a cold time must be to count: that of
	// one cold time seems later by the time that an entry takes.
	minColdExtension = 250 * time.Millisecond
)

// coldNotice is what is known of a cold server beside its entry.
type coldNotice struct {
	started time.Time
	// at is when the notice came, and until the end of the cold time.
	at    time.Time
	until time.Time
	// ended is set if a later entry says that the server isn't cold.
	ended bool
}

// RecordCold records that a start of a server is cold until a time, as an answer of it said.
// It returns what the server takes meanwhile if that is news.
func (b *Board) RecordCold(server string, started, until, now time.Time) (perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed, found := b.servers[server]
	if !found || !listed.Started.Equal(started) || !b.noteCold(server, started, until, now) {
		return 0
	}
	_, perSecond = b.cold(server, now)
	return perSecond
}

// RecordReportedCold records the same as another instance knows it, unless an entry has
// ended that cold time here.
func (b *Board) RecordReportedCold(server string, started, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.coldNotices[server]; known != nil && known.ended && until.Sub(known.until) < maxEntryDelay {
		return
	}
	if listed, found := b.servers[server]; found && listed.Started.Equal(started) {
		b.noteCold(server, started, until, now)
	}
}

// ExpectCold records that a domain is taken back: until their entries say otherwise its
// servers count as cold, for as long as their service's configuration says and two of their
// heartbeats.
func (b *Board) ExpectCold(domain string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy := b.policy.Load()
	if policy == nil {
		return
	}
	for id, server := range b.servers {
		if service := policy.Services[server.Service]; server.Domain == domain && service.ColdPerSecond > 0 {
			b.noteCold(id, server.Started, now.Add(service.ColdFor+2*heartbeat), now)
		}
	}
}

// noteCold records a cold time of a server that was known at a time, and reports whether it
// is longer than was known. The caller holds the lock.
func (b *Board) noteCold(server string, started, until, at time.Time) (changed bool) {
	known := b.coldNotices[server]
	if known != nil && known.started.Equal(started) && !known.ended && until.Sub(known.until) < minColdExtension {
		return false
	}
	b.coldNotices[server] = &coldNotice{
		started: started,
		at:      at,
		until:   until,
	}
	b.raiseColdUntil(until)
	return true
}

// endCold records that an entry of a server, read at a time, says that it isn't cold.
func (b *Board) endCold(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.coldNotices[server]; known != nil && now.Sub(known.at) >= maxEntryDelay {
		known.ended = true
	}
}

func (b *Board) raiseColdUntil(until time.Time) {
	if until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// cold returns until when a server is cold, and what it takes meanwhile; 0 if it isn't
// cold. The caller holds the lock.
func (b *Board) cold(id string, now time.Time) (until time.Time, perSecond float64) {
	if !now.Before(b.coldUntil) {
		return time.Time{}, 0
	}
	server := b.servers[id]
	until = server.ColdUntil
	if noted := b.coldNotices[id]; noted != nil && !noted.ended && noted.until.After(until) {
		until = noted.until
	}
	policy := b.policy.Load()
	if policy == nil || !now.Before(until) {
		return time.Time{}, 0
	}
	return until, policy.Services[server.Service].ColdPerSecond
}

// endColdNotices forgets what was known of former starts of servers and of cold times that
// have passed, and takes over until when servers of a new list are cold. The caller holds
// the lock.
func (b *Board) endColdNotices(servers map[string]pomelospring.FleetServer, now time.Time) {
	for id, noted := range b.coldNotices {
		if server, listed := servers[id]; !now.Before(noted.until) || listed && server.Started.After(noted.started) {
			delete(b.coldNotices, id)
		}
	}
	for id := range servers {
		b.raiseColdUntil(servers[id].ColdUntil)
	}
}

// coldTerms returns what a service's configuration says of cold servers.
func (b *Board) coldTerms(service string) (coldFor time.Duration, perSecond float64) {
	policy := b.policy.Load()
	if policy == nil {
		return 0, 0
	}
	terms := policy.Services[service]
	return terms.ColdFor, terms.ColdPerSecond
}

// setCold completes until when a server of a new entry is cold. An entry that says nothing,
// or less than its start, counts as cold from its start. Within one start only a later end
// counts, as older entries may arrive.
func (l *ServerList) setCold(server *pomelospring.FleetServer, before pomelospring.FleetServer, now time.Time) {
	sameStart := before.ID == server.ID && before.Started.Equal(server.Started)
	isSaid := !server.ColdUntil.IsZero()
	if coldFor, _ := l.Board.coldTerms(server.Service); coldFor > 0 && (server.ColdUntil.After(now) || !isSaid) && (!sameStart || isSaid || before.ColdUntil.IsZero()) {
		// From now on, clocks that are set don't matter.
		fromStart := now.Add(min(coldFor, server.Started.Add(coldFor).Sub(now)))
		if fromStart.After(server.ColdUntil) {
			server.ColdUntil = fromStart
		}
	}
	if sameStart && !before.ColdUntil.IsZero() && server.ColdUntil.Sub(before.ColdUntil) < minColdExtension {
		server.ColdUntil = before.ColdUntil
	}
}

// logCold logs that a server is cold as its entry says, which this instance read. The others
// have it from this one.
func (l *ServerList) logCold(id string, now time.Time) {
	server := l.servers[id]
	_, perSecond := l.Board.coldTerms(server.Service)
	if perSecond == 0 || !server.ColdUntil.After(now) || l.cold[id].Equal(server.ColdUntil) {
		return
	}
	l.cold[id] = server.ColdUntil
	events.Log(l.Logger, events.ServerCold, log.Fields{
		"server":    id,
		"perSecond": perSecond,
		"until":     server.ColdUntil.UnixMilli(),
		"source":    "its entry",
	})
}

// logWarm logs which servers are no longer cold.
func (l *ServerList) logWarm(now time.Time) {
	for id, until := range l.cold {
		if now.Before(until) {
			continue
		}
		delete(l.cold, id)
		if _, listed := l.servers[id]; listed {
			events.Log(l.Logger, events.ServerWarm, log.Fields{
				"server": id,
			})
		}
	}
}
