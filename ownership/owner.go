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
	// brokenPause is how long a model worker that failed gets no work.
	brokenPause = 2 * time.Second
	// requeues bounds how often a request goes back to the queue because its
	// adapter was not there after all.
	requeues = 3
	// serviceSmoothing weighs the latest request in the mean service time.
	serviceSmoothing = 0.1
)

// LoadBudget is the fleet-wide budget of loads.
type LoadBudget interface {
	// Take spends one load, or reports that there is none at hand.
	Take() bool
	// RecordDemand counts the need of a load, so that shares follow it.
	RecordDemand()
	// Refill tries to get one load from others; it returns once Take is worth
	// another try.
	Refill(ctx context.Context)
}

// ServeResult closes a request that was answered whole.
type ServeResult struct {
	Usage  engine.Usage
	Server string
	// Stalled is how long the request waited for a load.
	Stalled time.Duration
	// Running and Waiting are the server's load as the request ended.
	Running int
	Waiting int
}

// Owner runs the model workers that this instance owns.
type Owner struct {
	Engine *engine.Client
	Loads  LoadBudget
	Logger log.Interface
	Clock  pomelospring.Clock
	// ClockBound is the largest difference assumed between two clocks.
	ClockBound time.Duration
	// FlightTime is the longest that a request or order is under way.
	FlightTime time.Duration
	// OnPlacementChange is called after placements changed.
	OnPlacementChange func()

	mu        sync.Mutex
	scheduler *Scheduler
	waiting   map[string]chan verdict
	// served is the mean time that a request runs.
	served    time.Duration
	refilling bool
	// orders counts the orders under way by server; ordered is closed when
	// one of them changes.
	orders  map[string]int
	ordered chan struct{}
}

type verdict struct {
	server  pomelospring.BackendServer
	refusal *pomelospring.Refusal
}

// NewOwner makes an owner of nothing.
func NewOwner(scheduler *Scheduler, client *engine.Client, loads LoadBudget, logger log.Interface, clock pomelospring.Clock, clockBound time.Duration) *Owner {
	return &Owner{
		Engine:            client,
		Loads:             loads,
		Logger:            logger,
		Clock:             clock,
		ClockBound:        clockBound,
		OnPlacementChange: func() {},
		scheduler:         scheduler,
		waiting:           map[string]chan verdict{},
		served:            time.Second,
		orders:            map[string]int{},
		ordered:           make(chan struct{}),
	}
}

// Serve queues a request, runs it on a model worker and hands its answer to
// emit. An error is a refusal that says what became of the request.
func (o *Owner) Serve(ctx context.Context, work *pomelospring.Work, request engine.Request, emit func([]byte) error) (end ServeResult, err error) {
	started := o.Clock()
	for range requeues {
		server, err := o.wait(ctx, work)
		if err != nil {
			return ServeResult{}, err
		}
		end = ServeResult{
			Server:  server.Name,
			Stalled: o.Clock().Sub(started),
		}
		end.Usage, err = o.run(ctx, work, server, request, emit)
		end.Running, end.Waiting = o.loadOf(server.Name)
		if errors.Is(err, engine.ErrMissing) {
			continue
		}
		return end, err
	}
	return end, pomelospring.NewRefusal(pomelospring.CodeLoadFailed, o.Clock().Add(loadBackOff), "adapter %s does not stay loaded", work.Adapter)
}

// wait queues the work until it is dispatched or refused.
func (o *Owner) wait(ctx context.Context, work *pomelospring.Work) (server pomelospring.BackendServer, err error) {
	decided := make(chan verdict, 1)
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

func (o *Owner) submit(work *pomelospring.Work, decided chan verdict) *pomelospring.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	if len(o.scheduler.OwnedServers()) == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, now.Add(time.Second), "this instance owns no model worker")
	}
	backlog := o.scheduler.EstimateBacklog(o.served)
	if now.Add(backlog).After(work.Deadline) {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, now.Add(backlog), "%d requests wait already", o.scheduler.Queue.Len())
	}
	if o.scheduler.NeedsLoad(work.Adapter) {
		o.Loads.RecordDemand()
	}
	if wait, hopeless := o.scheduler.ExceedsLoadWait(work, now); hopeless {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, now.Add(wait), "too many adapters wait to be loaded before %s", work.Adapter)
	}
	o.waiting[work.ID] = decided
	o.scheduler.Submit(work, now)
	return nil
}

