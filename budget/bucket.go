package budget

import (
	"math"
	"sort"
	"time"
)

// loanKept is how long the end of a loan is waited for.
const loanKept = 15 * time.Minute

// agreementTime is how long a new holder's first share may take: two rounds of
// claims in the domain and one between domains, each at most a second apart.
const agreementTime = 3 * time.Second

// Terms are what a bucket fills and empties under.
type Terms struct {
	// Rate is the pool's whole rate, in tokens a second.
	Rate float64
	// Burst is the pool's whole burst, in tokens.
	Burst float64
	// MinBurst is the least that a bucket with any part may hold, so that costs
	// larger than a small part of the burst can be met. All holders together
	// may then exceed the burst by a unit each, but not the rate. 0 for pools
	// whose burst is a promise.
	MinBurst float64
	Share    Share
	// LeasedDeadline and StandingDeadline end the parts of Share.
	LeasedDeadline   time.Time
	StandingDeadline time.Time
}

// Bucket is one holder's token bucket of one pool. It starts empty. Every
// spend checks the deadlines on the clock given, so that a process that was
// paused finds its holding ended. It is not safe for concurrent use.
type Bucket struct {
	terms Terms
	level float64
	last  time.Time
	// filledBy is when a bucket that was never spent from would first be full.
	filledBy time.Time
	shared   bool
	// loans are open; each lowers the cap while its tokens may still be spent
	// elsewhere.
	loans []loan
	// room are lows of the cap's room over the level, oldest first and rising.
	room      []low
	operation int64
	open      int
}

type loan struct {
	id          string
	reservation Reservation
	// heldUntil is when the loan is over without word of it.
	heldUntil time.Time
	spent     bool
}

type low struct {
	operation int64
	room      float64
}

// Reservation is a charge made ahead, to be settled at its true cost.
type Reservation struct {
	Charged   float64
	operation int64
}

// NewBucket makes an empty bucket without any share.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{
		last:     now,
		filledBy: now.Add(agreementTime),
	}
}

// SetTerms fills up to now under the old terms and goes on under new ones.
func (b *Bucket) SetTerms(terms Terms, now time.Time) {
	b.fill(now)
	b.terms = terms
	if !b.shared && terms.Rate > 0 && b.live(now) > 0 {
		b.shared = true
		b.filledBy = now.Add(time.Duration(terms.Burst / terms.Rate * float64(time.Second)))
	}
	b.fill(now)
}

// Filling says whether the bucket is still on its way from its empty start, so
// that a lack of tokens says nothing about what its team spent.
func (b *Bucket) Filling(now time.Time) bool {
	return now.Before(b.filledBy)
}

// Level is what could be spent now.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// Cap is the largest level under the terms that hold now.
func (b *Bucket) Cap(now time.Time) float64 {
	return max(0, b.burst(now)-b.outstanding(now))
}

// Spend takes the cost, or nothing and reports when it would fit.
func (b *Bucket) Spend(cost float64, now time.Time) (reservation Reservation, spent bool) {
	b.fill(now)
	if cost > b.level {
		return Reservation{}, false
	}
	b.level -= cost
	b.open++
	b.operation++
	b.note(now)
	return Reservation{
		Charged:   cost,
		operation: b.operation,
	}, true
}

// Settle gives back what a reservation did not use. It credits exactly what
// the level would be had the true cost been charged at first: tokens that
// would have run over the cap since then stay lost.
func (b *Bucket) Settle(reservation Reservation, used float64, now time.Time) {
	b.fill(now)
	back := reservation.Charged - used
	if reservation.operation == 0 {
		// Nothing was taken here; a debt counts all the same.
		b.level += min(0, back)
		return
	}
	if back > 0 {
		back = min(back, b.lowestRoom(reservation.operation))
	}
	b.level += back
	b.open--
	if b.open <= 0 {
		b.room = b.room[:0]
	}
	b.note(now)
}

// Lend deducts up to an amount for another holder to spend before a deadline
// by its own clock. The cap stays lowered until heldUntil, or until word comes
// that the tokens were spent, so that they are never counted in two buckets;
// what ends before heldUntil is not lent. id names the loan.
func (b *Bucket) Lend(id string, amount float64, heldUntil, now time.Time) float64 {
	b.fill(now)
	lent := min(amount, b.level, b.burst(heldUntil)-b.outstanding(now))
	if lent <= 0 {
		return 0
	}
	reservation, _ := b.Spend(lent, now)
	b.loans = append(b.loans, loan{
		id:          id,
		reservation: reservation,
		heldUntil:   heldUntil,
	})
	b.note(now)
	return lent
}

