package coordination

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/loading"
)

// Place fulfils a wish for an adapter, or says why it can't be.
func (l *Leader) Place(ctx context.Context, wish pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
	defer pomelospring.Annotate(&err, "place %s", wish.Adapter)
	began := l.Clock()
	if !wish.AtOnce {
		defer l.countWaiting(wish.Adapter)()
	}
	for {
		now := l.Clock()
		plan, ok := l.plan(wish, now)
		if !ok {
			return pomelospring.PlacementOutcome{}, errNotLeading
		}
		if plan.Kind == loading.PlanLoad {
			plan = l.load(ctx, plan)
		}
		if plan.Kind == loading.PlanWait && !l.worthWaiting(wish, now) {
			plan.Kind = loading.PlanNone
			plan.Reason += ", with too many before this one"
		}
		late := plan.At.After(wish.Deadline) || plan.Kind == loading.PlanWait && wish.AtOnce
		switch {
		case plan.Kind == loading.PlanNone || late:
			outcome = pomelospring.PlacementOutcome{
				Reason:  plan.Reason,
				RetryAt: now.Add(retryPlace),
			}
			l.logAnswer(wish, outcome, began)
			return outcome, nil
		case plan.Kind == loading.PlanReady:
			if err = pause(ctx, plan.At.Sub(l.Clock())); err != nil {
				return pomelospring.PlacementOutcome{}, err
			}
			outcome = pomelospring.PlacementOutcome{
				Server:  plan.Server.ID,
				Version: plan.Version,
				Reason:  plan.Reason,
			}
			l.logAnswer(wish, outcome, began)
			return outcome, nil
		default:
			if err = pause(ctx, plan.At.Sub(now)); err != nil {
				return pomelospring.PlacementOutcome{}, err
			}
		}
	}
}

// worthWaiting reports whether the wishes before one let it in before its
// deadline; it is refused at once otherwise.
func (l *Leader) worthWaiting(wish pomelospring.PlacementRequest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Add(l.book.EstimateBacklog(len(l.waiting) - 1)).Before(wish.Deadline)
}

// countWaiting counts a wish among those that wait; the function ends it.
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

func (l *Leader) plan(wish pomelospring.PlacementRequest, now time.Time) (plan loading.Plan, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Holds(l.Uptime()) {
		return loading.Plan{}, false
	}
	plan = l.book.Plan(wish, now)
	if plan.Kind == loading.PlanLoad && !l.lease.MayOrder(l.Uptime()) {
		return loading.Plan{
			Kind:   loading.PlanNone,
			Reason: "the former leader's orders may still be under way",
		}, true
	}
	return plan, true
}

// load gives the orders of a plan and turns it into one that says what to wait for.
func (l *Leader) load(ctx context.Context, plan loading.Plan) loading.Plan {
	again := loading.Plan{
		Kind:   loading.PlanRetry,
		At:     l.Clock(),
		Reason: "the worker was ordered otherwise",
	}
	l.mu.Lock()
	sequence, ok := l.book.BeginOrder(plan.Server.ID)
	l.mu.Unlock()
	if !ok {
		return again
	}
	defer l.end(plan.Server.ID)
	if plan.Evict != "" {
		result := l.order(ctx, pomelospring.Order{
			Kind:     pomelospring.UnloadAdapter,
			Server:   plan.Server,
			Adapter:  plan.Evict,
			Sequence: sequence,
		}, "makes way for "+plan.Adapter)
		l.mu.Lock()
		free := l.book.ApplyUnload(plan.Server.ID, plan.Evict, result, l.Clock())
		l.mu.Unlock()
		if !free {
			return again
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
	readyAt, ok := l.book.ApplyLoad(plan.Server.ID, plan.Adapter, plan.Version, result, l.Clock())
	if !ok {
		return again
	}
	plan.Kind = loading.PlanReady
	plan.At = readyAt
	return plan
}

func (l *Leader) logAnswer(wish pomelospring.PlacementRequest, outcome pomelospring.PlacementOutcome, began time.Time) {
	events.Log(l.Logger, events.PlacementAnswered, log.Fields{
		"request": wish.Request,
		"domain":  l.Domain,
		"adapter": wish.Adapter,
		"version": outcome.Version,
		"replica": wish.Replica,
		"server":  outcome.Server,
		"reason":  outcome.Reason,
		"tookMs":  l.Clock().Sub(began).Milliseconds(),
	})
}

// pause waits, or until the context ends.
func pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
