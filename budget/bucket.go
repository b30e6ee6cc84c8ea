package budget

import (
	"math"
	"sort"
	"time"
)

// loanRetention is how long after its expiry a loan that was not closed is
// kept.
const loanRetention = 15 * time.Minute

// firstShareTime is how long a new holder may wait for its first share: two
// rounds of claims in the domain and one between domains, each at most a second
// apart.
const firstShareTime = 3 * time.Second

// Terms set the refill rate and the capacity of a bucket.
type Terms struct {
	// Rate is the full pool's rate, in tokens a second.
	Rate float64
	// Burst is the full pool's burst, in tokens.
	Burst float64
	// MinBurst is the least burst of a bucket that has any share, in tokens, so
	// that it can cover a cost larger than its share of the burst. All holders
	// together may then exceed the burst by MinBurst each, but not the rate. It
	// is 0 for pools whose burst must not be exceeded.
	MinBurst float64
	Share    Share
	// LeasedDeadline and StandingDeadline end the two parts of Share.
	LeasedDeadline   time.Time
	StandingDeadline time.Time
}

// Bucket is one holder's token bucket for one pool. It starts empty. Every
// spend checks the deadlines against the time given, so that a process that was
// paused doesn't spend from a share that has ended. It is not safe for
// concurrent use.
type Bucket struct {
	terms Terms
	level float64
	last  time.Time
	// filledBy is when a bucket that was never spent from is first full; before
	// its first share, when that share is due.
	filledBy time.Time
	hadShare bool
	// loans are the open loans. Each lowers the cap while the borrower may
	// still spend its tokens.
	loans []loan
	// headroom holds, while reservations are open, the lowest headroom (the cap
	// minus the level) since each operation that it lists. Operations and
	// headrooms both rise. It limits refunds.
	headroom []headroomMinimum
	// operation is the number of the latest spend or change of a loan.
	operation        int64
	openReservations int
}

type loan struct {
	id          string
	reservation Reservation
	// expiry is when the loan stops lowering the cap even without a report from
	// the borrower.
	expiry time.Time
	spent  bool
}

// headroomMinimum is the lowest headroom since the operation.
type headroomMinimum struct {
	operation int64
	headroom  float64
}

// Reservation is an estimated charge, to be settled at its actual cost.
type Reservation struct {
	Charged float64
	// operation is the bucket's operation that limits the refund; 0 if nothing
	// was taken.
	operation int64
}

// NewBucket returns an empty bucket without a share.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{
		last:     now,
		filledBy: now.Add(firstShareTime),
	}
}

// SetTerms fills the bucket up to now under the old terms and then applies the
// new ones.
func (b *Bucket) SetTerms(terms Terms, now time.Time) {
	b.fill(now)
	b.terms = terms
	if !b.hadShare && terms.Rate > 0 && b.activeFraction(now) > 0 {
		b.hadShare = true
		b.filledBy = now.Add(time.Duration(terms.Burst / terms.Rate * float64(time.Second)))
	}
	b.fill(now)
}

// Filling reports whether the bucket may still be filling for the first time. A
// lack of tokens then doesn't mean that the team spent its budget.
func (b *Bucket) Filling(now time.Time) bool {
	return now.Before(b.filledBy)
}

// Level returns the tokens that can be spent now; it is negative for a debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// Cap returns the largest level under the terms in effect now.
func (b *Bucket) Cap(now time.Time) float64 {
	return max(0, b.burst(now)-b.outstanding(now))
}

// Spend takes the whole cost, or takes nothing and returns false.
func (b *Bucket) Spend(cost float64, now time.Time) (reservation Reservation, spent bool) {
	b.fill(now)
	if cost > b.level {
		return Reservation{}, false
	}
	b.level -= cost
	b.openReservations++
	b.operation++
	b.recordHeadroom(now)
	return Reservation{
		Charged:   cost,
		operation: b.operation,
	}, true
}

// Settle refunds what a reservation did not use. The level becomes exactly what
// it would be if the actual cost had been charged at first: a refund that would
// have exceeded the cap since then is lost. A cost above the charge may leave a
// debt.
func (b *Bucket) Settle(reservation Reservation, used float64, now time.Time) {
	b.fill(now)
	refund := reservation.Charged - used
	if reservation.operation == 0 {
		// Nothing was taken from this bucket; a debt counts all the same.
		b.level += min(0, refund)
		return
	}
	if refund > 0 {
		refund = min(refund, b.minHeadroom(reservation.operation))
	}
	b.level += refund
	b.openReservations--
	if b.openReservations <= 0 {
		b.headroom = b.headroom[:0]
	}
	b.recordHeadroom(now)
}

