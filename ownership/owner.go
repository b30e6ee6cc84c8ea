package ownership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// suspendTime is how long a model worker gets neither requests nor
	// orders after a failure.
	suspendTime = 2 * time.Second
	// maxAttempts bounds how often a request is dispatched if the model worker
	// turns out not to have its adapter.
	maxAttempts = 3
	// serviceTimeSmoothing is the weight of the latest request in the moving
	// average of the service time.
	serviceTimeSmoothing = 0.1
)

// LoadBudget is this instance's part of the fleet-wide rate limit on adapter
// loads.
type LoadBudget interface {
	// Take spends one load; it returns false if none is available locally.
	Take() bool
	// RecordDemand counts a needed load; the shares of the instances follow their
	// demand.
	RecordDemand()
	// Refill tries to borrow one load from other instances; it returns when Take
	// should be tried again.
	Refill(ctx context.Context)
}

// ServeResult describes how a request was served.
type ServeResult struct {
	Usage  engine.Usage
	Server string
	// Stalled is how long the request waited until it was dispatched.
	Stalled time.Duration
	// Running and Waiting are the server's running requests and the owner's queue
	// length as the request ended.
	Running int
	Waiting int
}

// Owner carries out the actions of a Scheduler on the model workers that this
// instance owns. It is safe for concurrent use.
type Owner struct {
	Engine *engine.Client
	Loads  LoadBudget
	Logger log.Interface
	Clock  pomelospring.Clock
	// ClockBound is the largest assumed difference between two clocks.
	ClockBound time.Duration
	// FlightTime is the longest that a request or order is in flight to a model
	// worker.
	FlightTime time.Duration
	// OnPlacementChange is called after owned servers or resident adapters
	// changed.
	OnPlacementChange func()

	mu        sync.Mutex
	scheduler *Scheduler
	waiting   map[string]chan decision
	// meanServiceTime is the moving average of how long a request runs.
	meanServiceTime time.Duration
	refilling       bool
	// orders counts the orders in flight by server; orderEnded is closed and
	// replaced when one of them ends.
	orders     map[string]int
	orderEnded chan struct{}
}

// decision is the result of queueing a request: a server to run it, or a refusal.
type decision struct {
	server  pomelospring.BackendServer
	refusal *pomelospring.Refusal
}

// NewOwner returns an owner that owns no model worker yet.
func NewOwner(scheduler *Scheduler, client *engine.Client, loads LoadBudget, logger log.Interface, clock pomelospring.Clock, clockBound time.Duration) *Owner {
	return &Owner{
		Engine:            client,
		Loads:             loads,
		Logger:            logger,
		Clock:             clock,
		ClockBound:        clockBound,
		OnPlacementChange: func() {},
		scheduler:         scheduler,
		waiting:           map[string]chan decision{},
		meanServiceTime:   time.Second,
		orders:            map[string]int{},
		orderEnded:        make(chan struct{}),
	}
}

// Serve queues a request, runs it on a model worker and passes its answer to
// emit. An error is a refusal that says whether the request may have run.
func (o *Owner) Serve(ctx context.Context, work *pomelospring.Work, request engine.Request, emit func([]byte) error) (result ServeResult, err error) {
	started := o.Clock()
	for range maxAttempts {
		server, err := o.wait(ctx, work)
		if err != nil {
			return ServeResult{}, err
		}
		result = ServeResult{
			Server:  server.Name,
			Stalled: o.Clock().Sub(started),
		}
		result.Usage, err = o.run(ctx, work, server, request, emit)
		result.Running, result.Waiting = o.serverLoad(server.Name)
		if errors.Is(err, engine.ErrAdapterNotLoaded) {
			continue
		}
		return result, err
	}
	return result, pomelospring.NewRefusal(pomelospring.CodeLoadFailed, o.Clock().Add(loadBackoff), "adapter %s does not stay loaded", work.Adapter)
}