// MarkLoanSpent lifts the cap again: the borrower has spent the tokens, or has
// them in its own bucket.
func (b *Bucket) MarkLoanSpent(id string, now time.Time) {
	b.fill(now)
	for i := range b.loans {
		if b.loans[i].id != id || b.loans[i].spent {
			continue
		}
		// While the loan was out the cap was lower by as much, so only the
		// room from now on bounds what may come back.
		b.operation++
		b.loans[i].reservation.operation = b.operation
		b.loans[i].spent = true
	}
	b.note(now)
}

// CloseLoan ends a loan and takes back what was not used of it, as Settle does
// with a charge of this holder's own.
func (b *Bucket) CloseLoan(id string, returned float64, now time.Time) {
	for i, l := range b.loans {
		if l.id != id {
			continue
		}
		b.loans = append(b.loans[:i], b.loans[i+1:]...)
		if !l.spent {
			b.operation++
			l.reservation.operation = b.operation
			b.note(now)
		}
		charged := l.reservation.Charged
		b.Settle(l.reservation, charged-max(0, min(returned, charged)), now)
		return
	}
}

// LentShare is the smallest part, in parts per million, that covers what is lent out
// now: the holder must not claim less.
func (b *Bucket) LentShare(now time.Time) int64 {
	lent := b.outstanding(now)
	if lent <= 0 || b.terms.Burst <= 0 {
		return 0
	}
	return int64(math.Ceil(lent / b.terms.Burst * float64(FullShare)))
}

// Deposit adds tokens lent by another holder, up to the cap.
func (b *Bucket) Deposit(amount float64, now time.Time) {
	b.fill(now)
	b.level = max(b.level, min(b.level+amount, b.Cap(now)))
	b.note(now)
}

func (b *Bucket) fill(now time.Time) {
	if now.Before(b.last) {
		return
	}
	b.level += b.filled(b.last, now)
	b.last = now
	b.dropLoans(now)
	limit := b.Cap(now)
	if b.level > limit {
		b.level = limit
	}
	b.note(now)
}

// filled adds up what each part brings until its own deadline.
func (b *Bucket) filled(from, to time.Time) float64 {
	leased := overlap(from, to, b.terms.LeasedDeadline) * float64(b.terms.Share.Leased)
	standing := overlap(from, to, b.terms.StandingDeadline) * float64(b.terms.Share.Standing)
	return b.terms.Rate * (leased + standing) / float64(FullShare)
}

func overlap(from, to, deadline time.Time) float64 {
	if deadline.Before(to) {
		to = deadline
	}
	return max(0, to.Sub(from).Seconds())
}

func (b *Bucket) live(now time.Time) float64 {
	var parts int64
	if now.Before(b.terms.LeasedDeadline) {
		parts += b.terms.Share.Leased
	}
	if now.Before(b.terms.StandingDeadline) {
		parts += b.terms.Share.Standing
	}
	return float64(parts) / float64(FullShare)
}

func (b *Bucket) burst(now time.Time) float64 {
	live := b.live(now)
	if live <= 0 {
		return 0
	}
	return max(b.terms.MinBurst, b.terms.Burst*live)
}

// outstanding is what is lent and may not be spent yet.
func (b *Bucket) outstanding(now time.Time) float64 {
	var sum float64
	for _, l := range b.loans {
		if !l.spent && !l.heldUntil.Before(now) {
			sum += l.reservation.Charged
		}
	}
	return sum
}

// dropLoans forgets loans whose end was never told.
func (b *Bucket) dropLoans(now time.Time) {
	for len(b.loans) > 0 && b.loans[0].heldUntil.Add(loanKept).Before(now) {
		b.loans = b.loans[1:]
		b.open--
	}
}

// note keeps the lows of the room over the level while reservations are open.
func (b *Bucket) note(now time.Time) {
	if b.open == 0 {
		return
	}
	room := max(0, b.Cap(now)-b.level)
	for len(b.room) > 0 && b.room[len(b.room)-1].room >= room {
		b.room = b.room[:len(b.room)-1]
	}
	b.room = append(b.room, low{
		operation: b.operation,
		room:      room,
	})
}

func (b *Bucket) lowestRoom(since int64) float64 {
	i := sort.Search(len(b.room), func(i int) bool {
		return b.room[i].operation >= since
	})
	if i == len(b.room) {
		return 0
	}
	return b.room[i].room
}
