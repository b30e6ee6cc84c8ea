package ownership

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
)

// rate is a decayed count of requests.
type rate struct {
	count float64
	at    time.Time
}

func (s *Scheduler) hit(adapter pomelospring.AdapterVersion, now time.Time) {
	r, known := s.rates[adapter]
	if !known {
		if len(s.rates) >= ratesKept {
			s.forgetRates(now)
		}
		r = &rate{
			at: now,
		}
		s.rates[adapter] = r
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

func (s *Scheduler) forgetRates(now time.Time) {
	for adapter, r := range s.rates {
		if r.decayed(now) < 0.5 {
			delete(s.rates, adapter)
		}
	}
}

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.at).Seconds()/rateHalfLife.Seconds())
}

// perSecond is the rate of an adapter's requests.
func (s *Scheduler) perSecond(adapter pomelospring.AdapterVersion, now time.Time) float64 {
	r, known := s.rates[adapter]
	if !known {
		return 0
	}
	return r.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}