// wait queues the work and returns the model worker it is dispatched to, or the
// refusal.
func (o *Owner) wait(ctx context.Context, work *pomelospring.Work) (server pomelospring.BackendServer, err error) {
	decided := make(chan decision, 1)
	if refusal := o.submit(work, decided); refusal != nil {
		return server, refusal
	}
	o.Schedule()
	timer := time.NewTimer(work.Deadline.Sub(o.Clock()) + time.Millisecond)
	defer timer.Stop()
	for {
		select {
		case v := <-decided:
			if v.refusal != nil {
				return server, v.refusal
			}
			return v.server, nil
		case <-timer.C:
			o.Schedule()
			timer.Reset(time.Second)
		case <-ctx.Done():
			return o.cancel(work, decided)
		}
	}
}

// submit queues the work, or refuses it if it would miss its deadline or wait too
// long for its adapter.
func (o *Owner) submit(work *pomelospring.Work, decided chan decision) *pomelospring.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	if len(o.scheduler.OwnedServers()) == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, now.Add(time.Second), "this instance owns no model worker")
	}
	backlog := o.scheduler.EstimateBacklog(o.meanServiceTime)
	if now.Add(backlog).After(work.Deadline) {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, now.Add(backlog), "%d requests are already queued", o.scheduler.Queue.Len())
	}
	if o.scheduler.NeedsLoad(work.Adapter) {
		o.Loads.RecordDemand()
	}
	if wait, exceeds := o.scheduler.ExceedsLoadWait(work, now); exceeds {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, now.Add(wait), "too many adapters wait to be loaded before %s", work.Adapter)
	}
	o.waiting[work.ID] = decided
	o.scheduler.Submit(work, now)
	return nil
}

// cancel removes the work from the queue; if it was dispatched meanwhile, its slot
// on the model worker is freed.
func (o *Owner) cancel(work *pomelospring.Work, decided chan decision) (server pomelospring.BackendServer, err error) {
	o.mu.Lock()
	removed := o.scheduler.Cancel(work.ID)
	delete(o.waiting, work.ID)
	o.mu.Unlock()
	if !removed {
		if v := <-decided; v.refusal == nil {
			o.finish(work, v.server, 0, false)
		}
	}
	return server, pomelospring.NewRefusal(pomelospring.CodeCallerGone, time.Time{}, "the request was canceled before it ran")
}

// run generates the answer on a model worker and records the result.
func (o *Owner) run(ctx context.Context, work *pomelospring.Work, server pomelospring.BackendServer, request engine.Request, emit func([]byte) error) (usage engine.Usage, err error) {
	events.Log(o.Logger, events.RequestDispatch, log.Fields{
		"request": work.ID,
		"team":    work.Team,
		"adapter": work.Adapter.String(),
		"server":  server.Name,
	})
	started := o.Clock()
	usage, err = o.Engine.Generate(ctx, server, request, emit)
	used := float64(usage.PromptTokens + usage.CompletionTokens)
	o.finish(work, server, used, err != nil && !errors.Is(err, engine.ErrAdapterNotLoaded))
	if err == nil {
		o.recordServiceTime(o.Clock().Sub(started))
		return usage, nil
	}
	if errors.Is(err, engine.ErrAdapterNotLoaded) {
		o.removeResident(server.Name, work.Adapter)
		return usage, err
	}
	return usage, o.callerError(ctx, server, err)
}

// callerError converts an engine error to the refusal that the caller gets. If
// the request was not canceled, any error but a 4xx status other than 429 also
// suspends the model worker.
func (o *Owner) callerError(ctx context.Context, server pomelospring.BackendServer, err error) error {
	var status *engine.StatusError
	if ctx.Err() != nil {
		return pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the request was ended")
	}
	if errors.As(err, &status) && status.Status < 500 && status.Status != 429 {
		return pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the model worker refused the request: %s", status.Text)
	}
	o.recordFailure(server, err)
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", err)
}

