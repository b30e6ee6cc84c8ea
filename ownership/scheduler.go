// Package ownership runs the model workers that an instance owns. The
// scheduler is pure: it is told what happened and when, and answers with what
// to do; the owner carries that out.
package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// rateHalfLife is how fast the rate of an adapter's requests is forgotten.
	rateHalfLife = 300 * time.Second
	// loadBackOff is how long a failed load keeps the adapter off the server.
	loadBackOff = 5 * time.Second
	// gapHalfLife is how fast that mean is forgotten without loads.
	gapHalfLife = 10 * time.Second
	// gapSmoothing weighs the latest time between loads in its mean.
	gapSmoothing = 0.2
	// ratesKept bounds the adapters whose rate is remembered.
	ratesKept = 16384
)

// Dispatch sends one work to a model worker.
type Dispatch struct {
	Work   *pomelospring.Work
	Server pomelospring.BackendServer
}

// Load orders an adapter onto a model worker.
type Load struct {
	Placement pomelospring.Placement
	Server    pomelospring.BackendServer
	Fence     int64
}

// Actions are what the scheduler wants done.
type Actions struct {
	Dispatches []Dispatch
	Loads      []Load
	// Expired is work whose deadline passed before it could start.
	Expired []*pomelospring.Work
	// BudgetExhausted says that a load would be ordered if the load budget allowed.
	BudgetExhausted bool
}

// Scheduler decides for the model workers of one owner. It is not safe for
// concurrent use.
type Scheduler struct {
	Queue  pomelospring.Queue
	Placer pomelospring.Placer
	// LoadWait is the longest wait for a load that a request is taken for;
	// 0 takes every request.
	LoadWait time.Duration

	servers map[string]*server
	names   []string
	rates   map[pomelospring.AdapterVersion]*rate
	shares  loadShares
	// gap is the mean time between loads while the load budget is short.
	gap      time.Duration
	lastLoad time.Time
	// starvedSince is when the load budget ran short; zero while it does not.
	starvedSince time.Time
}

type server struct {
	backend pomelospring.BackendServer
	fence   int64
	running int
	// reported says that the server itself said what is resident.
	reported bool
	resident map[pomelospring.AdapterVersion]*resident
	// useAfter is when a former owner can no longer send work or orders.
	useAfter time.Time
	// idleReport is set once a report after useAfter was taken.
	idleReport bool
	// foreign counts work of the former owner that still runs.
	foreign map[pomelospring.AdapterVersion]int
	// foreignAt is when all of foreign has arrived; older reports don't change
	// it.
	foreignAt time.Time
	// frozen forbids orders: the lease lapsed and no peer can confirm it.
	frozen   bool
	failures map[pomelospring.AdapterVersion]time.Time
	// evicted says when an adapter was ordered out, so that an older report
	// does not bring it back.
	evicted map[pomelospring.AdapterVersion]time.Time
	// brokenUntil keeps work away after the server failed.
	brokenUntil time.Time
}

type resident struct {
	busy     int
	loading  bool
	lastUsed time.Time
	loadedAt time.Time
	// lingering is when a request on it that was given up has arrived at the
	// latest; zero once a later report shows that it does not run.
	lingering time.Time
}

// NewScheduler makes a scheduler without servers.
func NewScheduler(queue pomelospring.Queue, placer pomelospring.Placer) *Scheduler {
	return &Scheduler{
		Queue:   queue,
		Placer:  placer,
		servers: map[string]*server{},
		rates:   map[pomelospring.AdapterVersion]*rate{},
		shares:  newLoadShares(),
	}
}

