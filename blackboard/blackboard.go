// Package blackboard holds what the parts of a daemon know. Controllers write
// its sections; request handling reads immutable snapshots of them.
package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/intent"
	"github.com/pomelospring/pomelospring/routing"
)

// Blackboard is shared by all controllers of one daemon.
type Blackboard struct {
	// Self is this instance; Leaving in it is not used.
	Self          pomelospring.Instance
	Configuration Section[*configuration.State]
	Budget        Section[*budget.State]
	Domain        Section[*failuredomain.State]
	Intents       Section[*intent.State]
	// Peers are the other instances known, by ID.
	Peers Section[map[string]pomelospring.Instance]
	// Directory knows the model workers of the fleet.
	Directory *routing.Directory
	// Bank holds the buckets.
	Bank *budget.Bank
	// Running are the requests in progress.
	Running *Running
	// Usage counts what was served.
	Usage *Usage

	leaving    atomic.Bool
	closed     atomic.Bool
	unreached  sync.Map
	fences     sync.Map
	inUse      sync.Map
	leaseUntil atomic.Int64
}

// New makes an empty blackboard.
func New(self pomelospring.Instance) *Blackboard {
	b := &Blackboard{
		Self:      self,
		Directory: routing.NewDirectory(),
		Bank:      budget.NewBank(),
		Running:   NewRunning(),
		Usage:     NewUsage(),
	}
	b.Configuration.init(configuration.NewState())
	b.Budget.init(budget.NewState())
	b.Domain.init(failuredomain.NewState())
	b.Intents.init(intent.NewState())
	b.Peers.init(map[string]pomelospring.Instance{})
	return b
}

// Leave marks the instance as stopping.
func (b *Blackboard) Leave() { b.leaving.Store(true) }

// Leaving says whether the instance is stopping.
func (b *Blackboard) Leaving() bool { return b.leaving.Load() }

// RefuseRequests makes the instance refuse new requests.
func (b *Blackboard) RefuseRequests() { b.closed.Store(true) }

// RefusesRequests says whether the instance refuses new requests.
func (b *Blackboard) RefusesRequests() bool { return b.closed.Load() }

// SetLeaseDeadline sets when the membership lease ends by this instance's clock.
func (b *Blackboard) SetLeaseDeadline(deadline time.Time) { b.leaseUntil.Store(deadline.UnixNano()) }

// LeaseDeadline is when the membership lease ends.
func (b *Blackboard) LeaseDeadline() time.Time { return time.Unix(0, b.leaseUntil.Load()) }

// SetUnreachableUntil keeps an instance out of routing until a time.
func (b *Blackboard) SetUnreachableUntil(id string, until time.Time) { b.unreached.Store(id, until) }

// Reachable says whether an instance may be tried.
func (b *Blackboard) Reachable(id string, now time.Time) bool {
	until, known := b.unreached.Load(id)
	return !known || !now.Before(until.(time.Time))
}

// Section is one value with the time that it was current and word of changes.
type Section[T any] struct {
	value   atomic.Pointer[dated[T]]
	mu      sync.Mutex
	changed chan struct{}
}

type dated[T any] struct {
	value T
	fresh time.Time
}

func (s *Section[T]) init(value T) {
	s.changed = make(chan struct{})
	s.value.Store(&dated[T]{
		value: value,
	})
}

// Get returns the value, which must not be changed.
func (s *Section[T]) Get() T { return s.value.Load().value }

// FreshAt is when the value was last known to be current.
func (s *Section[T]) FreshAt() time.Time { return s.value.Load().fresh }

// Set replaces the value and tells those that wait.
func (s *Section[T]) Set(value T, fresh time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(&dated[T]{
		value: value,
		fresh: fresh,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed is closed at the next Set.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// heardFence is a peer's fencing number and how long its word counts.
type heardFence struct {
	fence int64
	until time.Time
}

// RecordPeerFence notes the fencing number that a peer of the domain knows.
func (b *Blackboard) RecordPeerFence(id string, fence int64, until time.Time) {
	b.fences.Store(id, heardFence{
		fence: fence,
		until: until,
	})
}

// PeerFence is the fencing number that a peer of the domain said it knows,
// if it said so of late.
func (b *Blackboard) PeerFence(id string, now time.Time) (fence int64, heard bool) {
	value, known := b.fences.Load(id)
	if !known {
		return 0, false
	}
	said := value.(heardFence)
	return said.fence, now.Before(said.until)
}

// BeginUse marks an instance as serving a request from here until release is
// called, so that it is watched.
func (b *Blackboard) BeginUse(id string) (release func()) {
	value, _ := b.inUse.LoadOrStore(id, &atomic.Int64{})
	count := value.(*atomic.Int64)
	count.Add(1)
	return func() { count.Add(-1) }
}

// InUse says whether an instance serves a request from here.
func (b *Blackboard) InUse(id string) bool {
	value, known := b.inUse.Load(id)
	return known && value.(*atomic.Int64).Load() > 0
}
