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

// book knows workers a and b, with what they report.
func book(a, b pomelospring.EngineReport) *loading.PlacementTable {
	k := loading.NewPlacementTable()
	k.SetServers([]pomelospring.FleetServer{server("a"), server("b")}, limits(), 1)
	k.ApplyReport("a", a, start)
	k.ApplyReport("b", b, start)
	return k
}

func wish(adapter string) pomelospring.PlacementRequest {
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
	used := func(k *loading.PlacementTable, server string, adapters ...string) {
		counts := map[string]int{}
		for _, adapter := range adapters {
			counts[adapter]++
		}
		k.SetServerLoad(server, len(adapters), 0, counts, now)
	}
	scenarios := []struct {
		name    string
		book    *loading.PlacementTable
		prepare func(k *loading.PlacementTable)
		wish    pomelospring.PlacementRequest
		want    plan
	}{
		{
			name: "what a worker holds is not loaded again",
			book: book(report(0, "m/x"), report(0)),
			wish: wish("m/x"),
			want: plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name: "a free slot is taken first",
			book: book(report(0, "m/x", "m/y"), report(0, "m/z")),
			prepare: func(k *loading.PlacementTable) {
				used(k, "a", "m/x", "m/y")
			},
			wish: wish("m/new"),
			want: plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name: "an adapter in use never makes way",
			book: book(report(0, "m/x", "m/y"), report(0, "m/z", "m/w")),
			prepare: func(k *loading.PlacementTable) {
				used(k, "a", "m/x", "m/y")
				used(k, "b", "m/z")
			},
			wish: wish("m/new"),
			want: plan{Kind: loading.PlanLoad, Server: "b", Evict: "m/w"},
		},
		{
			name: "with all in use the wish waits",
			book: book(report(0, "m/x", "m/y"), report(0, "m/z", "m/w")),
			prepare: func(k *loading.PlacementTable) {
				used(k, "a", "m/x", "m/y")
				used(k, "b", "m/z", "m/w")
			},
			wish: wish("m/new"),
			want: plan{Kind: loading.PlanWait},
		},
		{
			name: "a worker that is not known exactly is not ordered",
			book: book(report(0), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.Invalidate(now)
			},
			wish: wish("m/new"),
			want: plan{Kind: loading.PlanWait},
		},
		{
			name: "a worker being ordered is left alone",
			book: book(report(0), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.BeginOrder("a")
			},
			wish: wish("m/new"),
			want: plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name: "a worker that refused the adapter is avoided",
			book: book(report(0, "m/x"), report(0)),
			wish: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Avoid: []string{"a"}},
			want: plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			// lgb-grid-grown scale-2: a call that came too early led to one more load.
			name: "a worker whose load takes longer is not left for another",
			book: book(report(0), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.BeginOrder("a")
				k.ApplyLoad("a", "m/x", 1, pomelospring.OrderAccepted, now.Add(-300*time.Millisecond))
				k.EndOrder("a")
			},
			wish: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Avoid: []string{"a"}},
			want: plan{Kind: loading.PlanReady, Server: "a"},
		},
		{
			name: "one that lacks the adapter long after its load is",
			book: book(report(0), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.BeginOrder("a")
				k.ApplyLoad("a", "m/x", 1, pomelospring.OrderAccepted, now.Add(-9*time.Second))
				k.EndOrder("a")
			},
			wish: pomelospring.PlacementRequest{Adapter: "m/x", Domain: "north", Avoid: []string{"a"}},
			want: plan{Kind: loading.PlanLoad, Server: "b"},
		},
		{
			name: "an old version does not do",
			book: book(report(0, "m/x"), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.DeclareVersion("m/x", 2)
				used(k, "a", "m/x")
				used(k, "b")
			},
			wish: wish("m/x"),
			want: plan{Kind: loading.PlanLoad, Server: "a"},
		},
		{
			name: "without the base model nothing can be loaded",
			book: book(pomelospring.EngineReport{Started: start}, pomelospring.EngineReport{Started: start}),
			wish: wish("m/x"),
			want: plan{Kind: loading.PlanNone},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if scenario.prepare != nil {
				scenario.prepare(scenario.book)
			}
			made := scenario.book.Plan(scenario.wish, now)
			got := plan{
				Kind:   made.Kind,
				Server: made.Server.ID,
				Evict:  made.Evict,
			}
			if got.Kind == loading.PlanLoad && scenario.name == "an old version does not do" {
				// Either worker will do.
				got.Server = scenario.want.Server
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWishesThatComeTogetherAreSpread(t *testing.T) {
	k := book(report(0), report(0))
	now := start.Add(10 * time.Second)
	got := map[string]int{}
	for i := range 10 {
		got[k.Plan(wish(fmt.Sprint("m/", i)), now).Server.ID]++
	}
	if diff := cmp.Diff(map[string]int{"a": 5, "b": 5}, got); diff != "" {
		t.Error(diff)
	}
}

func TestLoadsStayWithinTheStoresFullSpeed(t *testing.T) {
	// Three books of 12 workers share the 14.4 loads that run at full speed.
	scenarios := []struct {
		name    string
		loaders int
		want    int
	}{
		{name: "all books load", want: 5},
		{name: "one has no giver of orders", loaders: 2, want: 8},
		{name: "only this one", loaders: 1, want: 15},
		{name: "no more than there are", loaders: 9, want: 5},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			servers := make([]pomelospring.FleetServer, 0, 12)
			for i := range 12 {
				servers = append(servers, server(fmt.Sprint(i)))
			}
			k := loading.NewPlacementTable()
			k.SetServers(servers, limits(), 3)
			k.ActiveLeaders = scenario.loaders
			for _, s := range servers {
				k.ApplyReport(s.ID, report(0), start)
			}
			loads := 0
			for i := range 20 {
				adapter := fmt.Sprint("m/", i)
				plan := k.Plan(wish(adapter), start)
				if plan.Kind != loading.PlanLoad {
					continue
				}
				k.BeginOrder(plan.Server.ID)
				k.ApplyLoad(plan.Server.ID, adapter, plan.Version, pomelospring.OrderAccepted, start)
				k.EndOrder(plan.Server.ID)
				loads++
			}
			if diff := cmp.Diff(scenario.want, loads); diff != "" {
				t.Errorf("loads under way at once: %s", diff)
			}
		})
	}
}

