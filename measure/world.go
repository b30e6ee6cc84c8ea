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
	// tokenTime is the time of a token with one request running, and
	// crowding what each further request adds to it.
	tokenTime = 25 * time.Millisecond
	crowding  = 0.02
	// mixing is what each further adapter in a batch adds to a token's time.
	mixing = 0.03
	// prefillTime is the time for a prompt token.
	prefillTime = 200 * time.Microsecond
	// fetchTime is the time of a load while the store is not crowded.
	fetchTime = 250 * time.Millisecond
	// crowdedLoads is how many loads run at full speed.
	crowdedLoads = 8
	// startTime is how long a request may wait.
	startTime = 20 * time.Second
	// lendTime is how long a loan keeps room at its lender.
	lendTime = 450 * time.Millisecond
	// renewTime is the time between renewals of shares.
	renewTime = 4 * time.Second
	// retryLoads is the time until an owner without loads looks again.
	retryLoads = 50 * time.Millisecond
)

// Policy is the decision code under measure.
type Policy struct {
	Name   string
	Router func(directory *routing.Directory) pomelospring.Router
	Placer pomelospring.Placer
	Queue  func() pomelospring.Queue
	// LoadWait is the longest wait for a load that a request is taken for.
	LoadWait time.Duration
	// Lends says whether holders lend each other loads and tokens.
	Lends bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is one run.
type world struct {
	c         Case
	policy    Policy
	random    *rand.Rand
	now       time.Duration
	events    events
	order     int
	directory *routing.Directory
	router    pomelospring.Router
	owners    []*owner
	workers   map[string]*worker
	names     []string
	loading   int
	version   int64
	lost      int
	result    Result
}

type owner struct {
	id        string
	index     int
	domain    string
	scheduler *ownership.Scheduler
	bank      *budget.Bank
	waiting   map[string]*running
	retrying  bool
}

type worker struct {
	backend  pomelospring.BackendServer
	owner    *owner
	running  map[string]*running
	busyFrom time.Duration
	busy     time.Duration
	tokens   float64
}

type running struct {
	request  request
	id       string
	work     *pomelospring.Work
	started  time.Duration
	resident bool
	worker   *worker
}

// Run measures one policy on one case.
func Run(c Case, policy Policy, seed uint64) Result {
	w := newWorld(c, policy, seed)
	for i, r := range workload(c, seed) {
		w.after(r.at, func() { w.arrive(r, fmt.Sprintf("r%d", i)) })
	}
	w.plan()
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return w.finish()
}

// follow gives each holder its target of loads by demand, as a renewal does.
func (w *world) follow() {
	holders := make([]string, 0, len(w.owners))
	wanted := map[string]float64{}
	for _, o := range w.owners {
		holders = append(holders, o.id)
		wanted[o.id] = o.bank.DemandRates(w.clock())[lending.PoolLoads]
	}
	whole := budget.Share{
		Leased: budget.FullShare,
	}
	targets := budget.Targets(holders, wanted, whole, budget.Split{
		Floor: 3 * budget.FullShare / 10,
	})
	for _, o := range w.owners {
		w.setShare(o, lending.PoolLoads, w.c.Deployment.LoadRate, 8, lending.LoadCost, targets[o.id].Leased)
	}
}

// restart empties a worker; what ran there is lost and what was resident too.
func (w *world) restart(name string) {
	held := w.workers[name]
	w.account(held)
	held.running = map[string]*running{}
	held.owner.scheduler.RemoveServer(name)
	held.owner.scheduler.AddServer(held.backend, 1, time.Time{})
	held.owner.scheduler.ApplyReport(name, pomelospring.LoadReport{}, w.clock().Add(time.Millisecond))
	w.advance(held.owner)
}

func (w *world) reachable(id string) bool {
	for _, o := range w.owners {
		if o.id == id {
			return o.index%domains != w.lost
		}
	}
	return false
}

func (w *world) arrive(r request, id string) {
	entry := w.owners[r.entry]
	for entry.index%domains == w.lost {
		entry = w.owners[(entry.index+1)%len(w.owners)]
	}
	cost := float64(r.prompt + r.tokens)
	if w.c.EnforcesRates && !w.admit(entry, r.team, cost) {
		w.result.refuse(w.measured(), r.team)
		return
	}
	target, found := w.router.Route(pomelospring.RouteQuery{
		Adapter:   r.adapter,
		Base:      "base",
		Domain:    entry.domain,
		Prefix:    uint64(w.random.IntN(1000)),
		Reachable: w.reachable,
	})
	if !found {
		w.result.refuse(w.measured(), r.team)
		return
	}
	o := w.workers[target.Server].owner
	item := &running{
		request:  r,
		id:       id,
		resident: w.isResident(o, r.adapter),
		work: &pomelospring.Work{
			ID:       id,
			Team:     teamOf(r.team),
			Weight:   w.teamRate(r.team),
			Adapter:  r.adapter,
			Base:     "base",
			Cost:     cost,
			Arrived:  w.clock(),
			Deadline: w.clock().Add(startTime),
		},
	}
	if o.scheduler.NeedsLoad(r.adapter) {
		o.bank.RecordDemand(lending.PoolLoads, lending.LoadCost, w.clock())
	}
	if _, hopeless := o.scheduler.ExceedsLoadWait(item.work, w.clock()); hopeless {
		w.result.refuse(w.measured(), r.team)
		return
	}
	o.waiting[id] = item
	o.scheduler.Submit(item.work, w.clock())
	w.after(startTime+time.Millisecond, func() { w.advance(o) })
	w.advance(o)
}

func (w *world) isResident(o *owner, adapter pomelospring.AdapterVersion) bool {
	for _, summary := range o.scheduler.Summaries() {
		for _, name := range summary.Resident {
			if name == adapter.String() {
				return true
			}
		}
	}
	return false
}

// admit charges a team at one instance, with loans from the others.
func (w *world) admit(entry *owner, team int, cost float64) bool {
	pool := lending.PoolOfTeam(teamOf(team))
	now := w.clock()
	entry.bank.RecordDemand(pool, cost, now)
	if _, spent := entry.bank.Spend(pool, cost, 0, now); spent {
		return true
	}
	if !w.policy.Lends {
		return false
	}
	return w.spendWithLoans(entry, pool, cost)
}

// spendWithLoans borrows what is missing from the other instances in turn and
// gives it back where it does not suffice, as lending.Borrower does.
func (w *world) spendWithLoans(entry *owner, pool string, cost float64) bool {
	now := w.clock()
	missing, _ := entry.bank.Shortfall(pool, cost, now)
	loans := map[*owner]float64{}
	var borrowed float64
	for i := 1; i < len(w.owners) && borrowed < missing; i++ {
		lender := w.owners[(entry.index+i)%len(w.owners)]
		if lender.index%domains == w.lost {
			continue
		}
		lent, _ := lender.bank.Lend(pool, entry.id, missing-borrowed, now.Add(lendTime), now)
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

// advance carries out what a scheduler wants done.
func (w *world) advance(o *owner) {
	loads := &lending.Loads{
		Bank:  o.bank,
		Clock: w.clock,
	}
	actions := o.scheduler.NextActions(w.clock(), func() bool {
		return loads.Take() || w.policy.Lends && w.spendWithLoans(o, lending.PoolLoads, lending.LoadCost)
	})
	for _, dispatch := range actions.Dispatches {
		w.dispatch(o, dispatch)
	}
	for _, work := range actions.Expired {
		item := o.waiting[work.ID]
		delete(o.waiting, work.ID)
		w.result.expire(w.measured(), item)
	}
	for _, load := range actions.Loads {
		w.load(o, load)
	}
	if actions.BudgetExhausted && !o.retrying {
		o.retrying = true
		w.after(retryLoads, func() { w.retry(o) })
	}
	if len(actions.Loads) > 0 || len(actions.Dispatches) > 0 {
		w.publish(o)
	}
}

func (w *world) retry(o *owner) {
	o.retrying = false
	w.advance(o)
}

func (w *world) load(o *owner, load ownership.Load) {
	w.loading++
	slowdown := max(1, float64(w.loading)/crowdedLoads, w.c.StoreSlowdown)
	w.result.load(w.measured())
	w.after(time.Duration(float64(fetchTime)*slowdown), func() {
		w.loading--
		failed := w.random.Float64() < w.c.LoadFailureRate
		o.scheduler.ApplyLoad(load.Server.Name, load.Placement.Adapter, failed, w.clock())
		w.publish(o)
		w.advance(o)
	})
}

func (w *world) dispatch(o *owner, dispatch ownership.Dispatch) {
	item := o.waiting[dispatch.Work.ID]
	delete(o.waiting, dispatch.Work.ID)
	held := w.workers[dispatch.Server.Name]
	w.account(held)
	item.worker = held
	item.started = w.now
	held.running[item.id] = item
	w.result.start(w.measured(), item, w.now)
	kinds := map[string]bool{}
	for _, other := range held.running {
		kinds[other.request.adapter.Adapter] = true
	}
	slowdown := 1 + crowding*float64(len(held.running)-1) + mixing*float64(len(kinds)-1)
	duration := time.Duration(item.request.prompt)*prefillTime + time.Duration(float64(item.request.tokens)*float64(tokenTime)*slowdown)
	w.after(duration, func() { w.end(o, item) })
}

func (w *world) end(o *owner, item *running) {
	if item.worker.running[item.id] != item {
		return
	}
	w.account(item.worker)
	delete(item.worker.running, item.id)
	if w.measured() {
		item.worker.tokens += float64(item.request.tokens)
	}
	o.scheduler.FinishRequest(item.work, item.worker.backend.Name, item.work.Cost, w.clock())
	w.advance(o)
}

// account adds up the time that a worker was busy.
func (w *world) account(held *worker) {
	if len(held.running) > 0 && w.measured() {
		held.busy += w.now - held.busyFrom
	}
	held.busyFrom = w.now
}

// measured says whether the warm-up is over.
func (w *world) measured() bool { return w.now > w.c.Length/3 }

// publish tells the routers of an owner's placements, after the lag.
func (w *world) publish(o *owner) {
	w.version++
	version := w.version
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
		if w.now == 0 {
			w.directory.Put(entry)
			continue
		}
		w.after(w.c.ReportLag, func() { w.directory.Put(entry) })
	}
}

func (w *world) finish() Result {
	for _, name := range w.names {
		held := w.workers[name]
		w.result.Busy += held.busy
		w.result.Tokens += held.tokens
	}
	w.result.sort()
	return w.result
}
