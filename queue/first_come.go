package queue

import (
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// FirstCome serves in order of arrival. It is the baseline that Fair is
// measured against.
type FirstCome struct {
	work []*pomelospring.Work
}

var _ pomelospring.Queue = (*FirstCome)(nil)

// NewFirstCome makes an empty queue.
func NewFirstCome() *FirstCome {
	return &FirstCome{}
}

// Push implements pomelospring.Queue.
func (f *FirstCome) Push(work *pomelospring.Work) {
	f.work = append(f.work, work)
}

// Pop implements pomelospring.Queue.
func (f *FirstCome) Pop(server string, ready []pomelospring.AdapterVersion) *pomelospring.Work {
	for i, work := range f.work {
		if slices.Contains(ready, work.Adapter) && !work.Avoids(server) {
			f.work = slices.Delete(f.work, i, i+1)
			return work
		}
	}
	return nil
}

// Remove implements pomelospring.Queue.
func (f *FirstCome) Remove(id string) bool {
	for i, work := range f.work {
		if work.ID == id {
			f.work = slices.Delete(f.work, i, i+1)
			return true
		}
	}
	return false
}

// Settle implements pomelospring.Queue; arrival order keeps no accounts.
func (f *FirstCome) Settle(string, float64, float64) {}

// Waiting implements pomelospring.Queue.
func (f *FirstCome) Waiting() map[pomelospring.AdapterVersion]pomelospring.Waiting {
	sums := map[pomelospring.AdapterVersion]pomelospring.Waiting{}
	for _, work := range f.work {
		sums[work.Adapter] = sum(sums[work.Adapter], []*pomelospring.Work{work}, 0)
	}
	return sums
}

// Expired implements pomelospring.Queue.
func (f *FirstCome) Expired(now time.Time) []*pomelospring.Work {
	var found []*pomelospring.Work
	f.work = slices.DeleteFunc(f.work, func(work *pomelospring.Work) bool {
		if !work.Deadline.Before(now) {
			return false
		}
		found = append(found, work)
		return true
	})
	return found
}

// Len implements pomelospring.Queue.
func (f *FirstCome) Len() int {
	return len(f.work)
}
