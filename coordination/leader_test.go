package coordination_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quarantine"
	"github.com/pomelospring/pomelospring/quota"
)

// singleWorker is an engine with one model worker that executes orders at once.
type singleWorker struct {
	mu       sync.Mutex
	started  time.Time
	sequence int64
	unloaded []string
}

func (w *singleWorker) Do(_ context.Context, order pomelospring.Order) (pomelospring.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	if order.Kind == pomelospring.UnloadAdapter {
		w.unloaded = append(w.unloaded, order.Adapter)
	}
	return pomelospring.OrderAccepted, nil
}

func (w *singleWorker) Report(context.Context, pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return pomelospring.EngineReport{
		Sequence: w.sequence,
		Started:  w.started,
		Models:   []string{"m"},
	}, nil
}

func (w *singleWorker) evicted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.unloaded)
}

// startLeader starts the leader of a domain with one worker that has one slot, and
// waits until it may order.
func startLeader(ctx context.Context, worker *singleWorker) *coordination.Leader {
	return startLeaderIn(ctx, worker, &groups{})
}

func startLeaderIn(ctx context.Context, worker *singleWorker, service *groups) *coordination.Leader {
	return startLeaderOf(ctx, worker, worker, service)
}

func startLeaderOf(ctx context.Context, engine pomelospring.Engine, worker *singleWorker, service *groups) *coordination.Leader {
	began := time.Now()
	worker.started = began
	board := fleet.NewBoard("north")
	board.SetPolicy(&pomelospring.Policy{
		Version: 1,
		Services: map[string]pomelospring.Service{
			"llm": {
				Engine: &pomelospring.EngineLimits{
					AdapterSlots:   1,
					LoadsPerSecond: 1,
					Models: map[string]pomelospring.ModelLimits{
						"m": {
							Name: "m",
						},
					},
				},
			},
		},
	})
	board.SetServers(map[string]pomelospring.FleetServer{
		"a": {
			ID:      "a",
			Service: "llm",
			Domain:  "north",
			Slots:   8,
			Started: began,
		},
	}, began)
	logger := &log.Logger{Handler: discard.New()}
	leader := coordination.NewLeader(0, groupParts)
	leader.Domain, leader.Domains = "north", 1
	leader.Instance = "instance/1"
	leader.AnsweringDomains = func() int { return 1 }
	leader.Board = board
	leader.Engine = engine
	leader.Logger = logger
	leader.Clock = time.Now
	leader.Servers = &fleet.ServerList{Board: board, Logger: logger, Clock: time.Now}
	leader.Uptime = func() time.Duration { return time.Since(began) }
	leader.Eras = &coordination.StoreEras{Logger: logger, Uptime: leader.Uptime}
	election := &coordination.Election{
		Groups:       service,
		Group:        "orders",
		LeadersKnown: func() bool { return false },
		Leader:       leader,
		Member: &coordination.Member{
			Domain:   "north",
			Address:  "instance",
			Board:    board,
			Ledger:   quota.NewLedger(1, func() float64 { return 0 }),
			Leader:   leader,
			Logger:   logger,
			Clock:    time.Now,
			LeadsAny: leader.Leading,
		},
		Address:        "instance",
		Logger:         logger,
		Uptime:         leader.Uptime,
		ProcessorShare: 1,
	}
	go func() { _ = election.Run(ctx) }()
	go func() { _ = leader.Run(ctx) }()
	time.Sleep(10 * time.Second)
	return leader
}

// TestAnAdapterOfACallNotYetReportedIsNotEvicted guards against a window of recent use
// that ends before an instance reports the call that it asked the adapter for.
func TestAnAdapterOfACallNotYetReportedIsNotEvicted(t *testing.T) {
	const (
		interval = 102 * time.Millisecond
		onTheWay = 40 * time.Millisecond
		callTime = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &singleWorker{}
		leader := startLeader(ctx, worker)
		server := &coordination.Server{
			Leaders: map[string]*coordination.Leader{
				"north": leader,
			},
			Quarantine: quarantine.NewRegister(),
		}
		place := func(adapter string) string {
			outcome, err := leader.Place(ctx, pomelospring.PlacementRequest{
				Adapter:  adapter,
				Domain:   "north",
				Deadline: time.Now().Add(time.Second),
				AtOnce:   true,
			})
			if err != nil {
				t.Error(err)
			}
			return outcome.Server
		}
		if diff := cmp.Diff("a", place("m/called")); diff != "" {
			t.Error(diff)
		}
		ended := time.Now().Add(onTheWay + callTime)
		go func() {
			time.Sleep(onTheWay)
			for time.Now().Before(ended) {
				time.Sleep(interval)
				request := &coordinationpb.ExchangeRequest{
					Instance: "caller",
					Domain:   "north",
					Uses: []*coordinationpb.ServerUse{
						{
							Server:   "a",
							Running:  1,
							Adapters: []string{"m/called"},
						},
					},
				}
				go func() {
					time.Sleep(onTheWay)
					_, _ = server.Exchange(ctx, request)
				}()
			}
		}()
		for time.Now().Before(ended) {
			place("m/wanted")
			time.Sleep(5 * time.Millisecond)
		}
		if diff := cmp.Diff([]string(nil), worker.evicted()); diff != "" {
			t.Errorf("evicted during the call: %s", diff)
		}
		time.Sleep(3 * time.Second)
		place("m/wanted")
		if diff := cmp.Diff([]string{"m/called"}, worker.evicted()); diff != "" {
			t.Errorf("evicted after the call: %s", diff)
		}
		cancel()
	})
}
