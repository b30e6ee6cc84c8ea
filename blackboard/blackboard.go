// Package blackboard holds the state that the parts of a daemon share.
// Controllers write its sections; request handlers read immutable snapshots of
// them.
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
	// Self is this instance. Its field Leaving is unused; call Blackboard.Leaving.
	Self          pomelospring.Instance
	Configuration Section[*configuration.State]
	Budget        Section[*budget.State]
	Domain        Section[*failuredomain.State]
	Intents       Section[*intent.State]
	// Peers are the known other instances, by ID.
	Peers Section[map[string]pomelospring.Instance]
	// Directory lists the model workers of the fleet.
	Directory *routing.Directory
	// Bank holds the token buckets of all pools.
	Bank *budget.Bank
	// Running are the requests in progress.
	Running *Running
	// Usage counts the requests and tokens that this instance served.
	Usage *Usage

	leaving          atomic.Bool
	refusing         atomic.Bool
	unreachableUntil sync.Map
	peerFences       sync.Map
	useMu            sync.Mutex
	inUse            map[string]*usedInstance
	leaseDeadline    atomic.Int64
}

// New returns an empty blackboard.
func New(self pomelospring.Instance) *Blackboard {
	b := &Blackboard{
		Self:      self,
		Directory: routing.NewDirectory(),
		Bank:      budget.NewBank(),
		Running:   NewRunning(),
		Usage:     NewUsage(),
		inUse:     map[string]*usedInstance{},
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

// Leaving reports whether the instance is stopping.
func (b *Blackboard) Leaving() bool { return b.leaving.Load() }

// RefuseRequests makes the instance refuse new requests.
func (b *Blackboard) RefuseRequests() { b.refusing.Store(true) }

// RefusesRequests reports whether the instance refuses new requests.
func (b *Blackboard) RefusesRequests() bool { return b.refusing.Load() }

// SetLeaseDeadline sets when the membership lease ends, by this instance's
// clock.
func (b *Blackboard) SetLeaseDeadline(deadline time.Time) { b.leaseDeadline.Store(deadline.UnixNano()) }

// LeaseDeadline returns when the membership lease ends.
func (b *Blackboard) LeaseDeadline() time.Time { return time.Unix(0, b.leaseDeadline.Load()) }

// SetUnreachableUntil keeps an instance out of routing until a time.
func (b *Blackboard) SetUnreachableUntil(id string, until time.Time) {
	b.unreachableUntil.Store(id, until)
}

// Reachable reports whether requests may be routed to an instance.
func (b *Blackboard) Reachable(id string, now time.Time) bool {
	until, known := b.unreachableUntil.Load(id)
	return !known || !now.Before(until.(time.Time))
}

// Section is one value of the blackboard, the time when it was last known to be
// current, and a signal for changes.
type Section[T any] struct {
	value   atomic.Pointer[dated[T]]
	mu      sync.Mutex
	changed chan struct{}
}

type dated[T any] struct {
	value   T
	freshAt time.Time
}

func (s *Section[T]) init(value T) {
	s.changed = make(chan struct{})
	s.value.Store(&dated[T]{
		value: value,
	})
}

// Get returns the value, which must not be modified.
func (s *Section[T]) Get() T { return s.value.Load().value }

// FreshAt returns when the value was last known to be current; zero if never.
func (s *Section[T]) FreshAt() time.Time { return s.value.Load().freshAt }

// Set replaces the value and wakes everyone who waits on Changed.
func (s *Section[T]) Set(value T, freshAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(&dated[T]{
		value:   value,
		freshAt: freshAt,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that the next Set closes.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// fenceReport is the fencing number that a peer reported, and when the report
// expires.
type fenceReport struct {
	fence     int64
	expiresAt time.Time
}

// RecordPeerFence stores the fencing number that a peer of the domain reported.
// The report expires at the given time.
func (b *Blackboard) RecordPeerFence(id string, fence int64, expiresAt time.Time) {
	b.peerFences.Store(id, fenceReport{
		fence:     fence,
		expiresAt: expiresAt,
	})
}

// PeerFence returns the fencing number that a peer of the domain reported, and
// whether that report is still valid.
func (b *Blackboard) PeerFence(id string, now time.Time) (fence int64, valid bool) {
	value, known := b.peerFences.Load(id)
	if !known {
		return 0, false
	}
	report := value.(fenceReport)
	return report.fence, now.Before(report.expiresAt)
}

// usedInstance is an instance that serves requests of this one.
type usedInstance struct {
	address  string
	requests int
}

// BeginUse marks an instance with a peer address as serving a request of this
// instance until release is called, so that the directory controller keeps polling
// it, also after it has left the list of instances.
func (b *Blackboard) BeginUse(id, address string) (release func()) {
	b.useMu.Lock()
	defer b.useMu.Unlock()
	used := b.inUse[id]
	if used == nil {
		used = &usedInstance{}
		b.inUse[id] = used
	}
	used.address = address
	used.requests++
	return func() {
		b.useMu.Lock()
		defer b.useMu.Unlock()
		if used.requests--; used.requests == 0 {
			delete(b.inUse, id)
		}
	}
}

// InUse returns the peer addresses of the instances that serve requests of this
// instance, by ID.
func (b *Blackboard) InUse() map[string]string {
	b.useMu.Lock()
	defer b.useMu.Unlock()
	addresses := make(map[string]string, len(b.inUse))
	for id, used := range b.inUse {
		addresses[id] = used.address
	}
	return addresses
}
