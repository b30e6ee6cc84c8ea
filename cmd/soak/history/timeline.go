package history

import (
	"net/http"
	"slices"
	"time"
)

// Groups of outcomes in a timeline.
const (
	Served  = "served"
	Refused = "refused"
	Failed  = "failed"
)

// Timeline is the course of a soak. Times are in seconds from the first request.
type Timeline struct {
	// PerSecond has the number of requests sent in each second, by group of outcomes.
	PerSecond map[string][]int
	Faults    []Span
}

// Span is the time in which a fault lasted.
type Span struct {
	Kind  string
	Begin float64
	End   float64
}

// NewTimeline counts the requests of a history, and lists its faults by begin. Requests
// of a team beyond its quota and those that no instance could be reached for are left out.
func NewTimeline(h *History) Timeline {
	t := Timeline{PerSecond: map[string][]int{}}
	if len(h.Requests) == 0 {
		return t
	}
	earliest := func(x, y Request) int { return x.Sent.Compare(y.Sent) }
	start := slices.MinFunc(h.Requests, earliest).Sent
	length := int(slices.MaxFunc(h.Requests, earliest).Sent.Sub(start)/time.Second) + 1
	for _, group := range []string{Served, Refused, Failed} {
		t.PerSecond[group] = make([]int, length)
	}
	for _, r := range h.Requests {
		if r.Unreached || r.Status == http.StatusTooManyRequests {
			continue
		}
		t.PerSecond[group(r)][int(r.Sent.Sub(start)/time.Second)]++
	}
	for _, f := range h.Faults {
		t.Faults = append(t.Faults, Span{
			Kind:  f.Kind,
			Begin: f.Begin.Sub(start).Seconds(),
			End:   f.End.Sub(start).Seconds(),
		})
	}
	slices.SortStableFunc(t.Faults, func(x, y Span) int { return int(x.Begin*1000) - int(y.Begin*1000) })
	return t
}

func group(r Request) string {
	switch {
	case r.Status == http.StatusOK && len(r.Events) >= r.EventCount:
		return Served
	case isNotRun(r.Status) || r.Status == http.StatusUnauthorized:
		return Refused
	}
	return Failed
}
