// Package ownership runs the model workers that an instance owns. The scheduler
// is a pure state machine without I/O or a clock: its methods take what happened
// and when, and NextActions returns what to do. The owner carries that out.
package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// rateHalfLife is the half-life of an adapter's request count.
	rateHalfLife = 300 * time.Second
	// loadBackoff is how long an adapter is not loaded on a server again after a
	// failed load.
	loadBackoff = 5 * time.Second
	// loadIntervalHalfLife is the half-life of Scheduler.loadInterval while there
	// are no loads.
	loadIntervalHalfLife = 10 * time.Second
	// loadIntervalSmoothing is the weight of the latest load interval in its moving
	// average.
	loadIntervalSmoothing = 0.2
	// maxRates is the number of tracked adapters at which those without recent
	// requests are discarded.
	maxRates = 16384
)

// Dispatch is the action to send a request to a model worker.
type Dispatch struct {
	Work   *pomelospring.Work
	Server pomelospring.BackendServer
}

// Load is the order to load an adapter on a model worker, with the owner's fencing
// number.
type Load struct {
	Placement pomelospring.Placement
	Server    pomelospring.BackendServer
	Fence     int64
}

// Actions are what the owner has to do next.
type Actions struct {
	Dispatches []Dispatch
	Loads      []Load
	// Expired is work whose deadline passed before it could start.
	Expired []*pomelospring.Work
	// BudgetExhausted is set if a load was held back by the load budget.
	BudgetExhausted bool
}

// Scheduler decides which requests to dispatch and which adapters to load on the
// model workers of one owner. It is not safe for concurrent use.
type Scheduler struct {
	Queue  pomelospring.Queue
	Placer pomelospring.Placer
	// LoadWait is the longest expected wait for a load at which a request is still
	// admitted; 0 admits every request.
	LoadWait time.Duration

	servers map[string]*server
	names   []string
	rates   map[pomelospring.AdapterVersion]*rate
	shares  loadShares
	// loadInterval is the moving average of how long a load waited for the load
	// budget, which is the time between loads while the budget is exhausted.
	loadInterval time.Duration
	lastLoad     time.Time
	// exhaustedSince is when the load budget became exhausted; zero while it is
	// not.
	exhaustedSince time.Time
}

// server is the state of an owned model worker.
type server struct {
	backend pomelospring.BackendServer
	fence   int64
	running int
	// reported is set once a load report named the resident adapters.
	reported bool
	resident map[pomelospring.AdapterVersion]*resident
	// useAfter is when no former owner can send work or orders any more.
	useAfter time.Time
	// mayEvict is set once the former owner's requests are known, by its handover
	// or by a report from after useAfter.
	mayEvict bool
	// inherited counts the requests of the former owner that still run.
	inherited map[pomelospring.AdapterVersion]int
	// inheritedArrived is when all inherited requests have reached the server;
	// older reports don't change their count.
	inheritedArrived time.Time
	// frozen forbids orders: the lease expired and no peer can confirm it.
	frozen bool
	// retryAfter is when an adapter whose load failed may be loaded again.
	retryAfter map[pomelospring.AdapterVersion]time.Time
	// evictedAt is when an adapter was ordered to be unloaded, so that an older
	// report does not add it again.
	evictedAt map[pomelospring.AdapterVersion]time.Time
	// suspendedUntil is when the server may get work again after a failure.
	suspendedUntil time.Time
}

// resident is an adapter that is resident or loading on a server.
type resident struct {
	// busy counts the requests in flight that were dispatched from here.
	busy     int
	loading  bool
	lastUsed time.Time
	loadedAt time.Time
	// abandonedUntil is the latest time at which an abandoned request may still
	// reach the server; zero once a later report shows that it does not run.
	abandonedUntil time.Time
}

// NewScheduler returns a scheduler without servers.
func NewScheduler(queue pomelospring.Queue, placer pomelospring.Placer) *Scheduler {
	return &Scheduler{
		Queue:   queue,
		Placer:  placer,
		servers: map[string]*server{},
		rates:   map[pomelospring.AdapterVersion]*rate{},
		shares:  newLoadShares(),
	}
}