// engine is a model worker that checks what it is ordered. Orders that are
// late are carried out seconds after they were given up.
type engine struct {
	sequence int64
	held     map[string]bool
	runs     map[string]int
	late     []lateOrder
	broken   string
}

type lateOrder struct {
	order pomelospring.Order
	at    time.Time
}

func (e *engine) do(order pomelospring.Order) pomelospring.OrderResult {
	if order.Sequence != e.sequence {
		return pomelospring.OrderConflict
	}
	e.sequence++
	if order.Kind == pomelospring.UnloadAdapter {
		if e.runs[order.Adapter] > 0 {
			return pomelospring.OrderAccepted
		}
		delete(e.held, order.Adapter)
		return pomelospring.OrderDone
	}
	e.held[order.Adapter] = true
	if len(e.held) > slots {
		e.broken = fmt.Sprintf("order %d loads %s beyond the slots: %v", order.Sequence, order.Adapter, e.held)
	}
	return pomelospring.OrderAccepted
}

func (e *engine) report() pomelospring.EngineReport {
	held := make([]string, 0, len(e.held))
	for adapter := range e.held {
		held = append(held, adapter)
	}
	return report(e.sequence, held...)
}

// shop is a book with model workers that leave orders unanswered and carry
// them out late.
type shop struct {
	book    *loading.PlacementTable
	engines map[string]*engine
	random  *rand.Rand
	loads   int
}

func newShop(seed uint64) *shop {
	s := &shop{
		book:    loading.NewPlacementTable(),
		engines: map[string]*engine{},
		random:  rand.New(rand.NewPCG(seed, 3)),
	}
	servers := make([]pomelospring.FleetServer, 0, 3)
	for _, id := range []string{"a", "b", "c"} {
		s.engines[id] = &engine{
			held: map[string]bool{},
			runs: map[string]int{},
		}
		servers = append(servers, server(id))
	}
	s.book.SetServers(servers, limits(), 1)
	return s
}

// report lets most reports that are due come.
func (s *shop) report(now time.Time) {
	for _, due := range s.book.DueReports(now) {
		if s.random.Float64() < 0.8 {
			s.book.ApplyReport(due.ID, s.engines[due.ID].report(), now)
		}
	}
}

// carryOut does the late orders that are due.
func (s *shop) carryOut(now time.Time) {
	for _, e := range s.engines {
		var later []lateOrder
		for _, late := range e.late {
			if now.Before(late.at) {
				later = append(later, late)
				continue
			}
			e.do(late.order)
		}
		e.late = later
	}
}

// send gives an order, whose answer or execution may be lost for a while.
func (s *shop) send(id string, order pomelospring.Order, now time.Time) pomelospring.OrderResult {
	e := s.engines[id]
	switch draw := s.random.Float64(); {
	case draw < 0.15:
		e.late = append(e.late, lateOrder{
			order: order,
			at:    now.Add(2*time.Second + time.Duration(s.random.Int64N(int64(10*time.Second)))),
		})
		return pomelospring.OrderUnknown
	case draw < 0.2:
		e.do(order)
		return pomelospring.OrderUnknown
	}
	return e.do(order)
}

// load carries out a plan as a leader does.
func (s *shop) load(t *testing.T, plan loading.Plan, now time.Time) {
	id := plan.Server.ID
	sequence, ok := s.book.BeginOrder(id)
	if !ok {
		t.Fatal("a plan for a worker that takes no order")
	}
	defer s.book.EndOrder(id)
	if plan.Evict != "" {
		result := s.send(id, pomelospring.Order{Kind: pomelospring.UnloadAdapter, Adapter: plan.Evict, Sequence: sequence}, now)
		if !s.book.ApplyUnload(id, plan.Evict, result, now) {
			return
		}
		sequence++
	}
	result := s.send(id, pomelospring.Order{Kind: pomelospring.LoadAdapter, Adapter: plan.Adapter, Sequence: sequence}, now)
	if _, ok := s.book.ApplyLoad(id, plan.Adapter, plan.Version, result, now); ok {
		s.loads++
	}
}

func TestNoWorkerIsOrderedBeyondItsSlots(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		s := newShop(seed)
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
			s.report(now)
			s.carryOut(now)
			plan := s.book.Plan(wish(fmt.Sprintf("m/%d", s.random.IntN(12))), now)
			if plan.Kind == loading.PlanLoad {
				s.load(t, plan, now)
			}
		}
		for id, e := range s.engines {
			if e.broken != "" {
				t.Fatalf("seed %d, worker %s: %s", seed, id, e.broken)
			}
		}
		if s.loads < 10 {
			t.Fatalf("seed %d: %d loads only", seed, s.loads)
		}
	}
}
