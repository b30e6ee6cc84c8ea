package ownership

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
)

// rate is an exponentially decaying count of requests, as of updatedAt.
type rate struct {
	count     float64
	updatedAt time.Time
}

// countRequest adds a request to the rate of its adapter.
func (s *Scheduler) countRequest(adapter pomelospring.AdapterVersion, now time.Time) {
	r, known := s.rates[adapter]
	if !known {
		if len(s.rates) >= maxRates {
			s.discardRates(now)
		}
		r = &rate{
			updatedAt: now,
		}
		s.rates[adapter] = r
	}
	r.count = r.decayed(now) + 1
	r.updatedAt = now
}

// discardRates removes the adapters whose count decayed below half a request.
func (s *Scheduler) discardRates(now time.Time) {
	for adapter, r := range s.rates {
		if r.decayed(now) < 0.5 {
			delete(s.rates, adapter)
		}
	}
}

// decayed returns the count as of now.
func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds())
}

// requestRate returns an adapter's requests per second.
func (s *Scheduler) requestRate(adapter pomelospring.AdapterVersion, now time.Time) float64 {
	r, known := s.rates[adapter]
	if !known {
		return 0
	}
	return r.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}
