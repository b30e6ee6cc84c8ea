package coordination_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/fleet"
)

// countingEngine counts the orders to a worker and the requests for its report.
type countingEngine struct {
	*singleWorker
	count atomic.Int32
}

func (e *countingEngine) Do(ctx context.Context, order pomelospring.Order) (pomelospring.OrderResult, error) {
	e.count.Add(1)
	return e.singleWorker.Do(ctx, order)
}

func (e *countingEngine) Report(ctx context.Context, server pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	e.count.Add(1)
	return e.singleWorker.Report(ctx, server)
}

func TestNothingIsSentToWorkersOfAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engine := &countingEngine{singleWorker: &singleWorker{}}
		leader := startLeaderOf(ctx, engine, engine.singleWorker, &groups{})
		place := func(adapter string) string {
			outcome, err := leader.Place(ctx, pomelospring.PlacementRequest{
				Adapter:  adapter,
				Domain:   "north",
				Deadline: time.Now().Add(time.Second),
			})
			if err != nil {
				t.Error(err)
			}
			return outcome.Server
		}
		if diff := cmp.Diff("a", place("m/x")); diff != "" {
			t.Error(diff)
		}
		// It waits for the slot.
		waiting := make(chan string, 1)
		go func() { waiting <- place("m/waits") }()
		synctest.Wait()
		leader.Board.SetEvacuated("north", true)
		before := engine.count.Load()
		leader.Board.DeclareVersion("m/x", 2, time.Now())
		if diff := cmp.Diff([]string{"", "", ""}, []string{<-waiting, place("m/x"), place("m/y")}); diff != "" {
			t.Error(diff)
		}
		time.Sleep(10 * time.Second)
		if count := engine.count.Load() - before; count > 0 {
			t.Errorf("%d orders and requests for reports", count)
		}
		leader.Board.SetEvacuated("north", false)
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff("a", place("m/y")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestLeadersOfEvacuatedDomainsAndOutsideHomesAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		worker := &singleWorker{}
		leader := startLeader(ctx, worker)
		board := fleet.NewBoard("south")
		member := &coordination.Member{
			Domain:  "north",
			Address: "instance",
			Board:   board,
			Leader:  leader,
			Logger:  leader.Logger,
			Clock:   time.Now,
		}
		member.SetLeader("instance")
		coordinator := &coordination.PlacementCoordinator{
			Board:   board,
			Members: []*coordination.Member{member},
		}
		var homes pomelospring.Homes
		place := func() (server string, failed bool) {
			outcome, err := coordinator.Place(ctx, pomelospring.PlacementRequest{
				Adapter:  "m/x",
				Domain:   "south",
				Deadline: time.Now().Add(time.Second),
				Homes:    homes,
			})
			return outcome.Server, err != nil
		}
		board.SetEvacuated("north", true)
		if server, failed := place(); server != "" || !failed {
			t.Errorf("placed on %q", server)
		}
		board.SetEvacuated("north", false)
		if server, _ := place(); server != "a" {
			t.Errorf("placed on %q, want a", server)
		}
		board.Regions = map[string]string{"north": "west"}
		homes = pomelospring.Homes{"east"}
		if server, failed := place(); server != "" || !failed {
			t.Errorf("placed on %q outside the homes", server)
		}
		homes = pomelospring.Homes{"west"}
		if server, _ := place(); server != "a" {
			t.Errorf("placed on %q, want a", server)
		}
	})
}
