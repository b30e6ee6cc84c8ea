// Package queue orders the work that waits for model workers.
package queue

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Fair serves teams by virtual token counters: the team that was served least
// for its weight goes first, then priority, then age. A team that was idle
// starts level with the least served one, so that idling earns no claim.
type Fair struct {
	teams map[string]*team
	byID  map[string]*pomelospring.Work
}

type team struct {
	name string
	// served is in tokens over weight.
	served    float64
	byAdapter map[pomelospring.AdapterVersion][]*pomelospring.Work
	count     int
}

var _ pomelospring.Queue = (*Fair)(nil)

// NewFair makes an empty queue.
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
		t.served = max(t.served, f.least(t))
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
		if t.count == 0 || from != nil && !before(t, from) {
			continue
		}
		if work := t.first(server, ready); work != nil {
			best, from = work, t
		}
	}
	if best == nil {
		return nil
	}
	f.remove(best)
	from.served += best.Cost / weightOf(best.Weight)
	return best
}

// before breaks ties by name so that runs repeat.
func before(a, b *team) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.name < b.name
}

func (t *team) first(server string, ready []pomelospring.AdapterVersion) *pomelospring.Work {
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
	f.team(team).served -= surplus / weightOf(weight)
}

// Waiting implements pomelospring.Queue.
func (f *Fair) Waiting() map[pomelospring.AdapterVersion]pomelospring.Waiting {
	sums := map[pomelospring.AdapterVersion]pomelospring.Waiting{}
	for _, t := range f.teams {
		for adapter, waiting := range t.byAdapter {
			sums[adapter] = sum(sums[adapter], waiting, t.served)
		}
	}
	return sums
}

func sum(held pomelospring.Waiting, waiting []*pomelospring.Work, served float64) pomelospring.Waiting {
	if held.Count == 0 || served < held.Lead {
		held.Lead = served
		held.Team = waiting[0].Team
	}
	for _, work := range waiting {
		if held.Count == 0 || work.Arrived.Before(held.Oldest) {
			held.Oldest = work.Arrived
		}
		held.Base = work.Base
		held.Count++
	}
	return held
}

// Expired implements pomelospring.Queue.
func (f *Fair) Expired(now time.Time) []*pomelospring.Work {
	return expired(f.byID, now, f.remove)
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

// least is the smallest account among the other teams that wait.
func (f *Fair) least(except *team) float64 {
	least, found := 0.0, false
	for _, t := range f.teams {
		if t == except || t.count == 0 {
			continue
		}
		if !found || t.served < least {
			least, found = t.served, true
		}
	}
	return least
}

func weightOf(weight float64) float64 {
	return max(1, weight)
}

func compareWork(a, b *pomelospring.Work) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return a.Arrived.Compare(b.Arrived)
}

func expired(byID map[string]*pomelospring.Work, now time.Time, remove func(*pomelospring.Work)) []*pomelospring.Work {
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
