package queue

import (
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// FIFO serves requests in order of arrival. It is the baseline for Fair.
type FIFO struct {
	work []*pomelospring.Work
}

var _ pomelospring.Queue = (*FIFO)(nil)

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{}
}

// Push implements pomelospring.Queue.
func (f *FIFO) Push(work *pomelospring.Work) {
	f.work = append(f.work, work)
}

// Pop implements pomelospring.Queue.
func (f *FIFO) Pop(server string, ready []pomelospring.AdapterVersion) *pomelospring.Work {
	for i, work := range f.work {
		if slices.Contains(ready, work.Adapter) && !work.Avoids(server) {
			f.work = slices.Delete(f.work, i, i+1)
			return work
		}
	}
	return nil
}

// Remove implements pomelospring.Queue.
func (f *FIFO) Remove(id string) bool {
	for i, work := range f.work {
		if work.ID == id {
			f.work = slices.Delete(f.work, i, i+1)
			return true
		}
	}
	return false
}

// Settle implements pomelospring.Queue. It does nothing, because the order of
// arrival doesn't depend on what a team was served.
func (f *FIFO) Settle(string, float64, float64) {}

// Waiting implements pomelospring.Queue.
func (f *FIFO) Waiting() map[pomelospring.AdapterVersion]pomelospring.Waiting {
	sums := map[pomelospring.AdapterVersion]pomelospring.Waiting{}
	for _, work := range f.work {
		sums[work.Adapter] = addWaiting(sums[work.Adapter], []*pomelospring.Work{work}, 0)
	}
	return sums
}

// Expired implements pomelospring.Queue.
func (f *FIFO) Expired(now time.Time) []*pomelospring.Work {
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
func (f *FIFO) Len() int {
	return len(f.work)
}
