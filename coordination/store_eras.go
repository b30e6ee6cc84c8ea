package coordination

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/lease"
)

// StoreEras is what this instance knows of the store's era, from the store's answers
// and from other instances.
type StoreEras struct {
	Logger log.Interface
	// Uptime is a clock that keeps running while the process is suspended.
	Uptime func() time.Duration
	// FirstFleetStart says that the whole fleet is starting for the first time, so
	// that there are no leases of earlier eras.
	FirstFleetStart bool

	mu       sync.Mutex
	eras     lease.Eras
	observed bool
}

// Answered records the era of an answer of the store.
func (s *StoreEras) Answered(era int64) { s.observe(era, 0, "store") }

// Reported records the era that another instance knows, and for how long.
func (s *StoreEras) Reported(era int64, age time.Duration) {
	// An instance that has no answer of the store yet reports 0.
	if era > 0 {
		s.observe(era, age, "instance")
	}
}

// Settled records that all leases of earlier eras have ended.
func (s *StoreEras) Settled(era int64) {
	if era > 0 {
		s.observe(era, lease.SettledAge, "group")
	}
}

func (s *StoreEras) observe(era int64, age time.Duration, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Uptime()
	settled := s.FirstFleetStart && !s.observed
	s.observed = true
	before, rose := s.eras.Observe(era, now-age, now, settled)
	if rose {
		events.Log(s.Logger, events.StoreRestored, log.Fields{
			"eraBefore": before,
			"eraAfter":  era,
			"ageMs":     age.Milliseconds(),
			"source":    source,
		})
	}
}

// Current returns the store's era and for how long it is known in the fleet.
func (s *StoreEras) Current() (era int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eras.Current(s.Uptime())
}

// ordersFrom returns the store's era, and when the leases of earlier eras no longer
// forbid orders.
func (s *StoreEras) ordersFrom(handoverTime time.Duration) (era int64, from time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ = s.eras.Current(s.Uptime())
	return era, s.eras.OrdersFrom(handoverTime)
}
