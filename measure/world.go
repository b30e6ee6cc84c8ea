package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/lending"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/routing"
)

const (
	// tokenTime is the decode time of one output token on a worker that runs
	// a single request. Each further running request adds the fraction
	// requestSlowdown of it.
	tokenTime       = 25 * time.Millisecond
	requestSlowdown = 0.02
	// adapterSlowdown is the fraction of tokenTime that each further distinct
	// adapter in the batch adds.
	adapterSlowdown = 0.03
	// prefillTime is the prefill time of one prompt token.
	prefillTime = 200 * time.Microsecond
	// fetchTime is the duration of an adapter load from an uncontended weight
	// store.
	fetchTime = 250 * time.Millisecond
	// fullSpeedLoads is the number of concurrent loads up to which the weight
	// store keeps its full speed per load.
	fullSpeedLoads = 8
	// maxWait is how long a request may wait before it expires.
	maxWait = 20 * time.Second
	// loanTimeout is how long a lender reserves a loan that is not closed.
	loanTimeout = 450 * time.Millisecond
	// renewInterval is the time between renewals of budget shares.
	renewInterval = 4 * time.Second
	// loadRetryInterval is how long an owner whose load budget is exhausted
	// waits before it tries again.
	loadRetryInterval = 50 * time.Millisecond
)

// Policy is the set of decision algorithms that a run measures.
type Policy struct {
	Name   string
	Router func(directory *routing.Directory) pomelospring.Router
	Placer pomelospring.Placer
	Queue  func() pomelospring.Queue
	// LoadWait is the longest estimated wait for an adapter load with which a
	// request is admitted.
	LoadWait time.Duration
	// Lends says whether instances lend each other loads and tokens and move
	// load shares to where the demand is.
	Lends bool
}

// virtualStart is the wall-clock time at which virtual time begins.
var virtualStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is the state of one run in virtual time.
type simulation struct {
	c             Case
	policy        Policy
	random        *rand.Rand
	now           time.Duration
	events        events
	sequence      int
	directory     *routing.Directory
	router        pomelospring.Router
	owners        []*owner
	workers       map[string]*worker
	workerNames   []string
	loadsInFlight int
	// version is that of the last published placements.
	version int64
	// lostDomain is the failure domain out of service, or -1.
	lostDomain int
	result     Result
}

// owner is an instance with its scheduler, which owns some of the workers, and
// its budget shares.
type owner struct {
	id        string
	index     int
	domain    string
	scheduler *ownership.Scheduler
	bank      *budget.Bank
	// waiting holds the admitted requests that were not dispatched yet.
	waiting map[string]*running
	// retryScheduled says whether the scheduler runs again because its load
	// budget was exhausted.
	retryScheduled bool
}

// worker is a simulated model worker.
type worker struct {
	backend      pomelospring.BackendServer
	owner        *owner
	running      map[string]*running
	busySince    time.Duration
	busy         time.Duration
	outputTokens float64
}

// running is an admitted request, waiting at its owner or running on a worker.
type running struct {
	request request
	id      string
	work    *pomelospring.Work
	started time.Duration
	// resident says whether the adapter was resident on arrival.
	resident bool
	// worker is nil until the request is dispatched.
	worker *worker
}

// Run simulates one policy on one case and returns what it measured.
func Run(c Case, policy Policy, seed uint64) Result {
	s := newSimulation(c, policy, seed)
	for i, r := range workload(c, seed) {
		s.after(r.at, func() { s.arrive(r, fmt.Sprintf("r%d", i)) })
	}
	s.scheduleFaults()
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.finish()
}

// rebalanceLoadShares sets each instance's share of the load budget by demand,
// as a renewal of shares does.
func (s *simulation) rebalanceLoadShares() {
	holders := make([]string, 0, len(s.owners))
	demand := map[string]float64{}
	for _, o := range s.owners {
		holders = append(holders, o.id)
		demand[o.id] = o.bank.DemandRates(s.clock())[lending.PoolLoads]
	}
	full := budget.Share{
		Leased: budget.FullShare,
	}
	targets := budget.Targets(holders, demand, full, budget.Split{
		Floor: 3 * budget.FullShare / 10,
	})
	for _, o := range s.owners {
		s.setShare(o, lending.PoolLoads, s.c.Deployment.LoadRate, 8, lending.LoadCost, targets[o.id].Leased)
	}
}

// restart replaces a worker by an empty one: its running requests are lost and
// no adapter is resident.
func (s *simulation) restart(name string) {
	modelWorker := s.workers[name]
	s.updateBusyTime(modelWorker)
	modelWorker.running = map[string]*running{}
	modelWorker.owner.scheduler.RemoveServer(name)
	modelWorker.owner.scheduler.AddServer(modelWorker.backend, 1, time.Time{})
	modelWorker.owner.scheduler.ApplyReport(name, pomelospring.LoadReport{}, s.clock().Add(time.Millisecond))
	s.runScheduler(modelWorker.owner)
}