// cancel takes the work back, or gives up its place where it was dispatched.
func (o *Owner) cancel(work *pomelospring.Work, decided chan verdict) (server pomelospring.BackendServer, err error) {
	o.mu.Lock()
	removed := o.scheduler.Cancel(work.ID)
	delete(o.waiting, work.ID)
	o.mu.Unlock()
	if !removed {
		if v := <-decided; v.refusal == nil {
			o.finish(work, v.server, 0, false)
		}
	}
	return server, pomelospring.NewRefusal(pomelospring.CodeCallerGone, time.Time{}, "the caller is gone")
}

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
	o.finish(work, server, used, err != nil && !errors.Is(err, engine.ErrMissing))
	if err == nil {
		o.took(o.Clock().Sub(started))
		return usage, nil
	}
	if errors.Is(err, engine.ErrMissing) {
		o.missing(server.Name, work.Adapter)
		return usage, err
	}
	return usage, o.failed(ctx, server, err)
}

// failed turns an engine's error into what the caller is told.
func (o *Owner) failed(ctx context.Context, server pomelospring.BackendServer, err error) error {
	var status *engine.StatusError
	if ctx.Err() != nil {
		return pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the request was ended")
	}
	if errors.As(err, &status) && status.Status < 500 && status.Status != 429 {
		return pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the model worker refused the request: %s", status.Text)
	}
	o.broken(server, err)
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", err)
}

func (o *Owner) broken(server pomelospring.BackendServer, cause error) {
	events.Log(o.Logger, events.ServerBroken, log.Fields{
		"server": server.Name,
		"error":  cause.Error(),
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.SuspendServer(server.Name, o.Clock().Add(brokenPause))
}

// loadOf is the load of a server; it rides on the answers to other instances.
func (o *Owner) loadOf(server string) (running, waiting int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.ServerLoad(server)
}

func (o *Owner) took(duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.served += time.Duration(serviceSmoothing * float64(duration-o.served))
}

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

func (o *Owner) missing(server string, adapter pomelospring.AdapterVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.RemoveResident(server, adapter)
}

// Schedule carries out what the scheduler wants done now.
func (o *Owner) Schedule() {
	o.mu.Lock()
	actions := o.scheduler.NextActions(o.Clock(), o.Loads.Take)
	for _, dispatch := range actions.Dispatches {
		o.decide(dispatch.Work.ID, verdict{
			server: dispatch.Server,
		})
	}
	for _, work := range actions.Expired {
		o.decide(work.ID, verdict{
			refusal: pomelospring.NewRefusal(pomelospring.CodeOverloaded, o.Clock().Add(o.scheduler.EstimateBacklog(o.served)+time.Second), "the request could not be started in time"),
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

func (o *Owner) decide(id string, v verdict) {
	if decided, waits := o.waiting[id]; waits {
		decided <- v
		delete(o.waiting, id)
	}
}

func (o *Owner) refill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o.Loads.Refill(ctx)
	o.mu.Lock()
	o.refilling = false
	o.mu.Unlock()
	o.Schedule()
}

// load carries out one order: first what it evicts, then the load.
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
	o.orderDone(order.Server.Name)
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

func failureOf(err error) events.Event {
	if errors.Is(err, engine.ErrFenced) {
		return events.OrderFenced
	}
	return events.AdapterFailed
}

func (o *Owner) order(order Load) (err error) {
	ctx := context.Background()
	if order.Placement.Evict.Adapter != "" {
		if err = o.Engine.Unload(ctx, order.Server, order.Placement.Evict, order.Fence); err != nil {
			return err
		}
	}
	return o.Engine.Load(ctx, order.Server, order.Placement.Adapter, order.Fence)
}