// AddServer takes over a model worker. Nothing is sent there before useAfter, unless
// the former owner hands over: it may still evict what it thinks idle.
func (s *Scheduler) AddServer(backend pomelospring.BackendServer, fence int64, useAfter time.Time) {
	if held, known := s.servers[backend.Name]; known {
		held.backend = backend
		held.fence = fence
		return
	}
	s.servers[backend.Name] = &server{
		backend:  backend,
		fence:    fence,
		resident: map[pomelospring.AdapterVersion]*resident{},
		useAfter: useAfter,
		foreign:  map[pomelospring.AdapterVersion]int{},
		failures: map[pomelospring.AdapterVersion]time.Time{},
		evicted:  map[pomelospring.AdapterVersion]time.Time{},
	}
	s.rename()
}

// RemoveServer gives up a model worker and returns what still runs there.
func (s *Scheduler) RemoveServer(name string) map[pomelospring.AdapterVersion]int {
	busy := s.InFlight(name)
	delete(s.servers, name)
	s.rename()
	return busy
}

// InFlight counts what runs on a model worker by adapter.
func (s *Scheduler) InFlight(name string) map[pomelospring.AdapterVersion]int {
	busy := map[pomelospring.AdapterVersion]int{}
	held, known := s.servers[name]
	if !known {
		return busy
	}
	for adapter, r := range held.resident {
		if r.busy > 0 {
			busy[adapter] = r.busy
		}
	}
	return busy
}

// OwnedServers names the model workers owned, sorted.
func (s *Scheduler) OwnedServers() []string {
	return s.names
}

