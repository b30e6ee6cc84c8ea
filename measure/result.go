package measure

import (
	"slices"
	"time"
)

// Result holds the figures of one run, without its warm-up.
type Result struct {
	Requests int
	Refused  int
	Expired  int
	Loads    int
	// Stalls are the waits of requests whose adapter was not resident when
	// they arrived, and of every request that expired before it started.
	Stalls []time.Duration
	// FirstTokenTimes are the times to first token by team; a request that
	// expired counts with its wait.
	FirstTokenTimes map[int][]time.Duration
	// Busy is the total busy time of the workers, and Tokens the output tokens
	// that they generated in it.
	Busy   time.Duration
	Tokens float64
}

// refuse counts a refused request.
func (r *Result) refuse(measured bool, _ int) {
	if measured {
		r.Requests++
		r.Refused++
	}
}

// load counts an adapter load.
func (r *Result) load(measured bool) {
	if measured {
		r.Loads++
	}
}

// expire counts a request that expired before it started.
func (r *Result) expire(measured bool, item *running) {
	if !measured {
		return
	}
	r.Requests++
	r.Expired++
	r.Stalls = append(r.Stalls, maxWait)
	r.FirstTokenTimes[item.request.team] = append(r.FirstTokenTimes[item.request.team], maxWait)
}

// start counts a request that starts now, with its stall and its time to first
// token.
func (r *Result) start(measured bool, item *running, now time.Duration) {
	if !measured {
		return
	}
	r.Requests++
	wait := now - item.request.at
	if !item.resident {
		r.Stalls = append(r.Stalls, wait)
	}
	first := wait + time.Duration(item.request.promptTokens)*prefillTime + tokenTime
	r.FirstTokenTimes[item.request.team] = append(r.FirstTokenTimes[item.request.team], first)
}

// sort sorts the samples, as the quantiles require.
func (r *Result) sort() {
	slices.Sort(r.Stalls)
	for _, times := range r.FirstTokenTimes {
		slices.Sort(times)
	}
}

// StallTime returns the mean time per request lost to stalls, in seconds.
func (r Result) StallTime() float64 {
	var sum time.Duration
	for _, stall := range r.Stalls {
		sum += stall
	}
	return sum.Seconds() / float64(max(1, r.Requests))
}

// StallQuantile returns a quantile of the stalls of all requests, in seconds;
// requests without a stall count as 0.
func (r Result) StallQuantile(q float64) float64 {
	position := int(q*float64(r.Requests)) - (r.Requests - len(r.Stalls))
	if position < 0 || len(r.Stalls) == 0 {
		return 0
	}
	return r.Stalls[min(position, len(r.Stalls)-1)].Seconds()
}

// WorstFirstTokenTime returns the 95th percentile of the time to first token of
// the team with the highest one among those given, in seconds.
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

// Efficiency returns the output tokens per second of busy time.
func (r Result) Efficiency() float64 {
	return r.Tokens / max(1e-9, r.Busy.Seconds())
}
