package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// view shows the placer what it decides from.
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
	for adapter, sum := range waiting {
		demand := pomelospring.DemandView{
			Adapter: adapter,
			Base:    sum.Base,
			Waiting: sum,
			Rate:    s.perSecond(adapter, now),
		}
		for _, name := range s.names {
			held := s.servers[name]
			if held.resident[adapter] != nil {
				demand.Replicas++
			}
			if now.Before(held.failures[adapter]) {
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
		held := s.servers[name]
		if !held.reported || held.frozen || !held.usable(now) {
			continue
		}
		view := pomelospring.ServerView{
			Name:     name,
			Base:     held.backend.Base,
			Slots:    held.backend.Slots,
			Running:  held.running,
			Limit:    held.backend.Running,
			MayEvict: held.idleReport,
		}
		for adapter, r := range held.resident {
			view.Resident = append(view.Resident, pomelospring.ResidentView{
				Adapter:  adapter,
				Busy:     held.mayBeBusy(adapter),
				Loading:  r.loading,
				Rate:     s.perSecond(adapter, now),
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

// mayBeBusy counts the requests that the server runs or may run on an adapter.
func (held *server) mayBeBusy(adapter pomelospring.AdapterVersion) int {
	r := held.resident[adapter]
	busy := r.busy + held.foreign[adapter]
	if !r.lingering.IsZero() {
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

// Summary is what others are told of one model worker.
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

// Summaries tells what is owned here, sorted by server.
func (s *Scheduler) Summaries() []Summary {
	summaries := make([]Summary, 0, len(s.names))
	for _, name := range s.names {
		held := s.servers[name]
		if held.backend.Draining {
			continue
		}
		summary := Summary{
			Server:  name,
			Base:    held.backend.Base,
			Fence:   held.fence,
			Slots:   held.backend.Slots,
			Running: held.running,
			Limit:   held.backend.Running,
			Waiting: s.Queue.Len(),
		}
		for adapter := range held.resident {
			summary.Resident = append(summary.Resident, adapter.String())
		}
		slices.Sort(summary.Resident)
		summaries = append(summaries, summary)
	}
	return summaries
}

// ServerLoad counts what runs on a server owned and what waits here.
func (s *Scheduler) ServerLoad(name string) (running, waiting int) {
	if held, known := s.servers[name]; known {
		running = held.running
	}
	return running, s.Queue.Len()
}

// EstimateBacklog is how long newly queued work would wait, if all that waits and runs
// takes as long as one request did of late.
func (s *Scheduler) EstimateBacklog(serviceTime time.Duration) time.Duration {
	limit := 0
	for _, held := range s.servers {
		if !held.backend.Draining {
			limit += held.backend.Running
		}
	}
	if limit == 0 {
		return 0
	}
	return time.Duration(float64(serviceTime) * float64(s.Queue.Len()) / float64(limit))
}