// AddServer takes ownership of a model worker, or updates one that is owned.
// Nothing is sent to a new one before useAfter unless the former owner hands over:
// until then the former owner may evict adapters that it takes for idle.
func (s *Scheduler) AddServer(backend pomelospring.BackendServer, fence int64, useAfter time.Time) {
	if worker, known := s.servers[backend.Name]; known {
		worker.backend = backend
		worker.fence = fence
		return
	}
	s.servers[backend.Name] = &server{
		backend:    backend,
		fence:      fence,
		resident:   map[pomelospring.AdapterVersion]*resident{},
		useAfter:   useAfter,
		inherited:  map[pomelospring.AdapterVersion]int{},
		retryAfter: map[pomelospring.AdapterVersion]time.Time{},
		evictedAt:  map[pomelospring.AdapterVersion]time.Time{},
	}
	s.sortNames()
}

// RemoveServer gives up a model worker and returns the requests still in flight
// there, by adapter.
func (s *Scheduler) RemoveServer(name string) map[pomelospring.AdapterVersion]int {
	busy := s.InFlight(name)
	delete(s.servers, name)
	s.sortNames()
	return busy
}

// InFlight counts the requests in flight on a model worker, by adapter.
func (s *Scheduler) InFlight(name string) map[pomelospring.AdapterVersion]int {
	busy := map[pomelospring.AdapterVersion]int{}
	worker, known := s.servers[name]
	if !known {
		return busy
	}
	for adapter, r := range worker.resident {
		if r.busy > 0 {
			busy[adapter] = r.busy
		}
	}
	return busy
}

// OwnedServers returns the names of the owned model workers, sorted.
func (s *Scheduler) OwnedServers() []string {
	return s.names
}