// Lend deducts up to an amount for another holder to spend before a deadline by
// the borrower's clock. The cap stays lowered until expiry, or until the
// borrower reports the tokens spent, so that they never count in two buckets.
// Burst from a share that ends before expiry is not lent. id names the loan.
func (b *Bucket) Lend(id string, amount float64, expiry, now time.Time) float64 {
	b.fill(now)
	lent := min(amount, b.level, b.burst(expiry)-b.outstanding(now))
	if lent <= 0 {
		return 0
	}
	reservation, _ := b.Spend(lent, now)
	b.loans = append(b.loans, loan{
		id:          id,
		reservation: reservation,
		expiry:      expiry,
	})
	b.recordHeadroom(now)
	return lent
}

// MarkLoanSpent lifts the cap again: the borrower spent the tokens or has
// deposited them in its own bucket.
func (b *Bucket) MarkLoanSpent(id string, now time.Time) {
	b.fill(now)
	for i := range b.loans {
		if b.loans[i].id != id || b.loans[i].spent {
			continue
		}
		// The open loan lowered the cap by its amount, so only the headroom
		// from now on limits the refund.
		b.operation++
		b.loans[i].reservation.operation = b.operation
		b.loans[i].spent = true
	}
	b.recordHeadroom(now)
}

// CloseLoan ends a loan and takes back what was not used of it, as Settle does
// with the holder's own charges.
func (b *Bucket) CloseLoan(id string, returned float64, now time.Time) {
	for i, l := range b.loans {
		if l.id != id {
			continue
		}
		b.loans = append(b.loans[:i], b.loans[i+1:]...)
		if !l.spent {
			b.operation++
			l.reservation.operation = b.operation
			b.recordHeadroom(now)
		}
		charged := l.reservation.Charged
		b.Settle(l.reservation, charged-max(0, min(returned, charged)), now)
		return
	}
}

// LentShare returns the smallest share, in parts per million, that covers the
// lent tokens that may still be spent. The holder must not claim less.
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
	b.recordHeadroom(now)
}

// fill adds the refill since the last call and limits the level to the cap.
func (b *Bucket) fill(now time.Time) {
	if now.Before(b.last) {
		return
	}
	b.level += b.refill(b.last, now)
	b.last = now
	b.dropExpiredLoans(now)
	limit := b.Cap(now)
	if b.level > limit {
		b.level = limit
	}
	b.recordHeadroom(now)
}

// refill returns what each part of the share adds until its own deadline.
func (b *Bucket) refill(from, to time.Time) float64 {
	leased := overlap(from, to, b.terms.LeasedDeadline) * float64(b.terms.Share.Leased)
	standing := overlap(from, to, b.terms.StandingDeadline) * float64(b.terms.Share.Standing)
	return b.terms.Rate * (leased + standing) / float64(FullShare)
}

// overlap returns the seconds between two times that lie before a deadline.
func overlap(from, to, deadline time.Time) float64 {
	if deadline.Before(to) {
		to = deadline
	}
	return max(0, to.Sub(from).Seconds())
}

// activeFraction returns the part of the pool whose deadline has not passed, as
// a fraction of the full pool.
func (b *Bucket) activeFraction(now time.Time) float64 {
	var parts int64
	if now.Before(b.terms.LeasedDeadline) {
		parts += b.terms.Share.Leased
	}
	if now.Before(b.terms.StandingDeadline) {
		parts += b.terms.Share.Standing
	}
	return float64(parts) / float64(FullShare)
}

// burst returns the capacity of the bucket's share before loans are deducted.
func (b *Bucket) burst(now time.Time) float64 {
	activeFraction := b.activeFraction(now)
	if activeFraction <= 0 {
		return 0
	}
	return max(b.terms.MinBurst, b.terms.Burst*activeFraction)
}

// outstanding returns the lent tokens that the borrower may still spend.
func (b *Bucket) outstanding(now time.Time) float64 {
	var sum float64
	for _, l := range b.loans {
		if !l.spent && !l.expiry.Before(now) {
			sum += l.reservation.Charged
		}
	}
	return sum
}

// dropExpiredLoans drops loans that were not closed within loanRetention of
// their expiry.
func (b *Bucket) dropExpiredLoans(now time.Time) {
	for len(b.loans) > 0 && b.loans[0].expiry.Add(loanRetention).Before(now) {
		b.loans = b.loans[1:]
		b.openReservations--
	}
}

// recordHeadroom updates the minima of the headroom while reservations are
// open.
func (b *Bucket) recordHeadroom(now time.Time) {
	if b.openReservations == 0 {
		return
	}
	headroom := max(0, b.Cap(now)-b.level)
	for len(b.headroom) > 0 && b.headroom[len(b.headroom)-1].headroom >= headroom {
		b.headroom = b.headroom[:len(b.headroom)-1]
	}
	b.headroom = append(b.headroom, headroomMinimum{
		operation: b.operation,
		headroom:  headroom,
	})
}

// minHeadroom returns the lowest headroom since an operation.
func (b *Bucket) minHeadroom(since int64) float64 {
	i := sort.Search(len(b.headroom), func(i int) bool {
		return b.headroom[i].operation >= since
	})
	if i == len(b.headroom) {
		return 0
	}
	return b.headroom[i].headroom
}
