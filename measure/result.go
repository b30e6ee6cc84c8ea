package measure

import (
	"slices"
	"time"
)

// Result is what one run came to.
type Result struct {
	Requests int
	Refused  int
	Expired  int
	Loads    int
	// Stalls are the waits of requests whose adapter was not resident when
	// they arrived; a request that was never started counts its whole wait.
	Stalls []time.Duration
	// FirstTokenTimes are the times to first token by team.
	FirstTokenTimes map[int][]time.Duration
	// Busy is the workers' busy time, and Tokens what they made in it.
	Busy   time.Duration
	Tokens float64
}

func (r *Result) refuse(measured bool, _ int) {
	if measured {
		r.Requests++
		r.Refused++
	}
}

func (r *Result) load(measured bool) {
	if measured {
		r.Loads++
	}
}

func (r *Result) expire(measured bool, item *running) {
	if !measured {
		return
	}
	r.Requests++
	r.Expired++
	r.Stalls = append(r.Stalls, startTime)
	r.FirstTokenTimes[item.request.team] = append(r.FirstTokenTimes[item.request.team], startTime)
}

func (r *Result) start(measured bool, item *running, now time.Duration) {
	if !measured {
		return
	}
	r.Requests++
	wait := now - item.request.at
	if !item.resident {
		r.Stalls = append(r.Stalls, wait)
	}
	first := wait + time.Duration(item.request.prompt)*prefillTime + tokenTime
	r.FirstTokenTimes[item.request.team] = append(r.FirstTokenTimes[item.request.team], first)
}

func (r *Result) sort() {
	slices.Sort(r.Stalls)
	for _, times := range r.FirstTokenTimes {
		slices.Sort(times)
	}
}

// StallTime is the time lost to load stalls, per request, in seconds.
func (r Result) StallTime() float64 {
	var sum time.Duration
	for _, stall := range r.Stalls {
		sum += stall
	}
	return sum.Seconds() / float64(max(1, r.Requests))
}

// StallQuantile is a quantile over all requests, in seconds; those without a
// stall count as 0.
func (r Result) StallQuantile(q float64) float64 {
	position := int(q*float64(r.Requests)) - (r.Requests - len(r.Stalls))
	if position < 0 || len(r.Stalls) == 0 {
		return 0
	}
	return r.Stalls[min(position, len(r.Stalls)-1)].Seconds()
}

// WorstFirstTokenTime is the 95th percentile of the time to first token of the team
// that fares worst among those named, in seconds.
func (r Result) WorstFirstTokenTime(teams []int) float64 {
	var worst float64
	for _, team := range teams {
		times := r.FirstTokenTimes[team]
		if len(times) > 0 {
			worst = max(worst, times[len(times)*95/100].Seconds())
		}
	}
	return worst
}

// Efficiency is the tokens made in a busy second.
func (r Result) Efficiency() float64 {
	return r.Tokens / max(1e-9, r.Busy.Seconds())
}