// sortNames rebuilds the sorted names of the owned servers.
func (s *Scheduler) sortNames() {
	s.names = s.names[:0]
	for name := range s.servers {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
}

// SetFrozen forbids or allows orders to the owned model workers. While frozen,
// requests for resident adapters are still dispatched.
func (s *Scheduler) SetFrozen(frozen bool) {
	for _, worker := range s.servers {
		worker.frozen = frozen
	}
}

// Submit queues a request.
func (s *Scheduler) Submit(work *pomelospring.Work, now time.Time) {
	s.Queue.Push(work)
	s.shares.recordRequest(work.Team, now)
	s.countRequest(work.Adapter, now)
}

// ExceedsLoadWait returns how long a request would wait for a load of its adapter
// and whether that exceeds LoadWait. An adapter that is resident, loading or already
// in demand needs no further load. Loads for teams that exceed their share by more
// don't count, so that the work of a team that floods is shed first.
func (s *Scheduler) ExceedsLoadWait(work *pomelospring.Work, now time.Time) (wait time.Duration, exceeds bool) {
	if s.LoadWait == 0 || !s.NeedsLoad(work.Adapter) {
		return 0, false
	}
	loadsAhead := 1
	excess := s.shares.excess(work.Team, now)
	for other, waiting := range s.Queue.Waiting() {
		if !s.held(other) && s.shares.excess(waiting.Team, now) <= excess {
			loadsAhead++
		}
	}
	interval := s.expectedLoadInterval(now)
	if !s.exhaustedSince.IsZero() {
		interval = max(interval, now.Sub(s.exhaustedSince))
	}
	wait = time.Duration(loadsAhead) * interval
	return wait, wait > s.LoadWait
}

// expectedLoadInterval returns the mean load interval, decayed since the latest
// load. Without the decay, an owner that sheds all requests that need a load would
// never measure the interval again, and would keep shedding.
func (s *Scheduler) expectedLoadInterval(now time.Time) time.Duration {
	if s.lastLoad.IsZero() {
		return 0
	}
	return time.Duration(float64(s.loadInterval) * math.Exp2(-now.Sub(s.lastLoad).Seconds()/loadIntervalHalfLife.Seconds()))
}

// NeedsLoad reports whether a request for an adapter would be the first that needs
// a load of it.
func (s *Scheduler) NeedsLoad(adapter pomelospring.AdapterVersion) bool {
	if s.held(adapter) {
		return false
	}
	_, waits := s.Queue.Waiting()[adapter]
	return !waits
}

// held reports whether an adapter is resident or loading on an owned model worker.
func (s *Scheduler) held(adapter pomelospring.AdapterVersion) bool {
	for _, held := range s.servers {
		if held.resident[adapter] != nil {
			return true
		}
	}
	return false
}

// Cancel removes a request from the queue; it returns false if the request was
// dispatched or refused already.
func (s *Scheduler) Cancel(id string) bool {
	return s.Queue.Remove(id)
}

// FinishRequest records that a dispatched request ended on its model worker and
// settles its cost with the tokens used.
func (s *Scheduler) FinishRequest(work *pomelospring.Work, name string, used float64, now time.Time) {
	s.Queue.Settle(work.Team, work.Weight, work.Cost-used)
	worker, known := s.servers[name]
	if !known {
		return
	}
	worker.running--
	if r := worker.resident[work.Adapter]; r != nil {
		r.busy--
		r.lastUsed = now
	}
}

// AbandonRequest records that a dispatched request was given up while its model
// worker may still run it: the adapter is not evicted until a report from after the
// flight time shows it idle.
func (s *Scheduler) AbandonRequest(work *pomelospring.Work, name string, used float64, now time.Time, flight time.Duration) {
	s.FinishRequest(work, name, used, now)
	worker, known := s.servers[name]
	if !known {
		return
	}
	if r := worker.resident[work.Adapter]; r != nil {
		r.abandonedUntil = now.Add(flight)
	}
}

// NextActions returns what to do now. takeLoad spends one load of the load budget;
// it returns false if the budget is exhausted.
func (s *Scheduler) NextActions(now time.Time, takeLoad func() bool) (actions Actions) {
	actions.Expired = s.Queue.Expired(now)
	actions.Dispatches = s.dispatch(now)
	if s.Queue.Len() == 0 {
		s.exhaustedSince = time.Time{}
		return actions
	}
	for {
		placement, found := s.Placer.Place(s.view(now))
		if !found {
			s.exhaustedSince = time.Time{}
			return actions
		}
		if !takeLoad() {
			actions.BudgetExhausted = true
			if s.exhaustedSince.IsZero() {
				s.exhaustedSince = now
			}
			return actions
		}
		s.recordLoadInterval(now)
		s.shares.recordLoad(s.Queue.Waiting()[placement.Adapter].Team, now)
		actions.Loads = append(actions.Loads, s.order(placement, now))
	}
}

// recordLoadInterval updates the mean load interval when a load is taken from the
// budget; a load that did not wait for the budget counts as 0.
func (s *Scheduler) recordLoadInterval(now time.Time) {
	var loadInterval time.Duration
	if !s.exhaustedSince.IsZero() {
		loadInterval = now.Sub(s.exhaustedSince)
	}
	s.loadInterval += time.Duration(loadIntervalSmoothing * float64(loadInterval-s.loadInterval))
	s.exhaustedSince = time.Time{}
	s.lastLoad = now
}

// order applies a placement to the state and returns the order to the model
// worker. The evicted adapter stops being resident at once.
func (s *Scheduler) order(placement pomelospring.Placement, now time.Time) Load {
	worker := s.servers[placement.Server]
	worker.evictedAt[placement.Evict] = now
	delete(worker.resident, placement.Evict)
	worker.resident[placement.Adapter] = &resident{
		loading: true,
	}
	return Load{
		Placement: placement,
		Server:    worker.backend,
		Fence:     worker.fence,
	}
}

// dispatch assigns queued requests to the model workers that have their adapters,
// the least loaded first.
func (s *Scheduler) dispatch(now time.Time) (dispatches []Dispatch) {
	for s.Queue.Len() > 0 {
		sent := false
		for _, worker := range s.availableByLoad(now) {
			work := s.Queue.Pop(worker.backend.Name, readyAdapters(worker))
			if work == nil {
				continue
			}
			worker.running++
			worker.resident[work.Adapter].busy++
			worker.resident[work.Adapter].lastUsed = now
			dispatches = append(dispatches, Dispatch{
				Work:   work,
				Server: worker.backend,
			})
			sent = true
			break
		}
		if !sent {
			return dispatches
		}
	}
	return dispatches
}

// availableByLoad returns the usable model workers with free capacity, the least
// loaded first.
func (s *Scheduler) availableByLoad(now time.Time) []*server {
	free := make([]*server, 0, len(s.names))
	for _, name := range s.names {
		worker := s.servers[name]
		if worker.running < worker.backend.Running && worker.usable(now) {
			free = append(free, worker)
		}
	}
	slices.SortStableFunc(free, func(a, b *server) int {
		return a.running*b.backend.Running - b.running*a.backend.Running
	})
	return free
}

// usable reports whether requests or orders may be sent to the server.
func (worker *server) usable(now time.Time) bool {
	return !worker.backend.Draining && !now.Before(worker.suspendedUntil) && !now.Before(worker.useAfter)
}

// readyAdapters returns the adapters that are resident and not still loading.
func readyAdapters(worker *server) []pomelospring.AdapterVersion {
	adapters := make([]pomelospring.AdapterVersion, 0, len(worker.resident))
	for adapter, r := range worker.resident {
		if !r.loading {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}
