package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const slots = 2

func limits() map[string]pomelospring.EngineLimits {
	return map[string]pomelospring.EngineLimits{
		"llm": {
			AdapterSlots:   slots,
			LoadsPerSecond: 1,
			Models: map[string]pomelospring.ModelLimits{
				"m": {
					Name: "m",
				},
			},
		},
	}
}

func server(id string) pomelospring.FleetServer {
	return pomelospring.FleetServer{
		ID:      id,
		Service: "llm",
		Domain:  "north",
		Started: start,
	}
}

func report(sequence int64, adapters ...string) pomelospring.EngineReport {
	report := pomelospring.EngineReport{
		Sequence: sequence,
		Started:  start,
		Models:   []string{"m"},
	}
	for _, adapter := range adapters {
		report.Resident = append(report.Resident, pomelospring.ResidentAdapter{
			Adapter: adapter,
			Version: 1,
		})
	}
	return report
}

// workers returns a table with workers a and b, after their reports.
func workers(a, b pomelospring.EngineReport) *loading.PlacementTable {
	table := loading.NewPlacementTable()
	table.SetServers([]pomelospring.FleetServer{server("a"), server("b")}, limits(), 1)
	table.ApplyReport("a", a, start)
	table.ApplyReport("b", b, start)
	return table
}

func request(adapter string) pomelospring.PlacementRequest {
	return pomelospring.PlacementRequest{
		Adapter: adapter,
		Domain:  "north",
	}
}

