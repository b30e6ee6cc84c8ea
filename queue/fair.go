// Package queue orders the requests that wait for model workers.
package queue

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Fair serves teams by virtual token counters: the team with the fewest served
// tokens for its weight goes first; within a team, higher priority and then
// earlier arrival. A team that was idle starts at the counter of the least
// served waiting team, so that it gains no credit by idling.
type Fair struct {
	teams map[string]*team
	byID  map[string]*pomelospring.Work
}

type team struct {
	name string
	// served is the virtual token counter: tokens served, divided by the weight.
	served    float64
	byAdapter map[pomelospring.AdapterVersion][]*pomelospring.Work
	// count is the number of waiting requests.
	count int
}

var _ pomelospring.Queue = (*Fair)(nil)

// NewFair returns an empty queue.
func NewFair() *Fair {
	return &Fair{
		teams: map[string]*team{},
		byID:  map[string]*pomelospring.Work{},
	}
}

// Push implements pomelospring.Queue.
func (f *Fair) Push(work *pomelospring.Work) {
	t := f.team(work.Team)
	if t.count == 0 {
		t.served = max(t.served, f.minServed(t))
	}
	t.count++
	waiting := t.byAdapter[work.Adapter]
	i, _ := slices.BinarySearchFunc(waiting, work, compareWork)
	t.byAdapter[work.Adapter] = slices.Insert(waiting, i, work)
	f.byID[work.ID] = work
}

// Pop implements pomelospring.Queue.
func (f *Fair) Pop(server string, ready []pomelospring.AdapterVersion) *pomelospring.Work {
	var best *pomelospring.Work
	var from *team
	for _, t := range f.teams {
		if t.count == 0 || from != nil && !servedLess(t, from) {
			continue
		}
		if work := t.firstReady(server, ready); work != nil {
			best, from = work, t
		}
	}
	if best == nil {
		return nil
	}
	f.remove(best)
	from.served += best.Cost / effectiveWeight(best.Weight)
	return best
}

// servedLess orders teams by served tokens. Ties are broken by name, so that runs
// are reproducible.
func servedLess(a, b *team) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.name < b.name
}

// firstReady returns the team's next work for a ready adapter that may go to the
// server, or nil if there is none.
func (t *team) firstReady(server string, ready []pomelospring.AdapterVersion) *pomelospring.Work {
	var best *pomelospring.Work
	for _, adapter := range ready {
		for _, work := range t.byAdapter[adapter] {
			if work.Avoids(server) {
				continue
			}
			if best == nil || compareWork(work, best) < 0 {
				best = work
			}
			break
		}
	}
	return best
}

// Remove implements pomelospring.Queue.
func (f *Fair) Remove(id string) bool {
	work, known := f.byID[id]
	if !known {
		return false
	}
	f.remove(work)
	return true
}

func (f *Fair) remove(work *pomelospring.Work) {
	t := f.teams[work.Team]
	waiting := t.byAdapter[work.Adapter]
	i := slices.Index(waiting, work)
	waiting = slices.Delete(waiting, i, i+1)
	if len(waiting) == 0 {
		delete(t.byAdapter, work.Adapter)
	} else {
		t.byAdapter[work.Adapter] = waiting
	}
	t.count--
	delete(f.byID, work.ID)
}

// Settle implements pomelospring.Queue.
func (f *Fair) Settle(team string, weight, surplus float64) {
	f.team(team).served -= surplus / effectiveWeight(weight)
}

// Waiting implements pomelospring.Queue.
func (f *Fair) Waiting() map[pomelospring.AdapterVersion]pomelospring.Waiting {
	sums := map[pomelospring.AdapterVersion]pomelospring.Waiting{}
	for _, t := range f.teams {
		for adapter, waiting := range t.byAdapter {
			sums[adapter] = addWaiting(sums[adapter], waiting, t.served)
		}
	}
	return sums
}

// addWaiting adds the waiting work of one team and adapter to a sum.
func addWaiting(total pomelospring.Waiting, waiting []*pomelospring.Work, served float64) pomelospring.Waiting {
	if total.Count == 0 || served < total.MinVirtualTime {
		total.MinVirtualTime = served
		total.Team = waiting[0].Team
	}
	for _, work := range waiting {
		if total.Count == 0 || work.Arrived.Before(total.Oldest) {
			total.Oldest = work.Arrived
		}
		total.Base = work.Base
		total.Count++
	}
	return total
}

// Expired implements pomelospring.Queue.
func (f *Fair) Expired(now time.Time) []*pomelospring.Work {
	return removeExpired(f.byID, now, f.remove)
}

// Len implements pomelospring.Queue.
func (f *Fair) Len() int {
	return len(f.byID)
}

func (f *Fair) team(name string) *team {
	t, known := f.teams[name]
	if !known {
		t = &team{
			name:      name,
			byAdapter: map[pomelospring.AdapterVersion][]*pomelospring.Work{},
		}
		f.teams[name] = t
	}
	return t
}

// minServed returns the lowest counter among the other waiting teams, or 0 if
// there are none.
func (f *Fair) minServed(except *team) float64 {
	minServed, found := 0.0, false
	for _, t := range f.teams {
		if t == except || t.count == 0 {
			continue
		}
		if !found || t.served < minServed {
			minServed, found = t.served, true
		}
	}
	return minServed
}

// effectiveWeight raises weights below 1, such as an unset one, to 1.
func effectiveWeight(weight float64) float64 {
	return max(1, weight)
}

// compareWork orders work by priority, highest first, then by arrival.
func compareWork(a, b *pomelospring.Work) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return a.Arrived.Compare(b.Arrived)
}

// removeExpired removes the work whose deadline has passed and returns it in the
// order of the IDs.
func removeExpired(byID map[string]*pomelospring.Work, now time.Time, remove func(*pomelospring.Work)) []*pomelospring.Work {
	var found []*pomelospring.Work
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		if byID[id].Deadline.Before(now) {
			found = append(found, byID[id])
		}
	}
	for _, work := range found {
		remove(work)
	}
	return found
}
