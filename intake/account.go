// Package intake bounds what callers hold of an instance: memory, descriptors and time.
package intake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// callerMemoryShare is the part of the machine's memory that callers may hold.
	callerMemoryShare = 0.35
	// smallShare is the part of the callers' memory that is only for connections that
	// hold smallBytes or less.
	smallShare = 0.25
	smallBytes = 64 << 10
	// callerDescriptorShare is the part of the descriptors that callers' connections may
	// take. Each running request takes another one.
	callerDescriptorShare = 0.4
	// connectionMemoryShare is the part of the machine's memory for what connections hold
	// that isn't charged: connectionBytes each for buffers, a stack and a small head.
	connectionMemoryShare = 0.2
	connectionBytes       = 16 << 10
	// minBytesPerSecond is the rate at which a request must come on while memory is short.
	// It may stay behind it by lagGrace.
	minBytesPerSecond = 16 << 10
	lagGrace          = 2 * time.Second
	// grantWait bounds the wait for memory of requests that give way.
	grantWait = 500 * time.Millisecond
	// logInterval is the time between log lines of one kind.
	logInterval = 10 * time.Second
)

// Machine is what an instance may use.
type Machine struct {
	MemoryBytes int64
	Descriptors int64
}

// Account is what callers hold of an instance. A connection is charged before the bytes
// that it brings are used.
type Account struct {
	// Limits returns the limits in effect; zero before the first configuration.
	Limits func() pomelospring.CallerLimits
	Logger log.Interface
	Clock  pomelospring.Clock

	bytes       int64
	smallOnly   int64
	connections int

	createdAt time.Time

	mu sync.Mutex
	// held is the sum of what all connections and reservations hold, and leaving the part
	// of connections that were told to give way.
	held    int64
	leaving int64
	conns   map[*Conn]struct{}
	// freed is closed when something is released.
	freed  chan struct{}
	kinds  [kindCount]kindState
	relays int64
}

// kind is why callers were refused.
type kind int

const (
	kindMemory kind = iota
	kindConnections
	kindHead
	kindCount
)

var kindEvents = [kindCount]events.Event{
	kindMemory:      events.CallerMemoryShort,
	kindConnections: events.CallerConnectionsShort,
	kindHead:        events.CallerHeadTooLarge,
}

type kindState struct {
	count    int64
	loggedAt time.Time
	logged   int64
}

// NewAccount returns an account of the callers' share of a machine.
func NewAccount(machine Machine, limits func() pomelospring.CallerLimits, logger log.Interface, clock pomelospring.Clock) *Account {
	share := int64(callerMemoryShare * float64(machine.MemoryBytes))
	connections := min(callerDescriptorShare*float64(machine.Descriptors),
		connectionMemoryShare*float64(machine.MemoryBytes)/connectionBytes)
	return &Account{
		Limits:      limits,
		Logger:      logger,
		Clock:       clock,
		bytes:       share,
		smallOnly:   int64(smallShare * float64(share)),
		connections: max(1, int(connections)),
		createdAt:   clock(),
		conns:       map[*Conn]struct{}{},
		freed:       make(chan struct{}),
	}
}

// age returns the nanoseconds since shortly before the account was created, which don't
// jump with the time of day.
func (a *Account) age(now time.Time) int64 { return int64(now.Sub(a.createdAt)) + 1 }

// Usage is what callers hold, and how many were refused.
type Usage struct {
	Bytes       int64
	BytesLimit  int64
	Connections int
	// ConnectionLimit bounds the connections.
	ConnectionLimit int
	// RelayedBytes is the part of Bytes that is held for other instances.
	RelayedBytes int64
	// MemoryRefusals, ConnectionRefusals and HeadRefusals count those that gave way or were
	// refused for memory, connections, and a head over its limit.
	MemoryRefusals     int64
	ConnectionRefusals int64
	HeadRefusals       int64
}

// Usage returns what callers hold now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Bytes:              a.held,
		BytesLimit:         a.bytes,
		Connections:        len(a.conns),
		ConnectionLimit:    a.connections,
		RelayedBytes:       a.relays,
		MemoryRefusals:     a.kinds[kindMemory].count,
		ConnectionRefusals: a.kinds[kindConnections].count,
		HeadRefusals:       a.kinds[kindHead].count,
	}
}

// Reserve charges bytes of a request that another instance sends, which Release frees.
func (a *Account) Reserve(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(0, n) {
		a.count(kindMemory)
		return false
	}
	a.held += n
	a.relays += n
	return true
}

// Release frees what Reserve charged.
func (a *Account) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relays -= n
	a.free(n)
}

func (a *Account) free(n int64) {
	if n == 0 {
		return
	}
	a.held -= n
	close(a.freed)
	a.freed = make(chan struct{})
}

// limit returns how much all may hold for one to go on that then holds some bytes itself.
func (a *Account) limit(holds int64) int64 {
	if holds > smallBytes {
		return a.bytes - a.smallOnly
	}
	return a.bytes
}

