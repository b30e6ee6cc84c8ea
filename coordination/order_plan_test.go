package coordination_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
)

// slotWorker is an engine with one model worker that counts the adapters it was ordered
// to hold.
type slotWorker struct {
	singleWorker
	held map[string]bool
	most int
}

func (w *slotWorker) Do(_ context.Context, order pomelospring.Order) (pomelospring.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Sequence != w.sequence {
		return pomelospring.OrderConflict, nil
	}
	w.sequence++
	if order.Kind == pomelospring.UnloadAdapter {
		delete(w.held, order.Adapter)
		return pomelospring.OrderDone, nil
	}
	w.held[order.Adapter] = true
	w.most = max(w.most, len(w.held))
	return pomelospring.OrderAccepted, nil
}

func (w *slotWorker) Report(ctx context.Context, server pomelospring.FleetServer) (report pomelospring.EngineReport, err error) {
	report, err = w.singleWorker.Report(ctx, server)
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter := range w.held {
		report.Resident = append(report.Resident, pomelospring.ResidentAdapter{Adapter: adapter, Version: 1})
	}
	report.Sequence = w.sequence
	return report, err
}

// TestOldPlanIsCarriedOut guards against a plan for a slot that another order took
// between the plan and its first order.
func TestOldPlanIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &slotWorker{held: map[string]bool{}}
		leader := startLeaderOf(ctx, worker, &worker.singleWorker, &groups{})
		for round := range 300 {
			var group sync.WaitGroup
			for i := range 4 {
				group.Go(func() { placeAtOnce(ctx, leader, fmt.Sprint("m/", round, "-", i)) })
			}
			group.Wait()
			time.Sleep(4 * time.Second)
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if diff := cmp.Diff(1, worker.most); diff != "" {
			t.Errorf("adapters on a worker with one slot: %s", diff)
		}
		cancel()
	})
}

func placeAtOnce(ctx context.Context, leader *coordination.Leader, adapter string) {
	_, _ = leader.Place(ctx, pomelospring.PlacementRequest{
		Adapter:  adapter,
		Domain:   "north",
		Deadline: time.Now().Add(time.Second),
		AtOnce:   true,
	})
}
