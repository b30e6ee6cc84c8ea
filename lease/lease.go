// Package lease decides when an instance may give orders to model workers. It
// is a pure state machine: all times are handed in, on a clock that goes on
// while the process is suspended.
package lease

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// TimeToLive is how long the platform keeps a silent member's parts. A
	// machine that is restarted or cut off for some seconds keeps them, and all
	// leaders outlast an outage of the store that ends before. A machine that
	// dies for good costs its domain that long without loads; other domains
	// load for it meanwhile.
	TimeToLive = 15 * time.Second
	// validity is how long the holder trusts its last renewal, from the moment
	// it was sent; it ends well before TimeToLive.
	validity = 13500 * time.Millisecond
	// RenewEvery is the time between renewals.
	RenewEvery = time.Second
	// flight bounds how long an order may be under way.
	flight = 700 * time.Millisecond
)

// Lease is one instance's claim on giving orders.
type Lease struct {
	// HandoverTime is how long no order may come after another holder's last.
	HandoverTime time.Duration
	// Parts is how many parts the group has; only a holder of all may act.
	Parts int

	generation int64
	validUntil time.Duration
	actsFrom   time.Duration
	holding    bool
}

// Renewed takes in an answer of the group service. sent is when the question
// was sent; resumed says that this machine held all parts before, in an
// earlier process, so that no other holder's orders can be under way.
func (l *Lease) Renewed(membership pomelospring.Membership, sent, now time.Duration, resumed bool) {
	l.generation = membership.Generation
	if membership.Parts < l.Parts {
		l.holding = false
		return
	}
	if !l.holding || sent >= l.validUntil {
		// Another holder may have come and gone since the last renewal ran out.
		l.holding = true
		l.actsFrom = now
		if !resumed {
			l.actsFrom = now + l.HandoverTime + flight
		}
	}
	l.validUntil = sent + validity
}

// Release gives the claim up.
func (l *Lease) Release() {
	l.holding = false
	l.generation = 0
}

// Holds reports whether the instance holds all parts as far as it knows.
func (l *Lease) Holds(now time.Duration) bool {
	return l.holding && now < l.validUntil
}

// MayOrder reports whether an order may be sent now.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.Holds(now) && now >= l.actsFrom
}

// Generation is the fencing number of orders.
func (l *Lease) Generation() int64 { return l.generation }
