package ownership

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

var endOfTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// AddServer takes over a model worker; see Scheduler.AddServer.
func (o *Owner) AddServer(backend pomelospring.BackendServer, fence int64, useAfter time.Time) {
	o.mu.Lock()
	o.scheduler.AddServer(backend, fence, useAfter)
	o.mu.Unlock()
	o.OnPlacementChange()
	o.Schedule()
}

// RemoveServer gives up a model worker and returns what still runs there.
func (o *Owner) RemoveServer(name string) map[pomelospring.AdapterVersion]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	busy := o.scheduler.RemoveServer(name)
	if len(o.scheduler.OwnedServers()) > 0 {
		return busy
	}
	for _, work := range o.scheduler.Queue.Expired(endOfTime) {
		o.decide(work.ID, verdict{
			refusal: pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, o.Clock().Add(time.Second), "this instance owns no model worker any more"),
		})
	}
	return busy
}

// OwnedServers names the model workers owned, sorted.
func (o *Owner) OwnedServers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.scheduler.OwnedServers()...)
}

// SetFrozen forbids or allows orders; see Scheduler.SetFrozen.
func (o *Owner) SetFrozen(frozen bool) {
	o.mu.Lock()
	o.scheduler.SetFrozen(frozen)
	o.mu.Unlock()
	o.Schedule()
}

// ApplyHandover takes the former owner's word; see Scheduler.ApplyHandover.
func (o *Owner) ApplyHandover(name string, fence int64, busy map[pomelospring.AdapterVersion]int) {
	o.mu.Lock()
	o.scheduler.ApplyHandover(name, fence, busy, o.Clock().Add(o.FlightTime))
	o.mu.Unlock()
	o.Schedule()
}

// WaitOrders returns once no order to a model worker is under way.
func (o *Owner) WaitOrders(ctx context.Context, server string) {
	for {
		o.mu.Lock()
		count, changed := o.orders[server], o.ordered
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

// orderDone notes that an order to a model worker is not under way any more.
func (o *Owner) orderDone(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders[server]--
	close(o.ordered)
	o.ordered = make(chan struct{})
}

// Summaries tells what is owned here.
func (o *Owner) Summaries() []Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Summaries()
}

// Poll fetches a model worker's load report.
func (o *Owner) Poll(ctx context.Context, backend pomelospring.BackendServer) {
	asked := o.Clock()
	report, err := o.Engine.Report(ctx, backend)
	if err != nil {
		if ctx.Err() == nil {
			events.Log(o.Logger, events.ServerSilent, log.Fields{
				"server": backend.Name,
				"error":  err.Error(),
			})
			o.silent(backend.Name)
		}
		return
	}
	if !report.At.IsZero() && report.At.Add(-o.ClockBound).Before(asked) {
		asked = report.At.Add(-o.ClockBound)
	}
	o.mu.Lock()
	o.scheduler.ApplyReport(backend.Name, report, asked)
	o.mu.Unlock()
	o.OnPlacementChange()
	o.Schedule()
}

func (o *Owner) silent(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.SuspendServer(name, o.Clock().Add(brokenPause))
}
