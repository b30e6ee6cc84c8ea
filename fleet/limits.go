package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// limitRetention is how long an ended limit, or one of a server that is not listed, is
// remembered, as an older report of it may still arrive.
const limitRetention = time.Minute

// minLimitRefresh is how much later a report of an unchanged limit must be to count. A
// report seems later by the time that it takes from instance to instance.
const minLimitRefresh = time.Second

// ServerLimit is what a backend server said in an answer of the requests that it takes
// from all instances together.
type ServerLimit struct {
	Server string
	// Started identifies one start of the server.
	Started time.Time
	// PerSecond is the number of requests per second; 0 for no limit.
	PerSecond float64
	// At is when the answer arrived.
	At time.Time
}

// serverLimit is the latest that is known of a server's limit.
type serverLimit struct {
	ServerLimit
	// retainedUntil is when it is forgotten if it has ended or the server is not listed.
	retainedUntil time.Time
}

// RecordLimit records a server's limit, and reports whether that changes it. What a
// later answer said takes precedence, and so does a later start of the server.
func (b *Board) RecordLimit(limit ServerLimit, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, found := b.servers[limit.Server]; found && listed.Started.After(limit.Started) {
		return false
	}
	known := b.limits[limit.Server]
	if known == nil {
		if limit.PerSecond == 0 {
			return false
		}
		known = &serverLimit{}
		b.limits[limit.Server] = known
	}
	if !known.precedes(limit) {
		return false
	}
	changed = known.PerSecond != limit.PerSecond
	known.ServerLimit = limit
	known.retainedUntil = now.Add(limitRetention)
	return changed
}

// precedes reports whether a limit is later than the known one.
func (s *serverLimit) precedes(limit ServerLimit) bool {
	switch {
	case !s.Started.Equal(limit.Started):
		return s.Started.Before(limit.Started)
	case s.PerSecond == limit.PerSecond:
		return limit.At.Sub(s.At) >= minLimitRefresh
	}
	return limit.At.After(s.At)
}

// Limits lists what is known of the limits of a domain's servers, those that ended
// lately included. It lists at most maxSharedServers, others each time.
func (b *Board) Limits(domain string) (limits []ServerLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, limit := range b.limits {
		if len(limits) == maxSharedServers {
			break
		}
		if b.servers[id].Domain == domain {
			limits = append(limits, limit.ServerLimit)
		}
	}
	return limits
}

// AllBounds lists the bounds that hold now, with the time of each server's next turn as
// far as it is known here.
func (b *Board) AllBounds(now time.Time) (bounds []Bound, nextTurns []time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.anyBounds(now) {
		return nil, nil
	}
	ids := map[string]bool{}
	for id := range b.limits {
		ids[id] = true
	}
	for id := range b.servers {
		ids[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if bound := b.bound(id, now); bound.Limited() {
			bounds = append(bounds, bound)
			nextTurns = append(nextTurns, b.nextTurns[id])
		}
	}
	return bounds, nextTurns
}

// Bound is how many requests a second a server takes from all instances together, now.
type Bound struct {
	Server string
	// Limit is the limit that the server named, without PerSecond if it names none.
	Limit ServerLimit
	// ColdPerSecond is what it takes while it is cold, until ColdUntil; 0 if it isn't.
	ColdPerSecond float64
	ColdUntil     time.Time
}

// Limited reports whether there is a bound.
func (b Bound) Limited() bool { return b.Limit.PerSecond > 0 || b.ColdPerSecond > 0 }

// PerSecond returns the lower one of what the server named and coldFraction of what it
// takes while it is cold; 0 for any number.
func (b Bound) PerSecond(coldFraction float64) float64 {
	cold := coldFraction * b.ColdPerSecond
	if b.Limit.PerSecond > 0 && (cold == 0 || b.Limit.PerSecond < cold) {
		return b.Limit.PerSecond
	}
	return cold
}

// BoundOf returns the bound of a server.
func (b *Board) BoundOf(server string, now time.Time) Bound {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bound(server, now)
}

// bound returns the bound of a server. The caller holds the lock.
func (b *Board) bound(server string, now time.Time) (bound Bound) {
	bound.Server = server
	if known := b.limits[server]; known != nil {
		bound.Limit = known.ServerLimit
	}
	if until, perSecond := b.cold(server, now); perSecond > 0 {
		bound.ColdUntil, bound.ColdPerSecond = until, perSecond
	}
	return bound
}

// RecordNextTurn records the earliest time for which a call to a server with a bound may
// get a reservation.
func (b *Board) RecordNextTurn(server string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextTurns[server] = at
}

// ForgetNextTurn lets the next call to a server with a bound ask for a reservation.
func (b *Board) ForgetNextTurn(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.nextTurns, server)
}

// NextTurn returns the earliest time for which a call to a server may get a reservation.
func (b *Board) NextTurn(server string, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait, _ := b.turnWait(server, now)
	return now.Add(wait)
}

// Accepts reports whether a server takes calls of this instance now, limits left aside.
func (b *Board) Accepts(server string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed, found := b.servers[server]
	return found && !listed.Draining && !b.evacuated[listed.Domain] && !b.paused(server, now)
}

// Draining reports whether a server is listed, and as draining.
func (b *Board) Draining(server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[server].Draining
}

// turnWait returns how long a call would wait for a turn of a server with a bound;
// limited is false if it has none. The caller holds the lock.
func (b *Board) turnWait(server string, now time.Time) (wait time.Duration, limited bool) {
	if !b.anyBounds(now) || !b.bound(server, now).Limited() {
		return 0, false
	}
	return max(0, b.nextTurns[server].Sub(now)), true
}

// anyBounds reports whether there may be servers with a bound. The caller holds the lock.
func (b *Board) anyBounds(now time.Time) bool {
	return len(b.limits) > 0 || now.Before(b.coldUntil)
}

// FirstTurn returns when the first of the servers that could take a call has a turn. ok is
// false if one of them has no bound, or if there are none. It looks at no more than
// maxCandidates.
func (b *Board) FirstTurn(service string, call *pomelospring.Call, now time.Time) (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.anyBounds(now) {
		return time.Time{}, false
	}
	seen := 0
	for id := range b.index.pool(service, call).all() {
		if server := b.servers[id]; server.Draining || b.paused(id, now) || !b.InHomes(call.Homes, server.Domain) {
			continue
		}
		wait, limited := b.turnWait(id, now)
		if !limited {
			return time.Time{}, false
		}
		if turnAt := now.Add(wait); !ok || turnAt.Before(at) {
			at, ok = turnAt, true
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return at, ok
}

// LimitOf returns the limit that a server names, in requests per second; 0 if it names
// none.
func (b *Board) LimitOf(server string) (perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit := b.limits[server]; limit != nil {
		return limit.PerSecond
	}
	return 0
}

// endLimits forgets the limits of earlier starts of servers, and those that ended or
// whose servers have not been listed for long. The caller holds the lock.
func (b *Board) endLimits(servers map[string]pomelospring.FleetServer, now time.Time) {
	for id, limit := range b.limits {
		server, listed := servers[id]
		if listed && server.Started.After(limit.Started) || now.After(limit.retainedUntil) && (!listed || limit.PerSecond == 0) {
			delete(b.limits, id)
		}
	}
	maps.DeleteFunc(b.nextTurns, func(_ string, at time.Time) bool { return at.Before(now) })
}