func (s *Scheduler) rename() {
	s.names = s.names[:0]
	for name := range s.servers {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
}

// SetFrozen forbids or allows orders to all model workers owned.
func (s *Scheduler) SetFrozen(frozen bool) {
	for _, held := range s.servers {
		held.frozen = frozen
	}
}

// Submit queues work.
func (s *Scheduler) Submit(work *pomelospring.Work, now time.Time) {
	s.Queue.Push(work)
	s.shares.see(work.Team, now)
	s.hit(work.Adapter, now)
}

// ExceedsLoadWait says whether work for an adapter would wait too long for a load, and
// how long. An adapter that is resident, loading or waited for already needs
// no load of its own. What waits for teams further over their share of loads
// does not count: a team that floods sheds its own work first.
func (s *Scheduler) ExceedsLoadWait(work *pomelospring.Work, now time.Time) (wait time.Duration, hopeless bool) {
	if s.LoadWait == 0 || !s.NeedsLoad(work.Adapter) {
		return 0, false
	}
	ahead := 1
	excess := s.shares.excess(work.Team, now)
	for other, waiting := range s.Queue.Waiting() {
		if !s.held(other) && s.shares.excess(waiting.Team, now) <= excess {
			ahead++
		}
	}
	gap := s.expectedGap(now)
	if !s.starvedSince.IsZero() {
		gap = max(gap, now.Sub(s.starvedSince))
	}
	wait = time.Duration(ahead) * gap
	return wait, wait > s.LoadWait
}

// expectedGap is the mean time between loads, forgotten while there are none:
// an owner that sheds all its work would else never learn better.
func (s *Scheduler) expectedGap(now time.Time) time.Duration {
	if s.lastLoad.IsZero() {
		return 0
	}
	return time.Duration(float64(s.gap) * math.Exp2(-now.Sub(s.lastLoad).Seconds()/gapHalfLife.Seconds()))
}

// NeedsLoad says whether work for an adapter would be the first to need a load
// of it.
func (s *Scheduler) NeedsLoad(adapter pomelospring.AdapterVersion) bool {
	if s.held(adapter) {
		return false
	}
	_, joined := s.Queue.Waiting()[adapter]
	return !joined
}

// held says whether an owned model worker has an adapter or is loading it.
func (s *Scheduler) held(adapter pomelospring.AdapterVersion) bool {
	for _, held := range s.servers {
		if held.resident[adapter] != nil {
			return true
		}
	}
	return false
}

// Cancel takes work out that was not dispatched.
func (s *Scheduler) Cancel(id string) bool {
	return s.Queue.Remove(id)
}

// FinishRequest says that dispatched work left its model worker.
func (s *Scheduler) FinishRequest(work *pomelospring.Work, name string, used float64, now time.Time) {
	s.Queue.Settle(work.Team, work.Weight, work.Cost-used)
	held, known := s.servers[name]
	if !known {
		return
	}
	held.running--
	if r := held.resident[work.Adapter]; r != nil {
		r.busy--
		r.lastUsed = now
	}
}

// AbandonRequest says that dispatched work was given up while its model worker may
// still run it: the adapter stays until a report from after its time of flight
// shows it idle.
func (s *Scheduler) AbandonRequest(work *pomelospring.Work, name string, used float64, now time.Time, flight time.Duration) {
	s.FinishRequest(work, name, used, now)
	held, known := s.servers[name]
	if !known {
		return
	}
	if r := held.resident[work.Adapter]; r != nil {
		r.lingering = now.Add(flight)
	}
}

// NextActions says what to do now. takeLoad spends one load of the load budget, or
// reports that there is none to spend.
func (s *Scheduler) NextActions(now time.Time, takeLoad func() bool) (actions Actions) {
	actions.Expired = s.Queue.Expired(now)
	actions.Dispatches = s.dispatch(now)
	if s.Queue.Len() == 0 {
		s.starvedSince = time.Time{}
		return actions
	}
	for {
		placement, found := s.Placer.Place(s.view(now))
		if !found {
			s.starvedSince = time.Time{}
			return actions
		}
		if !takeLoad() {
			actions.BudgetExhausted = true
			if s.starvedSince.IsZero() {
				s.starvedSince = now
			}
			return actions
		}
		s.loadTaken(now)
		s.shares.add(s.Queue.Waiting()[placement.Adapter].Team, now)
		actions.Loads = append(actions.Loads, s.order(placement, now))
	}
}

// loadTaken keeps the mean time between loads; a load that did not have to
// wait for the budget counts as no time.
func (s *Scheduler) loadTaken(now time.Time) {
	var gap time.Duration
	if !s.starvedSince.IsZero() {
		gap = now.Sub(s.starvedSince)
	}
	s.gap += time.Duration(gapSmoothing * float64(gap-s.gap))
	s.starvedSince = time.Time{}
	s.lastLoad = now
}

func (s *Scheduler) order(placement pomelospring.Placement, now time.Time) Load {
	held := s.servers[placement.Server]
	held.evicted[placement.Evict] = now
	delete(held.resident, placement.Evict)
	held.resident[placement.Adapter] = &resident{
		loading: true,
	}
	return Load{
		Placement: placement,
		Server:    held.backend,
		Fence:     held.fence,
	}
}

// dispatch fills the model workers, the least loaded first.
func (s *Scheduler) dispatch(now time.Time) (dispatches []Dispatch) {
	for s.Queue.Len() > 0 {
		sent := false
		for _, held := range s.byLoad(now) {
			work := s.Queue.Pop(held.backend.Name, ready(held))
			if work == nil {
				continue
			}
			held.running++
			held.resident[work.Adapter].busy++
			held.resident[work.Adapter].lastUsed = now
			dispatches = append(dispatches, Dispatch{
				Work:   work,
				Server: held.backend,
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

func (s *Scheduler) byLoad(now time.Time) []*server {
	free := make([]*server, 0, len(s.names))
	for _, name := range s.names {
		held := s.servers[name]
		if held.running < held.backend.Running && held.usable(now) {
			free = append(free, held)
		}
	}
	slices.SortStableFunc(free, func(a, b *server) int {
		return a.running*b.backend.Running - b.running*a.backend.Running
	})
	return free
}

// usable says whether anything may be sent to the server.
func (held *server) usable(now time.Time) bool {
	return !held.backend.Draining && !now.Before(held.brokenUntil) && !now.Before(held.useAfter)
}

func ready(held *server) []pomelospring.AdapterVersion {
	names := make([]pomelospring.AdapterVersion, 0, len(held.resident))
	for adapter, r := range held.resident {
		if !r.loading {
			names = append(names, adapter)
		}
	}
	return names
}
