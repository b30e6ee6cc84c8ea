package ownership

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// endOfTime lies after every deadline, so that all queued work counts as expired.
var endOfTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// AddServer takes ownership of a model worker; see Scheduler.AddServer.
func (o *Owner) AddServer(backend pomelospring.BackendServer, fence int64, useAfter time.Time) {
	o.mu.Lock()
	o.scheduler.AddServer(backend, fence, useAfter)
	o.mu.Unlock()
	o.OnPlacementChange()
	o.Schedule()
}

// RemoveServer gives up a model worker and returns the requests still in flight
// there, by adapter. Without any model worker left, all queued work is refused.
func (o *Owner) RemoveServer(name string) map[pomelospring.AdapterVersion]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	busy := o.scheduler.RemoveServer(name)
	if len(o.scheduler.OwnedServers()) > 0 {
		return busy
	}
	for _, work := range o.scheduler.Queue.Expired(endOfTime) {
		o.decide(work.ID, decision{
			refusal: pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, o.Clock().Add(time.Second), "this instance no longer owns any model worker"),
		})
	}
	return busy
}

// OwnedServers returns the names of the owned model workers, sorted.
func (o *Owner) OwnedServers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.scheduler.OwnedServers()...)
}

// SetFrozen forbids or allows orders to model workers; see Scheduler.SetFrozen.
func (o *Owner) SetFrozen(frozen bool) {
	o.mu.Lock()
	o.scheduler.SetFrozen(frozen)
	o.mu.Unlock()
	o.Schedule()
}

// ApplyHandover records the former owner's report of its requests in flight; see
// Scheduler.ApplyHandover.
func (o *Owner) ApplyHandover(name string, fence int64, busy map[pomelospring.AdapterVersion]int) {
	o.mu.Lock()
	o.scheduler.ApplyHandover(name, fence, busy, o.Clock().Add(o.FlightTime))
	o.mu.Unlock()
	o.Schedule()
}

// WaitOrders returns once no order to a model worker is in flight, or when ctx
// ends.
func (o *Owner) WaitOrders(ctx context.Context, server string) {
	for {
		o.mu.Lock()
		count, changed := o.orders[server], o.orderEnded
		o.mu.Unlock()
		if count == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// endOrder counts an order as ended and wakes the callers of WaitOrders.
func (o *Owner) endOrder(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders[server]--
	close(o.orderEnded)
	o.orderEnded = make(chan struct{})
}

// Summaries returns the published state of the owned model workers; see
// Scheduler.Summaries.
func (o *Owner) Summaries() []Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Summaries()
}

// Poll fetches and applies a model worker's load report. The report holds as of
// the time it was requested, or earlier if the worker's own timestamp less the
// clock bound says so. A worker that does not answer is suspended.
func (o *Owner) Poll(ctx context.Context, backend pomelospring.BackendServer) {
	asOf := o.Clock()
	report, err := o.Engine.Report(ctx, backend)
	if err != nil {
		if ctx.Err() == nil {
			events.Log(o.Logger, events.ServerSilent, log.Fields{
				"server": backend.Name,
				"error":  err.Error(),
			})
			o.suspend(backend.Name)
		}
		return
	}
	if !report.At.IsZero() && report.At.Add(-o.ClockBound).Before(asOf) {
		asOf = report.At.Add(-o.ClockBound)
	}
	o.mu.Lock()
	o.scheduler.ApplyReport(backend.Name, report, asOf)
	o.mu.Unlock()
	o.OnPlacementChange()
	o.Schedule()
}

// suspend sends neither requests nor orders to a model worker for suspendTime.
func (o *Owner) suspend(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.SuspendServer(name, o.Clock().Add(suspendTime))
}
