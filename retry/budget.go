// Package retry bounds retries, so that a failure does not multiply the load
// that caused it.
package retry

import "sync"

const (
	// defaultRatio is how many retries each first attempt adds.
	defaultRatio = 0.1
	// defaultCapacity is the maximum number of retries that a budget holds.
	defaultCapacity = 20
)

// Budget is a token bucket that limits retries to a fraction of first attempts,
// plus a burst. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available float64
	ratio     float64
	capacity  float64
}

// NewBudget returns a full budget with the default ratio and capacity.
func NewBudget() *Budget { return NewBudgetWithCapacity(defaultRatio, defaultCapacity) }

// NewBudgetWithCapacity returns a full budget. Each first attempt adds ratio
// retries, up to capacity.
func NewBudgetWithCapacity(ratio, capacity float64) *Budget {
	return &Budget{
		available: capacity,
		ratio:     ratio,
		capacity:  capacity,
	}
}

// SetCapacity changes the capacity and drops retries beyond it.
func (b *Budget) SetCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.available = min(b.available, capacity)
}

// RecordAttempt adds the retries that one first attempt earns.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.capacity, b.available+b.ratio)
}

// Take spends one retry. It reports false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Return gives back a retry that was taken and not used.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.capacity, b.available+1)
}
