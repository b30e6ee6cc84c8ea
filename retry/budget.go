// Package retry bounds retries, so that a failure does not multiply the load
// that caused it.
package retry

import "sync"

const (
	// defaultEarned is what each first attempt adds, in retries.
	defaultEarned = 0.1
	// defaultCapacity is the most that is saved up, in retries.
	defaultCapacity = 20
)

// Budget lets retries be a part of first attempts, and a few more after quiet
// times. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	level    float64
	earned   float64
	capacity float64
}

// NewBudget makes a full budget of the usual size.
func NewBudget() *Budget { return NewBudgetWithCapacity(defaultEarned, defaultCapacity) }

// NewBudgetWithCapacity makes a full budget. Each first attempt adds earned retries, and
// capacity is the most that is saved up.
func NewBudgetWithCapacity(earned, capacity float64) *Budget {
	return &Budget{
		level:    capacity,
		earned:   earned,
		capacity: capacity,
	}
}

// SetCapacity changes the most that is saved up.
func (b *Budget) SetCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// RecordAttempt counts a first attempt.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.capacity, b.level+b.earned)
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
