package coordination_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
)

// slowEngine is a model worker that takes a while to acknowledge an order.
type slowEngine struct {
	mu       sync.Mutex
	resident []pomelospring.ResidentAdapter
	orders   []string
	reports  int
}

func (e *slowEngine) Do(ctx context.Context, order pomelospring.Order) (pomelospring.OrderResult, error) {
	result, err := pomelospring.OrderDone, error(nil)
	select {
	case <-ctx.Done():
		result, err = pomelospring.OrderUnknown, ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, string(order.Kind)+" "+order.Adapter+" "+string(result))
	return result, err
}

func (e *slowEngine) Report(context.Context, pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	return pomelospring.EngineReport{Models: []string{"m"}, Resident: e.resident}, nil
}

// leaderOf returns a leader that holds the lease and has the engine's report.
func leaderOf(ctx context.Context, engine pomelospring.Engine) *coordination.Leader {
	began := time.Now()
	board := fleet.NewBoard("north")
	board.SetPolicy(&pomelospring.Policy{Version: 1, Services: map[string]pomelospring.Service{
		"llm": {Engine: &pomelospring.EngineLimits{AdapterSlots: 1, LoadsPerSecond: 10, Models: map[string]pomelospring.ModelLimits{"m": {Name: "m"}}}},
	}})
	board.SetServers(map[string]pomelospring.FleetServer{
		"a": {ID: "a", Service: "llm", Domain: "north", Slots: 4, Models: []string{"m"}},
	}, time.Now())
	leader := coordination.NewLeader(0, groupParts)
	leader.Domain, leader.Domains = "north", 1
	leader.AnsweringDomains = func() int { return 1 }
	leader.Board = board
	leader.Engine = engine
	leader.Logger = &log.Logger{Handler: discard.New()}
	leader.Clock = time.Now
	leader.Uptime = func() time.Duration { return time.Since(began) }
	leader.Eras = &coordination.StoreEras{Logger: leader.Logger, Uptime: leader.Uptime}
	member := &coordination.Member{
		Domain:   "north",
		Address:  "self",
		Board:    board,
		Ledger:   quota.NewLedger(1, func() float64 { return 0 }),
		Leader:   leader,
		Logger:   leader.Logger,
		Clock:    time.Now,
		LeadsAny: leader.Leading,
	}
	election := &coordination.Election{
		Groups:         &groups{},
		Group:          "orders",
		LeadersKnown:   func() bool { return false },
		Leader:         leader,
		Member:         member,
		Address:        member.Address,
		Logger:         leader.Logger,
		Uptime:         leader.Uptime,
		ProcessorShare: 1,
	}
	go func() { _ = election.Run(ctx) }()
	go func() { _ = leader.Run(ctx) }()
	time.Sleep(20 * time.Second)
	synctest.Wait()
	return leader
}

// TestPlacementWhoseCallerLeavesKeepsItsOrders guards against workers that were out of
// step, because a takeover was canceled or a caller left while an order was in flight.
func TestPlacementWhoseCallerLeavesKeepsItsOrders(t *testing.T) {
	scenarios := []struct {
		name     string
		resident []pomelospring.ResidentAdapter
		leaves   time.Duration
		want     []string
	}{
		{
			name:   "during the load",
			leaves: 50 * time.Millisecond,
			want:   []string{"loadAdapter m/x done"},
		},
		{
			name:     "during the eviction",
			resident: []pomelospring.ResidentAdapter{{Adapter: "m/old", Version: 1}},
			leaves:   50 * time.Millisecond,
			want:     []string{"unloadAdapter m/old done", "loadAdapter m/x done"},
		},
		{
			name:   "before it is planned",
			leaves: 0,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				engine := &slowEngine{resident: scenario.resident}
				leader := leaderOf(ctx, engine)
				reports := engine.reports
				caller, leave := context.WithTimeout(ctx, scenario.leaves)
				defer leave()
				startedAt := time.Now()
				_, err := leader.Place(caller, pomelospring.PlacementRequest{
					Request:  "r1",
					Adapter:  "m/x",
					Domain:   "north",
					Deadline: startedAt.Add(time.Second),
				})
				if !errors.Is(err, context.DeadlineExceeded) || time.Since(startedAt) != scenario.leaves {
					t.Errorf("the placement request ended after %v with %v", time.Since(startedAt), err)
				}
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if diff := cmp.Diff(scenario.want, engine.orders); diff != "" {
					t.Error(diff)
				}
				if engine.reports != reports {
					t.Errorf("the worker was out of step: %d more reports", engine.reports-reports)
				}
				stop()
			})
		})
	}
}