// recordFailure logs the failure of a model worker and suspends it.
func (o *Owner) recordFailure(server pomelospring.BackendServer, cause error) {
	events.Log(o.Logger, events.ServerBroken, log.Fields{
		"server": server.Name,
		"error":  cause.Error(),
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.SuspendServer(server.Name, o.Clock().Add(suspendTime))
}

// serverLoad returns the load of a server, which is attached to answers to other
// instances.
func (o *Owner) serverLoad(server string) (running, waiting int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.ServerLoad(server)
}

// recordServiceTime updates the mean service time.
func (o *Owner) recordServiceTime(duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(duration-o.meanServiceTime))
}

// finish frees the work's slot on its model worker. Abandoned work may still be
// running there.
func (o *Owner) finish(work *pomelospring.Work, server pomelospring.BackendServer, used float64, abandoned bool) {
	o.mu.Lock()
	if abandoned {
		o.scheduler.AbandonRequest(work, server.Name, used, o.Clock(), o.FlightTime)
	} else {
		o.scheduler.FinishRequest(work, server.Name, used, o.Clock())
	}
	o.mu.Unlock()
	o.Schedule()
}

func (o *Owner) removeResident(server string, adapter pomelospring.AdapterVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.RemoveResident(server, adapter)
}

// Schedule asks the scheduler for its next actions and carries them out: it
// answers waiting requests, starts loads, and refills the load budget if it is
// exhausted.
func (o *Owner) Schedule() {
	o.mu.Lock()
	actions := o.scheduler.NextActions(o.Clock(), o.Loads.Take)
	for _, dispatch := range actions.Dispatches {
		o.decide(dispatch.Work.ID, decision{
			server: dispatch.Server,
		})
	}
	for _, work := range actions.Expired {
		o.decide(work.ID, decision{
			refusal: pomelospring.NewRefusal(pomelospring.CodeOverloaded, o.Clock().Add(o.scheduler.EstimateBacklog(o.meanServiceTime)+time.Second), "the request could not be started in time"),
		})
	}
	for _, load := range actions.Loads {
		o.orders[load.Server.Name]++
	}
	refill := actions.BudgetExhausted && !o.refilling
	if refill {
		o.refilling = true
	}
	o.mu.Unlock()
	for _, load := range actions.Loads {
		go o.load(load)
	}
	if refill {
		go o.refill()
	}
}

// decide gives a waiting request its decision; the caller holds o.mu.
func (o *Owner) decide(id string, v decision) {
	if decided, waits := o.waiting[id]; waits {
		decided <- v
		delete(o.waiting, id)
	}
}

// refill tries to refill the load budget, then schedules again.
func (o *Owner) refill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o.Loads.Refill(ctx)
	o.mu.Lock()
	o.refilling = false
	o.mu.Unlock()
	o.Schedule()
}

// load sends one order to its model worker and applies the result.
func (o *Owner) load(order Load) {
	fields := log.Fields{
		"server":  order.Server.Name,
		"adapter": order.Placement.Adapter.String(),
		"evict":   order.Placement.Evict.String(),
		"reason":  order.Placement.Reason,
		"fence":   order.Fence,
	}
	events.Log(o.Logger, events.AdapterLoading, fields)
	err := o.order(order)
	o.endOrder(order.Server.Name)
	o.mu.Lock()
	o.scheduler.ApplyLoad(order.Server.Name, order.Placement.Adapter, err != nil, o.Clock())
	o.mu.Unlock()
	if err == nil {
		events.Log(o.Logger, events.AdapterLoaded, fields)
	} else {
		fields["error"] = err.Error()
		events.Log(o.Logger, failureOf(err), fields)
	}
	o.OnPlacementChange()
	o.Schedule()
}

// failureOf returns the event for a failed order.
func failureOf(err error) events.Event {
	if errors.Is(err, engine.ErrFenced) {
		return events.OrderFenced
	}
	return events.AdapterFailed
}

// order unloads the adapter to evict, if any, then loads the new one.
func (o *Owner) order(order Load) (err error) {
	ctx := context.Background()
	if order.Placement.Evict.Adapter != "" {
		if err = o.Engine.Unload(ctx, order.Server, order.Placement.Evict, order.Fence); err != nil {
			return err
		}
	}
	return o.Engine.Load(ctx, order.Server, order.Placement.Adapter, order.Fence)
}
