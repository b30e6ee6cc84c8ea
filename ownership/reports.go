package ownership

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// ApplyHandover records the requests that the former owner still has running on a
// model worker, which lifts the wait until useAfter. Requests that it sent may be
// in flight until arrived; only a later report clears them. A handover with an
// older fence is ignored.
func (s *Scheduler) ApplyHandover(name string, fence int64, busy map[pomelospring.AdapterVersion]int, arrived time.Time) {
	worker, known := s.servers[name]
	if !known || fence < worker.fence {
		return
	}
	worker.inherited = busy
	worker.inheritedArrived = arrived
	worker.useAfter = time.Time{}
	worker.mayEvict = true
}

// ApplyReport applies a load report that holds as of a time.
func (s *Scheduler) ApplyReport(name string, report pomelospring.LoadReport, at time.Time) {
	worker, known := s.servers[name]
	if !known {
		return
	}
	worker.reconcile(report, at)
	worker.reported = true
	if !worker.mayEvict && at.After(worker.useAfter) {
		worker.mayEvict = true
		worker.inherited = countInherited(worker, report)
		return
	}
	if worker.mayEvict && len(worker.inherited) > 0 && at.After(worker.inheritedArrived) {
		worker.inherited = countInherited(worker, report)
	}
}

// reconcile updates the resident adapters from a report, except where something
// was ordered or sent since.
func (worker *server) reconcile(report pomelospring.LoadReport, at time.Time) {
	reported := map[pomelospring.AdapterVersion]bool{}
	for _, text := range report.Resident {
		adapter, err := pomelospring.ParseAdapterVersion(text)
		if err != nil {
			continue
		}
		reported[adapter] = true
		if worker.resident[adapter] == nil && worker.evictedAt[adapter].Before(at) {
			worker.resident[adapter] = &resident{
				loadedAt: at,
			}
		}
	}
	for adapter, r := range worker.resident {
		if !reported[adapter] && !r.loading && r.busy == 0 && r.loadedAt.Before(at) {
			delete(worker.resident, adapter)
			continue
		}
		if r.abandonedUntil.Before(at) && report.Busy[adapter.String()] <= r.busy {
			r.abandonedUntil = time.Time{}
		}
	}
	for adapter, orderedAt := range worker.evictedAt {
		if orderedAt.Before(at) {
			delete(worker.evictedAt, adapter)
		}
	}
}

// countInherited returns the requests in a report beyond those sent from here:
// the former owner sent them.
func countInherited(worker *server, report pomelospring.LoadReport) map[pomelospring.AdapterVersion]int {
	inherited := map[pomelospring.AdapterVersion]int{}
	for text, count := range report.Busy {
		adapter, err := pomelospring.ParseAdapterVersion(text)
		if err != nil {
			continue
		}
		own := 0
		if r := worker.resident[adapter]; r != nil {
			own = r.busy
		}
		if count > own {
			inherited[adapter] = count - own
		}
	}
	return inherited
}

// RemoveResident records that a model worker turned out not to have an adapter.
// While other requests run on it there, the next reports decide.
func (s *Scheduler) RemoveResident(name string, adapter pomelospring.AdapterVersion) {
	worker, known := s.servers[name]
	if !known {
		return
	}
	if r := worker.resident[adapter]; r != nil && r.busy == 0 {
		delete(worker.resident, adapter)
	}
}

// SuspendServer sends neither requests nor orders to a model worker until a time.
func (s *Scheduler) SuspendServer(name string, until time.Time) {
	if worker, known := s.servers[name]; known {
		worker.suspendedUntil = until
	}
}

// ApplyLoad records the result of a load. After a failure the adapter is not
// loaded on that server again for loadBackoff.
func (s *Scheduler) ApplyLoad(name string, adapter pomelospring.AdapterVersion, failed bool, now time.Time) {
	worker, known := s.servers[name]
	if !known {
		return
	}
	if failed {
		delete(worker.resident, adapter)
		worker.retryAfter[adapter] = now.Add(loadBackoff)
		return
	}
	if r := worker.resident[adapter]; r != nil {
		r.loading = false
		r.loadedAt = now
		r.lastUsed = now
	}
	delete(worker.retryAfter, adapter)
}
