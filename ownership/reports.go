package ownership

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// ApplyHandover takes the former owner's word on what still runs. Requests that
// it sent may be under way until arrived; only a later report clears them.
func (s *Scheduler) ApplyHandover(name string, fence int64, busy map[pomelospring.AdapterVersion]int, arrived time.Time) {
	held, known := s.servers[name]
	if !known || fence < held.fence {
		return
	}
	held.foreign = busy
	held.foreignAt = arrived
	held.useAfter = time.Time{}
	held.idleReport = true
}

// ApplyReport takes a load report that was true at a time.
func (s *Scheduler) ApplyReport(name string, report pomelospring.LoadReport, at time.Time) {
	held, known := s.servers[name]
	if !known {
		return
	}
	held.reconcile(report, at)
	held.reported = true
	if !held.idleReport && at.After(held.useAfter) {
		held.idleReport = true
		held.foreign = foreignOf(held, report)
		return
	}
	if held.idleReport && len(held.foreign) > 0 && at.After(held.foreignAt) {
		held.foreign = foreignOf(held, report)
	}
}

// reconcile believes the server where nothing was ordered since the report.
func (held *server) reconcile(report pomelospring.LoadReport, at time.Time) {
	said := map[pomelospring.AdapterVersion]bool{}
	for _, text := range report.Resident {
		adapter, err := pomelospring.ParseAdapterVersion(text)
		if err != nil {
			continue
		}
		said[adapter] = true
		if held.resident[adapter] == nil && held.evicted[adapter].Before(at) {
			held.resident[adapter] = &resident{
				loadedAt: at,
			}
		}
	}
	for adapter, r := range held.resident {
		if !said[adapter] && !r.loading && r.busy == 0 && r.loadedAt.Before(at) {
			delete(held.resident, adapter)
			continue
		}
		if r.lingering.Before(at) && report.Busy[adapter.String()] <= r.busy {
			r.lingering = time.Time{}
		}
	}
	for adapter, ordered := range held.evicted {
		if ordered.Before(at) {
			delete(held.evicted, adapter)
		}
	}
}

// foreignOf is what the server runs beyond what was sent from here.
func foreignOf(held *server, report pomelospring.LoadReport) map[pomelospring.AdapterVersion]int {
	foreign := map[pomelospring.AdapterVersion]int{}
	for text, count := range report.Busy {
		adapter, err := pomelospring.ParseAdapterVersion(text)
		if err != nil {
			continue
		}
		own := 0
		if r := held.resident[adapter]; r != nil {
			own = r.busy
		}
		if count > own {
			foreign[adapter] = count - own
		}
	}
	return foreign
}

// RemoveResident says that a model worker does not have an adapter after all.
func (s *Scheduler) RemoveResident(name string, adapter pomelospring.AdapterVersion) {
	held, known := s.servers[name]
	if !known {
		return
	}
	if r := held.resident[adapter]; r != nil && r.busy == 0 {
		delete(held.resident, adapter)
	}
}

// SuspendServer keeps work away from a model worker until a time.
func (s *Scheduler) SuspendServer(name string, until time.Time) {
	if held, known := s.servers[name]; known {
		held.brokenUntil = until
	}
}

// ApplyLoad says how a load ended.
func (s *Scheduler) ApplyLoad(name string, adapter pomelospring.AdapterVersion, failed bool, now time.Time) {
	held, known := s.servers[name]
	if !known {
		return
	}
	if failed {
		delete(held.resident, adapter)
		held.failures[adapter] = now.Add(loadBackOff)
		return
	}
	if r := held.resident[adapter]; r != nil {
		r.loading = false
		r.loadedAt = now
		r.lastUsed = now
	}
	delete(held.failures, adapter)
}
