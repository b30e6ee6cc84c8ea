package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// view returns the queue and the model workers as the placer sees them.
func (s *Scheduler) view(now time.Time) pomelospring.PlacementView {
	waiting := s.Queue.Waiting()
	return pomelospring.PlacementView{
		Now:     now,
		Demands: s.demands(waiting, now),
		Servers: s.serverViews(waiting, now),
	}
}

func (s *Scheduler) demands(waiting map[pomelospring.AdapterVersion]pomelospring.Waiting, now time.Time) []pomelospring.DemandView {
	demands := make([]pomelospring.DemandView, 0, len(waiting))
	for adapter, queued := range waiting {
		demand := pomelospring.DemandView{
			Adapter: adapter,
			Base:    queued.Base,
			Waiting: queued,
			Rate:    s.requestRate(adapter, now),
		}
		for _, name := range s.names {
			worker := s.servers[name]
			if worker.resident[adapter] != nil {
				demand.Replicas++
			}
			if now.Before(worker.retryAfter[adapter]) {
				demand.Avoid = append(demand.Avoid, name)
			}
		}
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b pomelospring.DemandView) int {
		return compareAdapters(a.Adapter, b.Adapter)
	})
	return demands
}

func (s *Scheduler) serverViews(waiting map[pomelospring.AdapterVersion]pomelospring.Waiting, now time.Time) []pomelospring.ServerView {
	views := make([]pomelospring.ServerView, 0, len(s.names))
	for _, name := range s.names {
		worker := s.servers[name]
		if !worker.reported || worker.frozen || !worker.usable(now) {
			continue
		}
		view := pomelospring.ServerView{
			Name:     name,
			Base:     worker.backend.Base,
			Slots:    worker.backend.Slots,
			Running:  worker.running,
			Limit:    worker.backend.Running,
			MayEvict: worker.mayEvict,
		}
		for adapter, r := range worker.resident {
			view.Resident = append(view.Resident, pomelospring.ResidentView{
				Adapter:  adapter,
				Busy:     worker.maxBusy(adapter),
				Loading:  r.loading,
				Rate:     s.requestRate(adapter, now),
				LastUsed: r.lastUsed,
				Waiting:  waiting[adapter].Count,
			})
		}
		slices.SortFunc(view.Resident, func(a, b pomelospring.ResidentView) int {
			return compareAdapters(a.Adapter, b.Adapter)
		})
		views = append(views, view)
	}
	return views
}

// maxBusy is the largest number of requests that may be running on an adapter:
// those sent from here, those inherited from the former owner and an abandoned
// one that may still arrive.
func (worker *server) maxBusy(adapter pomelospring.AdapterVersion) int {
	r := worker.resident[adapter]
	busy := r.busy + worker.inherited[adapter]
	if !r.abandonedUntil.IsZero() {
		busy++
	}
	return busy
}

func compareAdapters(a, b pomelospring.AdapterVersion) int {
	if order := cmp.Compare(a.Adapter, b.Adapter); order != 0 {
		return order
	}
	return cmp.Compare(a.Version, b.Version)
}

// Summary is the state of one owned model worker as published to other
// instances.
type Summary struct {
	Server   string
	Base     string
	Fence    int64
	Resident []string
	Slots    int
	Running  int
	Limit    int
	Waiting  int
}

// Summaries returns the owned model workers that are not draining, sorted by
// name.
func (s *Scheduler) Summaries() []Summary {
	summaries := make([]Summary, 0, len(s.names))
	for _, name := range s.names {
		worker := s.servers[name]
		if worker.backend.Draining {
			continue
		}
		summary := Summary{
			Server:  name,
			Base:    worker.backend.Base,
			Fence:   worker.fence,
			Slots:   worker.backend.Slots,
			Running: worker.running,
			Limit:   worker.backend.Running,
			Waiting: s.Queue.Len(),
		}
		for adapter := range worker.resident {
			summary.Resident = append(summary.Resident, adapter.String())
		}
		slices.Sort(summary.Resident)
		summaries = append(summaries, summary)
	}
	return summaries
}

// ServerLoad returns how many requests run on an owned model worker and how many
// wait in the queue.
func (s *Scheduler) ServerLoad(name string) (running, waiting int) {
	if worker, known := s.servers[name]; known {
		running = worker.running
	}
	return running, s.Queue.Len()
}

// EstimateBacklog returns how long newly queued work would wait for its turn if
// every queued request took serviceTime.
func (s *Scheduler) EstimateBacklog(serviceTime time.Duration) time.Duration {
	limit := 0
	for _, worker := range s.servers {
		if !worker.backend.Draining {
			limit += worker.backend.Running
		}
	}
	if limit == 0 {
		return 0
	}
	return time.Duration(float64(serviceTime) * float64(s.Queue.Len()) / float64(limit))
}