func TestPlan(t *testing.T) {
	type plan struct {
		Kind   loading.PlanKind
		Server string
		Evict  string
	}
	now := start.Add(10 * time.Second)
	used := func(table *loading.PlacementTable, server string, adapters ...string) {
		counts := map[string]int{}
		for _, adapter := range adapters {
			counts[adapter]++
		}
		table.SetServerLoad(server, len(adapters), 0, counts, now)
	}
	scenarios := []struct {
		name    string
		workers *loading.PlacementTable
		prepare func(table *loading.PlacementTable)
		request pomelospring.PlacementRequest
		want    plan
	}{
		{
			name:    "a resident adapter is not loaded again",
			workers: workers(report(0, "m/x"), report(0)),
			request: request("m/x"),
			want:    plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name:    "a free slot is used before any eviction",
			workers: workers(report(0, "m/x", "m/y"), report(0, "m/z")),
			prepare: func(table *loading.PlacementTable) {
				used(table, "a", "m/x", "m/y")
			},
			request: request("m/new"),
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "an adapter in use is never evicted",
			workers: workers(report(0, "m/x", "m/y"), report(0, "m/z", "m/w")),
			prepare: func(table *loading.PlacementTable) {
				used(table, "a", "m/x", "m/y")
				used(table, "b", "m/z")
			},
			request: request("m/new"),
			want:    plan{Kind: loading.PlanLoad, Server: "b", Evict: "m/w"},
		},
		{
			name:    "the request waits while all slots are in use",
			workers: workers(report(0, "m/x", "m/y"), report(0, "m/z", "m/w")),
			prepare: func(table *loading.PlacementTable) {
				used(table, "a", "m/x", "m/y")
				used(table, "b", "m/z", "m/w")
			},
			request: request("m/new"),
			want:    plan{Kind: loading.PlanWait},
		},
		{
			name:    "an unsynced worker receives no order",
			workers: workers(report(0), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.Invalidate(now)
			},
			request: request("m/new"),
			want:    plan{Kind: loading.PlanWait},
		},
		{
			name:    "a worker with an order in flight receives no other",
			workers: workers(report(0), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.BeginOrder("a")
			},
			request: request("m/new"),
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "a worker that refused the adapter is avoided",
			workers: workers(report(0, "m/x"), report(0)),
			request: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Avoid: []string{"a"}},
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			// A call that arrives before the load has finished must not lead
			// to a further load on another worker.
			name:    "a worker with a delayed load is kept",
			workers: workers(report(0), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.BeginOrder("a")
				table.ApplyLoad("a", "m/x", 1, pomelospring.OrderAccepted, now.Add(-300*time.Millisecond))
				table.EndOrder("a")
			},
			request: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Missing: []string{"a"}},
			want:    plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name:    "a worker that lacks the adapter long after its load is avoided",
			workers: workers(report(0), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.BeginOrder("a")
				table.ApplyLoad("a", "m/x", 1, pomelospring.OrderAccepted, now.Add(-9*time.Second))
				table.EndOrder("a")
			},
			request: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Missing: []string{"a"}},
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "a worker that failed the call is avoided although its load seems delayed",
			workers: workers(report(0), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.BeginOrder("a")
				table.ApplyLoad("a", "m/x", 1, pomelospring.OrderAccepted, now.Add(-300*time.Millisecond))
				table.EndOrder("a")
			},
			request: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Avoid: []string{"a"}},
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "an adapter on an unreachable worker is loaded elsewhere",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.Plan(pomelospring.PlacementRequest{Adapter: "m/y", Domain: "north", Avoid: []string{"a"}}, now)
				table.RecordUnreachable("a", now)
			},
			request: request("m/x"),
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "an adapter on a worker that left one report unanswered is used",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.Plan(pomelospring.PlacementRequest{Adapter: "m/y", Domain: "north", Avoid: []string{"a"}}, now)
				table.RecordSilence("a", now)
			},
			request: request("m/x"),
			want:    plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name:    "an adapter on a worker that left two reports unanswered is loaded elsewhere",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.Plan(pomelospring.PlacementRequest{Adapter: "m/y", Domain: "north", Avoid: []string{"a"}}, now)
				table.RecordSilence("a", now)
				table.RecordSilence("a", now)
			},
			request: request("m/x"),
			want:    plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name:    "an adapter on a worker that failed a call and reports well is used",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.Plan(pomelospring.PlacementRequest{Adapter: "m/y", Domain: "north", Avoid: []string{"a"}}, now)
				table.ApplyReport("a", report(0, "m/x"), now)
			},
			request: request("m/x"),
			want:    plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name:    "an outdated version is not used",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.DeclareVersion("m/x", 2)
				used(table, "a", "m/x")
				used(table, "b")
			},
			request: request("m/x"),
			want:    plan{Kind: loading.PlanLoad, Server: "a"},
		},
		{
			name:    "no adapter is loaded without its base model",
			workers: workers(pomelospring.EngineReport{Started: start}, pomelospring.EngineReport{Started: start}),
			request: request("m/x"),
			want:    plan{Kind: loading.PlanNone},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if scenario.prepare != nil {
				scenario.prepare(scenario.workers)
			}
			made := scenario.workers.Plan(scenario.request, now)
			got := plan{
				Kind:   made.Kind,
				Server: made.Server.ID,
				Evict:  made.Evict,
			}
			if got.Kind == loading.PlanLoad && scenario.name == "an outdated version is not used" {
				// Either worker will do.
				got.Server = scenario.want.Server
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlanSpreadsSimultaneousRequests(t *testing.T) {
	table := workers(report(0), report(0))
	now := start.Add(10 * time.Second)
	got := map[string]int{}
	for i := range 10 {
		got[table.Plan(request(fmt.Sprint("m/", i)), now).Server.ID]++
	}
	if diff := cmp.Diff(map[string]int{"a": 5, "b": 5}, got); diff != "" {
		t.Error(diff)
	}
}

// engine simulates a model worker and checks its orders. It executes delayed
// orders seconds after the leader gave up on them.
type engine struct {
	sequence  int64
	resident  map[string]bool
	running   map[string]int
	delayed   []delayedOrder
	violation string
}

type delayedOrder struct {
	order pomelospring.Order
	at    time.Time
}

func (e *engine) execute(order pomelospring.Order) pomelospring.OrderResult {
	if order.Sequence != e.sequence {
		return pomelospring.OrderConflict
	}
	e.sequence++
	if order.Kind == pomelospring.UnloadAdapter {
		if e.running[order.Adapter] > 0 {
			return pomelospring.OrderAccepted
		}
		delete(e.resident, order.Adapter)
		return pomelospring.OrderDone
	}
	e.resident[order.Adapter] = true
	if len(e.resident) > slots {
		e.violation = fmt.Sprintf("order %d loads %s with all slots taken: %v", order.Sequence, order.Adapter, e.resident)
	}
	return pomelospring.OrderAccepted
}

func (e *engine) report() pomelospring.EngineReport {
	resident := make([]string, 0, len(e.resident))
	for adapter := range e.resident {
		resident = append(resident, adapter)
	}
	return report(e.sequence, resident...)
}

// simulation is a placement table with model workers that lose the results of
// orders and execute some orders late.
type simulation struct {
	table   *loading.PlacementTable
	engines map[string]*engine
	random  *rand.Rand
	loads   int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		table:   loading.NewPlacementTable(),
		engines: map[string]*engine{},
		random:  rand.New(rand.NewPCG(seed, 3)),
	}
	servers := make([]pomelospring.FleetServer, 0, 3)
	for _, id := range []string{"a", "b", "c"} {
		s.engines[id] = &engine{
			resident: map[string]bool{},
			running:  map[string]int{},
		}
		servers = append(servers, server(id))
	}
	s.table.SetServers(servers, limits(), 1)
	return s
}

// report delivers most of the due reports.
func (s *simulation) report(now time.Time) {
	for _, due := range s.table.DueReports(now) {
		if s.random.Float64() < 0.8 {
			s.table.ApplyReport(due.ID, s.engines[due.ID].report(), now)
		}
	}
}

// executeDelayed executes the delayed orders that are due.
func (s *simulation) executeDelayed(now time.Time) {
	for _, e := range s.engines {
		var later []delayedOrder
		for _, delayed := range e.delayed {
			if now.Before(delayed.at) {
				later = append(later, delayed)
				continue
			}
			e.execute(delayed.order)
		}
		e.delayed = later
	}
}

// send sends an order, whose result may be lost or whose execution delayed.
func (s *simulation) send(id string, order pomelospring.Order, now time.Time) pomelospring.OrderResult {
	e := s.engines[id]
	switch draw := s.random.Float64(); {
	case draw < 0.15:
		e.delayed = append(e.delayed, delayedOrder{
			order: order,
			at:    now.Add(2*time.Second + time.Duration(s.random.Int64N(int64(10*time.Second)))),
		})
		return pomelospring.OrderUnknown
	case draw < 0.2:
		e.execute(order)
		return pomelospring.OrderUnknown
	}
	return e.execute(order)
}

// load executes a plan as a leader does.
func (s *simulation) load(t *testing.T, plan loading.Plan, now time.Time) {
	id := plan.Server.ID
	sequence, ok := s.table.BeginOrder(id)
	if !ok {
		t.Fatal("plan for a worker that accepts no order")
	}
	defer s.table.EndOrder(id)
	if plan.Evict != "" {
		result := s.send(id, pomelospring.Order{Kind: pomelospring.UnloadAdapter, Adapter: plan.Evict, Sequence: sequence}, now)
		if !s.table.ApplyUnload(id, plan.Evict, result, now) {
			return
		}
		sequence++
	}
	result := s.send(id, pomelospring.Order{Kind: pomelospring.LoadAdapter, Adapter: plan.Adapter, Sequence: sequence}, now)
	if _, ok := s.table.ApplyLoad(id, plan.Adapter, plan.Version, result, now); ok {
		s.loads++
	}
}

func TestOrdersNeverExceedSlots(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(seed)
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
			s.report(now)
			s.executeDelayed(now)
			plan := s.table.Plan(request(fmt.Sprintf("m/%d", s.random.IntN(12))), now)
			if plan.Kind == loading.PlanLoad {
				s.load(t, plan, now)
			}
		}
		for id, e := range s.engines {
			if e.violation != "" {
				t.Fatalf("seed %d, worker %s: %s", seed, id, e.violation)
			}
		}
		if s.loads < 10 {
			t.Fatalf("seed %d: only %d loads", seed, s.loads)
		}
	}
}

// TestPlanPrefersFasterWorkers guards against loads on workers where work takes longer, and
// against all loads on those where it takes less.
func TestPlanPrefersFasterWorkers(t *testing.T) {
	scenarios := []struct {
		name    string
		paces   map[string]float64
		waiting int64
		want    string
	}{
		{name: "alike", want: "a"},
		{name: "the first one is slow", paces: map[string]float64{"a": 1.3}, want: "b"},
		{name: "the second one is fast", paces: map[string]float64{"b": 0.5}, want: "b"},
		{name: "the fast one is busy", paces: map[string]float64{"b": 0.5}, waiting: 60000, want: "a"},
		{name: "all are slow", paces: map[string]float64{"a": 4, "b": 4}, want: "a"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			table := workers(report(1), report(1))
			table.Paces = scenario.paces
			table.SetServerLoad("b", 0, scenario.waiting, nil, start)
			plan := table.Plan(request("m/new"), start)
			if diff := cmp.Diff(scenario.want, plan.Server.ID); diff != "" {
				t.Error(diff)
			}
		})
	}
}
