package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// demandHalfLife is the time after which a pool's recorded demand has
	// decayed to half.
	demandHalfLife = 5 * time.Second
	// roundingMarginTokens covers rounding errors when loans are added up.
	roundingMarginTokens = 0.001
	// demandStepsPerToken is the precision of reported demand: hundredths of a
	// token a second.
	demandStepsPerToken = 100
)

// Bank holds an instance's buckets, one for each pool. It is safe for
// concurrent use.
type Bank struct {
	mu       sync.RWMutex
	accounts map[string]*account
}

// account is one pool's bucket with its terms and demand.
type account struct {
	mu     sync.Mutex
	bucket *Bucket
	// demand is an exponentially decayed count of requested tokens, whether
	// spent or refused.
	demand   float64
	demandAt time.Time
	terms    Terms
}

// NewBank returns a bank without buckets.
func NewBank() *Bank {
	return &Bank{
		accounts: map[string]*account{},
	}
}

// SetTerms puts a pool's bucket under new terms and creates the bucket if there
// is none.
func (b *Bank) SetTerms(pool string, terms Terms, now time.Time) {
	a := b.openAccount(pool, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terms = terms
	a.bucket.SetTerms(terms, now)
}

// Spend takes the cost less the borrowed part from a pool's bucket, or takes
// nothing and returns false. borrowed was lent by other holders: it is not part
// of the reservation and stays with the caller when nothing is spent.
func (b *Bank) Spend(pool string, cost, borrowed float64, now time.Time) (reservation Reservation, spent bool) {
	a := b.find(pool)
	if a == nil {
		return Reservation{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reservation, spent = a.bucket.Spend(max(0, cost-borrowed), now)
	if !spent {
		return reservation, false
	}
	return reservation, true
}

// SpendUpTo takes as much of a cost as the bucket holds, so that no other
// request can take these tokens while the rest is borrowed.
func (b *Bank) SpendUpTo(pool string, cost float64, now time.Time) (reservation Reservation) {
	a := b.find(pool)
	if a == nil {
		return Reservation{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reservation, _ = a.bucket.Spend(max(0, min(cost, a.bucket.Level(now))), now)
	return reservation
}

// RecordDemand adds requested tokens to the pool's demand, whether they are
// spent or refused.
func (b *Bank) RecordDemand(pool string, tokens float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.demand += tokens
}

// Settle returns what a reservation did not use to the bucket and removes it
// from the demand.
func (b *Bank) Settle(pool string, reservation Reservation, used float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Settle(reservation, used, now)
	a.decay(now)
	a.demand = max(0, a.demand-(reservation.Charged-used))
}

// Lend deducts up to an amount for another holder and returns what it lent and
// the remaining level.
func (b *Bank) Lend(pool, id string, amount float64, expiry, now time.Time) (lent, remaining float64) {
	a := b.find(pool)
	if a == nil {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	lent = a.bucket.Lend(id, amount, expiry, now)
	return lent, a.bucket.Level(now)
}

// MarkLoanSpent lifts the cap after a loan; see Bucket.MarkLoanSpent.
func (b *Bank) MarkLoanSpent(pool, id string, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.MarkLoanSpent(id, now)
}

// CloseLoan ends a loan; see Bucket.CloseLoan.
func (b *Bank) CloseLoan(pool, id string, returned float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.CloseLoan(id, returned, now)
}

// demandRate returns the demand in tokens a second.
func (a *account) demandRate() float64 {
	return a.demand * math.Ln2 / demandHalfLife.Seconds()
}

// Shortfall returns how much of a cost the bucket lacks, and the pool's terms.
// The shortfall includes a margin, so that a loan of this amount covers the
// cost despite rounding.
func (b *Bank) Shortfall(pool string, cost float64, now time.Time) (shortfall float64, terms Terms) {
	a := b.find(pool)
	if a == nil {
		return cost, Terms{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	shortfall = cost - a.bucket.Level(now)
	if shortfall <= 0 {
		return 0, a.terms
	}
	return shortfall + roundingMarginTokens, a.terms
}

// Filling reports whether a pool's bucket may still be filling for the first
// time; see Bucket.Filling. It is true for a pool without a bucket.
func (b *Bank) Filling(pool string, now time.Time) bool {
	a := b.find(pool)
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Filling(now)
}

// LentShare returns the smallest share of a pool that covers its lent tokens;
// see Bucket.LentShare.
func (b *Bank) LentShare(pool string, now time.Time) int64 {
	a := b.find(pool)
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.LentShare(now)
}

// DemandRates returns the demand of each pool, in tokens a second.
func (b *Bank) DemandRates(now time.Time) map[string]float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	demand := make(map[string]float64, len(b.accounts))
	for pool, a := range b.accounts {
		a.mu.Lock()
		a.decay(now)
		demand[pool] = math.Round(a.demandRate()*demandStepsPerToken) / demandStepsPerToken
		a.mu.Unlock()
	}
	return demand
}

func (a *account) decay(now time.Time) {
	if now.After(a.demandAt) {
		a.demand *= math.Exp2(-now.Sub(a.demandAt).Seconds() / demandHalfLife.Seconds())
		a.demandAt = now
	}
}

func (b *Bank) find(pool string) *account {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.accounts[pool]
}

func (b *Bank) openAccount(pool string, now time.Time) *account {
	if a := b.find(pool); a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[pool]
	if !known {
		a = &account{
			bucket:   NewBucket(now),
			demandAt: now,
		}
		b.accounts[pool] = a
	}
	return a
}

// Deposit adds tokens lent by another holder, up to the cap.
func (b *Bank) Deposit(pool string, amount float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Deposit(amount, now)
}