// fits reports whether one that holds some bytes may hold n more.
func (a *Account) fits(holds, n int64) bool { return a.held+n <= a.limit(holds+n) }

// grow charges a connection with n more bytes. While memory is short, others give way, or
// the connection is refused.
func (a *Account) grow(ctx context.Context, c *Conn, n int64) bool {
	var waited <-chan time.Time
	for {
		a.mu.Lock()
		if c.gaveWay || c.phase.Load() == phaseClosed {
			a.mu.Unlock()
			return false
		}
		if a.fits(c.held, n) {
			a.held += n
			c.held += n
			a.mu.Unlock()
			return true
		}
		if !a.makeRoom(c, n) {
			a.count(kindMemory)
			a.mu.Unlock()
			return false
		}
		freed := a.freed
		a.mu.Unlock()
		if waited == nil {
			waited = time.After(grantWait)
		}
		select {
		case <-freed:
		case <-waited:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// makeRoom tells others to give way until n more bytes will fit for c, and reports whether
// they will.
func (a *Account) makeRoom(c *Conn, n int64) bool {
	lacking := a.held - a.leaving + n - a.limit(c.held+n)
	if lacking <= 0 {
		return true
	}
	candidates := a.candidates(c, n, a.Clock())
	var room int64
	for _, other := range candidates {
		room += other.held
	}
	if room < lacking {
		return false
	}
	for _, other := range candidates {
		if lacking <= 0 {
			break
		}
		lacking -= other.held
		a.giveWay(other)
	}
	return true
}

// candidates returns the connections that give way before c, in order: those that lag,
// the longest first, those whose answer isn't read, and the newest of those that hold much.
func (a *Account) candidates(c *Conn, n int64, now time.Time) []*Conn {
	var lagging, unread, large []*Conn
	isSmall := c.held+n <= smallBytes
	for other := range a.conns {
		if other == c || other.held == 0 || other.gaveWay {
			continue
		}
		switch {
		case other.isUnread(now):
			unread = append(unread, other)
		case !other.isRead():
		case other.lags(now):
			lagging = append(lagging, other)
		case other.held > smallBytes && (isSmall || other.since.After(c.since)):
			large = append(large, other)
		}
	}
	slices.SortFunc(lagging, func(x, y *Conn) int { return cmp.Compare(x.soundUntil.Load(), y.soundUntil.Load()) })
	slices.SortFunc(unread, func(x, y *Conn) int { return cmp.Compare(x.writingSince.Load(), y.writingSince.Load()) })
	slices.SortFunc(large, func(x, y *Conn) int { return y.since.Compare(x.since) })
	return slices.Concat(lagging, unread, large)
}

// giveWay tells a connection to give way. Its request is refused if it has one, else it
// is closed.
func (a *Account) giveWay(c *Conn) {
	c.gaveWay = true
	a.leaving += c.held
	a.count(kindMemory)
	c.interrupt()
}

// admit counts a new connection. While all are taken, another one is closed for it, or
// it is refused.
func (a *Account) admit(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) >= a.connections {
		a.count(kindConnections)
		victim := a.mostDispensable(a.Clock())
		if victim == nil {
			return false
		}
		a.remove(victim)
		_ = victim.Conn.Close()
	}
	a.conns[c] = struct{}{}
	return true
}

// mostDispensable returns the connection that is closed for a new one: the longest silent
// new one, the longest idle one, or one whose request lags or whose answer isn't read; nil
// for none.
func (a *Account) mostDispensable(now time.Time) (victim *Conn) {
	var victimRank int
	for c := range a.conns {
		rank := 0
		switch c.phase.Load() {
		case phaseSilent:
			rank = 3
		case phaseIdle:
			rank = 2
		case phaseHead, phaseBody:
			if c.lags(now) {
				rank = 1
			}
		case phaseRunning:
			if c.isUnread(now) {
				rank = 1
			}
		}
		if rank > victimRank || rank > 0 && rank == victimRank && c.since.Before(victim.since) {
			victim, victimRank = c, rank
		}
	}
	return victim
}

// remove ends the account of a connection.
func (a *Account) remove(c *Conn) {
	if c.phase.Swap(phaseClosed) == phaseClosed {
		return
	}
	delete(a.conns, c)
	a.shrink(c, 0)
}

// shrink frees what a connection holds over some bytes.
func (a *Account) shrink(c *Conn, holds int64) {
	freed := max(0, c.held-holds)
	if c.gaveWay {
		a.leaving -= freed
	}
	c.held -= freed
	a.free(freed)
}

// count counts refusals, and logs the first of a while.
func (a *Account) count(k kind) {
	state := &a.kinds[k]
	state.count++
	now := a.Clock()
	if !state.loggedAt.IsZero() && now.Sub(state.loggedAt) < logInterval {
		return
	}
	events.Log(a.Logger, kindEvents[k], log.Fields{
		"count":       state.count - state.logged,
		"bytes":       a.held,
		"bytesLimit":  a.bytes,
		"connections": len(a.conns),
	})
	state.loggedAt, state.logged = now, state.count
}
