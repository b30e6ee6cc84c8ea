package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// demandHalfLife is how fast the demand of a pool is forgotten.
	demandHalfLife = 5 * time.Second
	// roundingMargin covers what is lost in adding up loans, in tokens.
	roundingMargin = 0.001
	// wantedSteps is how finely demand is told, in steps a token a second.
	wantedSteps = 100
)

// Bank holds an instance's buckets, one for each pool. It is safe for
// concurrent use.
type Bank struct {
	mu       sync.RWMutex
	accounts map[string]*account
}

type account struct {
	mu     sync.Mutex
	bucket *Bucket
	// wanted is a decayed count of tokens asked for, served or refused.
	wanted   float64
	wantedAt time.Time
	terms    Terms
}

// NewBank makes a bank without buckets.
func NewBank() *Bank {
	return &Bank{
		accounts: map[string]*account{},
	}
}

// SetTerms puts a pool's bucket under new terms.
func (b *Bank) SetTerms(pool string, terms Terms, now time.Time) {
	a := b.open(pool, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terms = terms
	a.bucket.SetTerms(terms, now)
}

// Spend takes a cost from a pool, or nothing. borrowed is a part of the cost
// that was lent by others; it comes on top of the bucket, is not part of the
// reservation, and stays with the caller when nothing is spent.
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

// SpendUpTo takes as much of a cost as the bucket has, so that no other request
// counts on the same tokens while the rest is borrowed.
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

// RecordDemand counts tokens asked for, whether served or refused.
func (b *Bank) RecordDemand(pool string, tokens float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.wanted += tokens
}

// Settle gives back what a reservation did not use.
func (b *Bank) Settle(pool string, reservation Reservation, used float64, now time.Time) {
	a := b.find(pool)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Settle(reservation, used, now)
	a.decay(now)
	a.wanted = max(0, a.wanted-(reservation.Charged-used))
}

// Lend deducts up to an amount for another holder and says what is left.
func (b *Bank) Lend(pool, id string, amount float64, heldUntil, now time.Time) (lent, left float64) {
	a := b.find(pool)
	if a == nil {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	lent = a.bucket.Lend(id, amount, heldUntil, now)
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

// wantedRate is the demand in tokens a second.
func (a *account) wantedRate() float64 {
	return a.wanted * math.Ln2 / demandHalfLife.Seconds()
}

// Shortfall is how much of a cost the bucket lacks, with a margin so that a loan
// of as much suffices in spite of rounding, and the pool's terms.
func (b *Bank) Shortfall(pool string, cost float64, now time.Time) (missing float64, terms Terms) {
	a := b.find(pool)
	if a == nil {
		return cost, Terms{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	missing = cost - a.bucket.Level(now)
	if missing <= 0 {
		return 0, a.terms
	}
	return missing + roundingMargin, a.terms
}

// Filling says whether a pool's bucket is still on its way from its empty start
// here; see Bucket.Filling. A pool without a bucket is.
func (b *Bank) Filling(pool string, now time.Time) bool {
	a := b.find(pool)
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Filling(now)
}

// LentShare is the part of a pool that covers what is lent out; see Bucket.LentShare.
func (b *Bank) LentShare(pool string, now time.Time) int64 {
	a := b.find(pool)
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.LentShare(now)
}

// DemandRates is the demand of every pool, in tokens a second.
func (b *Bank) DemandRates(now time.Time) map[string]float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	wanted := make(map[string]float64, len(b.accounts))
	for pool, a := range b.accounts {
		a.mu.Lock()
		a.decay(now)
		wanted[pool] = math.Round(a.wantedRate()*wantedSteps) / wantedSteps
		a.mu.Unlock()
	}
	return wanted
}

func (a *account) decay(now time.Time) {
	if now.After(a.wantedAt) {
		a.wanted *= math.Exp2(-now.Sub(a.wantedAt).Seconds() / demandHalfLife.Seconds())
		a.wantedAt = now
	}
}

func (b *Bank) find(pool string) *account {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.accounts[pool]
}

func (b *Bank) open(pool string, now time.Time) *account {
	if a := b.find(pool); a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[pool]
	if !known {
		a = &account{
			bucket:   NewBucket(now),
			wantedAt: now,
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