// reachable says whether the instance's failure domain is up.
func (s *simulation) reachable(id string) bool {
	for _, o := range s.owners {
		if o.id == id {
			return o.index%domainCount != s.lostDomain
		}
	}
	return false
}

// arrive admits, routes and submits a request, or refuses it. A request for an
// instance in the lost failure domain enters at the next instance outside it.
func (s *simulation) arrive(r request, id string) {
	entry := s.owners[r.entry]
	for entry.index%domainCount == s.lostDomain {
		entry = s.owners[(entry.index+1)%len(s.owners)]
	}
	cost := float64(r.promptTokens + r.outputTokens)
	if s.c.EnforcesRates && !s.admit(entry, r.team, cost) {
		s.result.refuse(s.measured(), r.team)
		return
	}
	target, found := s.router.Route(pomelospring.RouteQuery{
		Adapter:   r.adapter,
		Base:      "base",
		Domain:    entry.domain,
		Prefix:    uint64(s.random.IntN(1000)),
		Reachable: s.reachable,
	})
	if !found {
		s.result.refuse(s.measured(), r.team)
		return
	}
	o := s.workers[target.Server].owner
	item := &running{
		request:  r,
		id:       id,
		resident: s.isResident(o, r.adapter),
		work: &pomelospring.Work{
			ID:       id,
			Team:     teamName(r.team),
			Weight:   s.teamRate(r.team),
			Adapter:  r.adapter,
			Base:     "base",
			Cost:     cost,
			Arrived:  s.clock(),
			Deadline: s.clock().Add(maxWait),
		},
	}
	if o.scheduler.NeedsLoad(r.adapter) {
		o.bank.RecordDemand(lending.PoolLoads, lending.LoadCost, s.clock())
	}
	if _, exceedsWait := o.scheduler.ExceedsLoadWait(item.work, s.clock()); exceedsWait {
		s.result.refuse(s.measured(), r.team)
		return
	}
	o.waiting[id] = item
	o.scheduler.Submit(item.work, s.clock())
	s.after(maxWait+time.Millisecond, func() { s.runScheduler(o) })
	s.runScheduler(o)
}

// isResident says whether an adapter is resident on any worker of the owner.
func (s *simulation) isResident(o *owner, adapter pomelospring.AdapterVersion) bool {
	for _, summary := range o.scheduler.Summaries() {
		for _, name := range summary.Resident {
			if name == adapter.String() {
				return true
			}
		}
	}
	return false
}

// admit charges a request to the team's budget at the entry instance. If the
// policy lends, the instance borrows what it lacks from the others.
func (s *simulation) admit(entry *owner, team int, cost float64) bool {
	pool := lending.PoolOfTeam(teamName(team))
	now := s.clock()
	entry.bank.RecordDemand(pool, cost, now)
	if _, spent := entry.bank.Spend(pool, cost, 0, now); spent {
		return true
	}
	if !s.policy.Lends {
		return false
	}
	return s.spendWithLoans(entry, pool, cost)
}

// spendWithLoans borrows the shortfall from the other instances one after the
// other, and returns the loans if they don't suffice, as lending.Borrower does.
func (s *simulation) spendWithLoans(entry *owner, pool string, cost float64) bool {
	now := s.clock()
	shortfall, _ := entry.bank.Shortfall(pool, cost, now)
	loans := map[*owner]float64{}
	var borrowed float64
	for i := 1; i < len(s.owners) && borrowed < shortfall; i++ {
		lender := s.owners[(entry.index+i)%len(s.owners)]
		if lender.index%domainCount == s.lostDomain {
			continue
		}
		lent, _ := lender.bank.Lend(pool, entry.id, shortfall-borrowed, now.Add(loanTimeout), now)
		loans[lender] = lent
		borrowed += lent
	}
	_, spent := entry.bank.Spend(pool, cost, borrowed, now)
	for lender, lent := range loans {
		if spent {
			lent = 0
		}
		lender.bank.CloseLoan(pool, entry.id, lent, now)
	}
	return spent
}

