package coordination

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/loading"
)

// Place serves a placement request. It returns once the adapter is ready on a
// server, or with the reason why it could not be placed.
func (l *Leader) Place(ctx context.Context, request pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
	defer pomelospring.Annotate(&err, "place %s", request.Adapter)
	startedAt := l.Clock()
	if !request.AtOnce {
		defer l.countWaiting(request.Adapter)()
	}
	for {
		now := l.Clock()
		plan, sequence, ok := l.plan(request, now)
		if !ok {
			return pomelospring.PlacementOutcome{}, errNotLeading
		}
		if plan.Kind == loading.PlanLoad {
			if plan, err = l.awaitLoad(ctx, plan, sequence); err != nil {
				return pomelospring.PlacementOutcome{}, err
			}
		}
		if plan.Kind == loading.PlanWait && !l.canPlaceInTime(request, now) {
			plan.Kind = loading.PlanNone
			plan.Reason += ", with too many before this one"
		}
		tooLate := plan.At.After(request.Deadline) || plan.Kind == loading.PlanWait && request.AtOnce
		switch {
		case plan.Kind == loading.PlanNone || tooLate:
			outcome = pomelospring.PlacementOutcome{
				Reason:  plan.Reason,
				RetryAt: now.Add(placementRetryDelay),
			}
			l.logPlacement(request, outcome, startedAt)
			return outcome, nil
		case plan.Kind == loading.PlanReady:
			if err = pomelospring.Sleep(ctx, plan.At.Sub(l.Clock())); err != nil {
				return pomelospring.PlacementOutcome{}, err
			}
			outcome = pomelospring.PlacementOutcome{
				Server:  plan.Server.ID,
				Version: plan.Version,
				Reason:  plan.Reason,
			}
			l.logPlacement(request, outcome, startedAt)
			return outcome, nil
		default:
			if err = pomelospring.Sleep(ctx, plan.At.Sub(now)); err != nil {
				return pomelospring.PlacementOutcome{}, err
			}
		}
	}
}

// canPlaceInTime reports whether the placement requests ahead leave time to
// place this one before its deadline; otherwise it is refused at once.
func (l *Leader) canPlaceInTime(request pomelospring.PlacementRequest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Add(l.table.EstimateBacklog(len(l.waiting) - 1)).Before(request.Deadline)
}

// countWaiting adds a placement request to those that wait for an adapter; calling
// end removes it.
func (l *Leader) countWaiting(adapter string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[adapter]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.waiting[adapter]--; l.waiting[adapter] <= 0 {
			delete(l.waiting, adapter)
		}
	}
}

// plan decides how to serve a placement request; ok is false if this instance
// does not lead. A plan to load begins the orders to its worker, so that no other order
// changes what it rests on.
func (l *Leader) plan(request pomelospring.PlacementRequest, now time.Time) (plan loading.Plan, sequence int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Holds(l.Uptime()) {
		return loading.Plan{}, 0, false
	}
	l.table.Evacuated = l.Board.Evacuated(l.Domain)
	expected := l.table.FullSpeedTime()
	plan = l.table.Plan(request, now)
	if learned := l.table.FullSpeedTime(); learned != expected {
		events.Log(l.Logger, events.LoadTimeLearned, log.Fields{
			"domain":     l.Domain,
			"adapter":    request.Adapter,
			"expectedMs": learned.Milliseconds(),
		})
	}
	if plan.Kind != loading.PlanLoad {
		return plan, 0, true
	}
	if !l.ordersAllowed() {
		return loading.Plan{
			Kind:   loading.PlanNone,
			Reason: "the former leader's orders may still be under way",
		}, 0, true
	}
	sequence, begun := l.table.BeginOrder(plan.Server.ID)
	if !begun {
		return retryPlan(now), 0, true
	}
	return plan, sequence, true
}

// retryPlan is the plan to plan again, as the orders were not carried out.
func retryPlan(now time.Time) loading.Plan {
	return loading.Plan{
		Kind:   loading.PlanRetry,
		At:     now,
		Reason: "the order to the worker was not carried out",
	}
}

// awaitLoad sends the orders of a plan and waits for them or for the end of the
// context. The orders outlive the context, as a worker of which an order was canceled
// has to be asked for its state.
func (l *Leader) awaitLoad(ctx context.Context, plan loading.Plan, sequence int64) (result loading.Plan, err error) {
	if err = ctx.Err(); err != nil {
		l.endOrder(plan.Server.ID)
		return plan, err
	}
	loaded := make(chan loading.Plan, 1)
	go func() { loaded <- l.load(context.WithoutCancel(ctx), plan, sequence) }()
	select {
	case <-ctx.Done():
		return plan, ctx.Err()
	case result = <-loaded:
		return result, nil
	}
}

// load sends the orders of a plan, which have begun at a sequence. It returns a plan that
// says when the adapter is ready, or to plan again if the orders were not carried out.
func (l *Leader) load(ctx context.Context, plan loading.Plan, sequence int64) loading.Plan {
	retry := retryPlan(l.Clock())
	defer l.endOrder(plan.Server.ID)
	if plan.Evict != "" {
		result := l.order(ctx, pomelospring.Order{
			Kind:     pomelospring.UnloadAdapter,
			Server:   plan.Server,
			Adapter:  plan.Evict,
			Sequence: sequence,
		}, "is evicted for "+plan.Adapter)
		l.mu.Lock()
		free := l.table.ApplyUnload(plan.Server.ID, plan.Evict, result, l.Clock())
		l.mu.Unlock()
		if !free {
			return retry
		}
		sequence++
	}
	result := l.order(ctx, pomelospring.Order{
		Kind:     pomelospring.LoadAdapter,
		Server:   plan.Server,
		Adapter:  plan.Adapter,
		Version:  plan.Version,
		Sequence: sequence,
	}, plan.Reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	readyAt, ok := l.table.ApplyLoad(plan.Server.ID, plan.Adapter, plan.Version, result, l.Clock())
	if !ok {
		return retry
	}
	plan.Kind = loading.PlanReady
	plan.At = readyAt
	return plan
}

// logPlacement logs the outcome of a placement request.
func (l *Leader) logPlacement(request pomelospring.PlacementRequest, outcome pomelospring.PlacementOutcome, startedAt time.Time) {
	events.Log(l.Logger, events.PlacementAnswered, log.Fields{
		"request": request.Request,
		"domain":  l.Domain,
		"adapter": request.Adapter,
		"version": outcome.Version,
		"replica": request.Replica,
		"server":  outcome.Server,
		"reason":  outcome.Reason,
		"tookMs":  l.Clock().Sub(startedAt).Milliseconds(),
	})
}
