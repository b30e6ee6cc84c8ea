// Package lease decides when an instance may send orders to model workers. It
// is a pure state machine: the caller passes in all times, read from a clock
// that keeps running while the process is suspended.
package lease

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// TimeToLive is how long the platform keeps the partitions of a member that
	// does not renew. An instance that restarts or is cut off for less time
	// keeps its partitions, and leaders survive a store outage that ends
	// sooner. If a leader is lost for good, its domain loads no adapters for
	// this long; the other domains load them meanwhile.
	TimeToLive = 15 * time.Second
	// validity is how long the holder relies on its last renewal, from the
	// moment it was sent. It ends well before TimeToLive, so that the holder
	// stops before the platform gives its partitions to another.
	validity = 13500 * time.Millisecond
	// RenewEvery is the time between renewals.
	RenewEvery = time.Second
	// maxOrderFlightTime is the longest time that an order may be in flight.
	maxOrderFlightTime = 700 * time.Millisecond
)

// Lease tracks whether one instance holds the leadership and may send orders.
type Lease struct {
	// HandoverTime is the minimum time between the last order of one holder and
	// the first of the next.
	HandoverTime time.Duration
	// Parts is the group's number of partitions; only an instance that holds
	// all of them leads.
	Parts int

	generation         int64
	validUntil         time.Duration
	ordersFrom         time.Duration
	holdsAllPartitions bool
	// heldSinceEra is the store's era in which the instance became the holder, and
	// eraOrdersFrom when the leases of earlier eras no longer forbid orders.
	heldSinceEra  int64
	eraOrdersFrom time.Duration
}

// Renewed applies a response of the group service to a join or renewal. sent is
// when the request was sent. resumed says that this instance held all
// partitions before it restarted, so that no other holder's orders can be in
// flight. eraOrdersFrom is when the leases of earlier eras no longer forbid orders.
// A holder whose lease is valid goes on in the next era without a wait: others that
// join wait for the end of its lease.
func (l *Lease) Renewed(membership pomelospring.Membership, sent, now time.Duration, resumed bool, eraOrdersFrom time.Duration) {
	l.generation = membership.Generation
	if membership.Parts < l.Parts {
		l.holdsAllPartitions = false
		return
	}
	if !l.holdsAllPartitions || sent >= l.validUntil {
		// Another instance may have held the lease since the last renewal
		// expired.
		l.holdsAllPartitions = true
		l.heldSinceEra = membership.Era
		l.eraOrdersFrom = eraOrdersFrom
		l.ordersFrom = now
		if !resumed {
			l.ordersFrom = now + l.HandoverTime + maxOrderFlightTime
		}
	}
	l.validUntil = sent + validity
}

// ShortenEraWait applies that the leases of eras before the given one forbid orders
// only until a time.
func (l *Lease) ShortenEraWait(era int64, eraOrdersFrom time.Duration) {
	if era == l.heldSinceEra {
		l.eraOrdersFrom = min(l.eraOrdersFrom, eraOrdersFrom)
	}
}

// Release gives the lease up.
func (l *Lease) Release() {
	l.holdsAllPartitions = false
	l.generation = 0
}

// Holds reports whether the instance held all partitions at its last renewal
// and that renewal is still valid.
func (l *Lease) Holds(now time.Duration) bool {
	return l.holdsAllPartitions && now < l.validUntil
}

// MayOrder reports whether an order may be sent now.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.Holds(now) && now >= max(l.ordersFrom, l.eraOrdersFrom)
}

// Generation returns the group's generation, which is the fencing number of
// orders. It rises over the eras of the store.
func (l *Lease) Generation() int64 { return l.generation }