// runScheduler executes the next actions of an owner's scheduler.
func (s *simulation) runScheduler(o *owner) {
	loads := &lending.Loads{
		Bank:  o.bank,
		Clock: s.clock,
	}
	actions := o.scheduler.NextActions(s.clock(), func() bool {
		return loads.Take() || s.policy.Lends && s.spendWithLoans(o, lending.PoolLoads, lending.LoadCost)
	})
	for _, dispatch := range actions.Dispatches {
		s.dispatch(o, dispatch)
	}
	for _, work := range actions.Expired {
		item := o.waiting[work.ID]
		delete(o.waiting, work.ID)
		s.result.expire(s.measured(), item)
	}
	for _, load := range actions.Loads {
		s.load(o, load)
	}
	if actions.BudgetExhausted && !o.retryScheduled {
		o.retryScheduled = true
		s.after(loadRetryInterval, func() { s.retry(o) })
	}
	if len(actions.Loads) > 0 || len(actions.Dispatches) > 0 {
		s.publish(o)
	}
}

// retry runs the scheduler again after its load budget was exhausted.
func (s *simulation) retry(o *owner) {
	o.retryScheduled = false
	s.runScheduler(o)
}

// load starts an adapter load and applies its result when it ends. Above
// fullSpeedLoads, concurrent loads slow each other down.
func (s *simulation) load(o *owner, load ownership.Load) {
	s.loadsInFlight++
	slowdown := max(1, float64(s.loadsInFlight)/fullSpeedLoads, s.c.StoreSlowdown)
	s.result.load(s.measured())
	s.after(time.Duration(float64(fetchTime)*slowdown), func() {
		s.loadsInFlight--
		failed := s.random.Float64() < s.c.LoadFailureRate
		o.scheduler.ApplyLoad(load.Server.Name, load.Placement.Adapter, failed, s.clock())
		s.publish(o)
		s.runScheduler(o)
	})
}

// dispatch starts a request on its worker. Its duration is fixed by the batch
// that it joins.
func (s *simulation) dispatch(o *owner, dispatch ownership.Dispatch) {
	item := o.waiting[dispatch.Work.ID]
	delete(o.waiting, dispatch.Work.ID)
	modelWorker := s.workers[dispatch.Server.Name]
	s.updateBusyTime(modelWorker)
	item.worker = modelWorker
	item.started = s.now
	modelWorker.running[item.id] = item
	s.result.start(s.measured(), item, s.now)
	batchAdapters := map[string]bool{}
	for _, other := range modelWorker.running {
		batchAdapters[other.request.adapter.Adapter] = true
	}
	slowdown := 1 + requestSlowdown*float64(len(modelWorker.running)-1) + adapterSlowdown*float64(len(batchAdapters)-1)
	duration := time.Duration(item.request.promptTokens)*prefillTime + time.Duration(float64(item.request.outputTokens)*float64(tokenTime)*slowdown)
	s.after(duration, func() { s.end(o, item) })
}

// end finishes a request, unless a restart of its worker has lost it.
func (s *simulation) end(o *owner, item *running) {
	if item.worker.running[item.id] != item {
		return
	}
	s.updateBusyTime(item.worker)
	delete(item.worker.running, item.id)
	if s.measured() {
		item.worker.outputTokens += float64(item.request.outputTokens)
	}
	o.scheduler.FinishRequest(item.work, item.worker.backend.Name, item.work.Cost, s.clock())
	s.runScheduler(o)
}

// updateBusyTime adds the time since the last change to the busy time of a
// worker that runs requests.
func (s *simulation) updateBusyTime(modelWorker *worker) {
	if len(modelWorker.running) > 0 && s.measured() {
		modelWorker.busy += s.now - modelWorker.busySince
	}
	modelWorker.busySince = s.now
}

// measured says whether the warm-up is over.
func (s *simulation) measured() bool { return s.now > s.c.Length/3 }

// publish updates the routers' directory with an owner's placements, after the
// report lag of the case.
func (s *simulation) publish(o *owner) {
	s.version++
	version := s.version
	for _, summary := range o.scheduler.Summaries() {
		entry := routing.Entry{
			Server:  summary.Server,
			Owner:   o.id,
			Domain:  o.domain,
			Base:    summary.Base,
			Fence:   1,
			Version: version,
			Slots:   summary.Slots,
			Running: summary.Running,
			Limit:   summary.Limit,
			Waiting: summary.Waiting,
		}
		for _, text := range summary.Resident {
			name, _ := pomelospring.ParseAdapterVersion(text)
			entry.Resident = append(entry.Resident, name)
		}
		if s.now == 0 {
			s.directory.Put(entry)
			continue
		}
		s.after(s.c.ReportLag, func() { s.directory.Put(entry) })
	}
}

// finish totals the workers' figures and sorts the result's samples.
func (s *simulation) finish() Result {
	for _, name := range s.workerNames {
		modelWorker := s.workers[name]
		s.result.Busy += modelWorker.busy
		s.result.Tokens += modelWorker.outputTokens
	}
	s.result.sort()
	return s.result
}
