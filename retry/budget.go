// Package retry bounds retries, so that a failure does not multiply the load
// that caused it.
package retry

import "sync"

const (
	// earned is what each first attempt adds, in retries.
	earned = 0.1
	// capacity is the most that is saved up, in retries.
	capacity = 20
)

// Budget lets retries be a part of first attempts, and a few more after quiet
// times. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	level float64
}

// NewBudget makes a full budget.
func NewBudget() *Budget {
	return &Budget{
		level: capacity,
	}
}

// Attempted counts a first attempt.
func (b *Budget) Attempted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(capacity, b.level+earned)
}

// Take spends one retry, or reports that none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
