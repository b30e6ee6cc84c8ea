package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/placement"
	"github.com/pomelospring/pomelospring/queue"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func name(adapter string) pomelospring.AdapterVersion {
	return pomelospring.AdapterVersion{
		Adapter: adapter,
		Version: "v1",
	}
}

// harness drives a scheduler and records its actions.
type harness struct {
	*ownership.Scheduler
	work     map[string]*pomelospring.Work
	recorded []string
}

// newHarness returns a scheduler that owns server m1 with two adapter slots and may
// use it from a time in seconds.
func newHarness(useAfter float64) *harness {
	s := &harness{
		Scheduler: ownership.NewScheduler(queue.NewFair(), placement.StallSaving{}),
		work:      map[string]*pomelospring.Work{},
	}
	s.AddServer(server("m1"), 1, at(useAfter))
	return s
}

func server(name string) pomelospring.BackendServer {
	return pomelospring.BackendServer{
		Name:    name,
		Kind:    pomelospring.ModelWorker,
		Base:    "base",
		Slots:   2,
		Running: 4,
	}
}

// report applies a load report with the resident adapters, and with one request
// running for each mention in busy.
func (s *harness) report(seconds float64, resident []string, busy ...string) {
	report := pomelospring.LoadReport{
		Busy: map[string]int{},
	}
	for _, adapter := range resident {
		report.Resident = append(report.Resident, name(adapter).String())
	}
	for _, adapter := range busy {
		report.Busy[name(adapter).String()]++
	}
	s.ApplyReport("m1", report, at(seconds))
}

// submit queues a request for an adapter and runs the scheduler.
func (s *harness) submit(id, adapter string, seconds float64) {
	s.work[id] = &pomelospring.Work{
		ID:       id,
		Team:     "red",
		Adapter:  name(adapter),
		Base:     "base",
		Cost:     100,
		Arrived:  at(seconds),
		Deadline: at(seconds + 10),
	}
	s.Submit(s.work[id], at(seconds))
	s.next(seconds)
}

// next runs the scheduler with an unlimited load budget.
func (s *harness) next(seconds float64) {
	actions := s.NextActions(at(seconds), func() bool { return true })
	for _, dispatch := range actions.Dispatches {
		s.record("%s to %s", dispatch.Work.ID, dispatch.Server.Name)
	}
	for _, load := range actions.Loads {
		evict := ""
		if load.Placement.Evict.Adapter != "" {
			evict = " for " + load.Placement.Evict.Adapter
		}
		s.record("load %s on %s%s", load.Placement.Adapter.Adapter, load.Placement.Server, evict)
	}
	for _, work := range actions.Expired {
		s.record("%s expired", work.ID)
	}
}

func (s *harness) record(format string, args ...any) {
	s.recorded = append(s.recorded, fmt.Sprintf(format, args...))
}

func (s *harness) finishLoad(adapter string, seconds float64) {
	s.ApplyLoad("m1", name(adapter), false, at(seconds))
	s.next(seconds)
}

func (s *harness) finishRequest(id string, seconds float64) {
	s.FinishRequest(s.work[id], "m1", 50, at(seconds))
	s.next(seconds)
}

func TestScheduler(t *testing.T) {
	scenarios := []struct {
		name     string
		useAfter float64
		run      func(s *harness)
		want     []string
	}{
		{
			name: "a request for a resident adapter is dispatched at once",
			run: func(s *harness) {
				s.report(1, []string{"x"})
				s.submit("r1", "x", 2)
			},
			want: []string{"r1 to m1"},
		},
		{
			name: "nothing is ordered before the first load report",
			run: func(s *harness) {
				s.submit("r1", "x", 1)
				s.report(2, nil)
				s.next(2)
			},
			want: []string{"load x on m1"},
		},
		{
			name: "one load serves all requests that wait for it",
			run: func(s *harness) {
				s.report(1, nil)
				s.submit("r1", "x", 2)
				s.submit("r2", "x", 2.1)
				s.finishLoad("x", 2.3)
			},
			want: []string{"load x on m1", "r1 to m1", "r2 to m1"},
		},
		{
			name: "an adapter with a request in flight is never evicted",
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.submit("r1", "x", 2)
				s.submit("r2", "y", 2)
				s.submit("r3", "z", 3)
				s.finishRequest("r2", 4)
			},
			want: []string{"r1 to m1", "r2 to m1", "load z on m1 for y"},
		},
		{
			name:     "a new owner sends nothing before the lease of the former owner expired",
			useAfter: 10,
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.submit("r1", "x", 2)
				s.submit("r2", "z", 2)
				s.report(9.9, []string{"x", "y"})
				s.next(9.95)
				s.record("over")
				s.next(10)
			},
			want: []string{"over", "r1 to m1"},
		},
		{
			name:     "a new owner evicts nothing before a report from after the former lease",
			useAfter: 10,
			run: func(s *harness) {
				s.report(9, []string{"x", "y"})
				s.submit("r1", "z", 9)
				s.next(11)
				s.record("reported")
				s.report(11, []string{"x", "y"}, "x")
				s.next(11)
			},
			want: []string{"reported", "load z on m1 for y"},
		},
		{
			name:     "after a handover all adapters but those with requests in flight may be evicted",
			useAfter: 100,
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.ApplyHandover("m1", 1, map[pomelospring.AdapterVersion]int{name("x"): 1}, at(2))
				s.submit("r1", "z", 3)
			},
			want: []string{"load z on m1 for y"},
		},
		{
			name:     "a handover with an older fence is ignored",
			useAfter: 100,
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.ApplyHandover("m1", 0, nil, at(2))
				s.submit("r1", "z", 3)
			},
			want: nil,
		},
		{
			name: "an abandoned request prevents the eviction of its adapter until a later report",
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.submit("r1", "x", 2)
				s.submit("r2", "y", 2)
				s.AbandonRequest(s.work["r1"], "m1", 10, at(3), 200*time.Millisecond)
				s.submit("r3", "z", 3.1)
				s.report(3.1, []string{"x", "y"}, "y")
				s.next(3.2)
				s.record("reported")
				s.report(3.5, []string{"x", "y"}, "y")
				s.next(3.5)
			},
			want: []string{"r1 to m1", "r2 to m1", "reported", "load z on m1 for x"},
		},
		{
			name: "a report from before an eviction does not add the adapter again",
			run: func(s *harness) {
				s.report(1, []string{"x", "y"})
				s.submit("r1", "y", 1.5)
				s.submit("r2", "z", 2)
				s.report(1.9, []string{"x", "y"})
				s.submit("r3", "x", 2.1)
			},
			want: []string{"r1 to m1", "load z on m1 for x"},
		},
		{
			name: "a server that restarted without adapters gets its adapter loaded again",
			run: func(s *harness) {
				s.report(1, []string{"x"})
				s.report(2, nil)
				s.submit("r1", "x", 3)
			},
			want: []string{"load x on m1"},
		},
		{
			name: "a failed load is retried after the backoff",
			run: func(s *harness) {
				s.report(1, nil)
				s.submit("r1", "x", 2)
				s.ApplyLoad("m1", name("x"), true, at(2.3))
				s.next(2.3)
				s.next(6)
				s.record("later")
				s.next(7.4)
			},
			want: []string{"load x on m1", "later", "load x on m1"},
		},
		{
			name: "a frozen owner serves resident adapters and sends no orders",
			run: func(s *harness) {
				s.report(1, []string{"x"})
				s.SetFrozen(true)
				s.submit("r1", "x", 2)
				s.submit("r2", "y", 2)
				s.record("thawed")
				s.SetFrozen(false)
				s.next(3)
			},
			want: []string{"r1 to m1", "thawed", "load y on m1"},
		},
		{
			name: "a draining server gets no new requests",
			run: func(s *harness) {
				s.report(1, []string{"x"})
				draining := server("m1")
				draining.Draining = true
				s.AddServer(draining, 1, at(0))
				s.submit("r1", "x", 2)
			},
			want: nil,
		},
		{
			name: "a request that is not dispatched by its deadline expires",
			run: func(s *harness) {
				s.report(1, nil)
				s.submit("r1", "x", 2)
				s.next(12.1)
			},
			want: []string{"load x on m1", "r1 expired"},
		},
		{
			name: "no server runs more requests than its limit",
			run: func(s *harness) {
				s.report(1, []string{"x"})
				for n := range 6 {
					s.submit(fmt.Sprint("r", n), "x", 2+float64(n)/10)
				}
				s.finishRequest("r1", 4)
			},
			want: []string{"r0 to m1", "r1 to m1", "r2 to m1", "r3 to m1", "r4 to m1"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newHarness(scenario.useAfter)
			scenario.run(s)
			if diff := cmp.Diff(scenario.want, s.recorded); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestFairQueue(t *testing.T) {
	work := func(id, team string, priority int, cost, arrived float64) *pomelospring.Work {
		return &pomelospring.Work{
			ID:       id,
			Team:     team,
			Weight:   100,
			Adapter:  name("x"),
			Priority: priority,
			Cost:     cost,
			Arrived:  at(arrived),
		}
	}
	scenarios := []struct {
		name string
		work []*pomelospring.Work
		want []string
	}{
		{
			name: "teams share by tokens, regardless of the number of requests",
			work: []*pomelospring.Work{work("a1", "a", 0, 100, 1), work("a2", "a", 0, 100, 2), work("a3", "a", 0, 100, 3), work("b1", "b", 0, 100, 4)},
			want: []string{"a1", "b1", "a2", "a3"},
		},
		{
			name: "a team with small requests gets more of them dispatched",
			work: []*pomelospring.Work{work("a1", "a", 0, 300, 1), work("a2", "a", 0, 300, 2), work("b1", "b", 0, 100, 3), work("b2", "b", 0, 100, 4)},
			want: []string{"a1", "b1", "b2", "a2"},
		},
		{
			name: "within a team the priority counts before the age",
			work: []*pomelospring.Work{work("a1", "a", 0, 100, 1), work("a2", "a", 5, 100, 2)},
			want: []string{"a2", "a1"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			q := queue.NewFair()
			for _, w := range scenario.work {
				q.Push(w)
			}
			var got []string
			for w := q.Pop("m1", []pomelospring.AdapterVersion{name("x")}); w != nil; w = q.Pop("m1", []pomelospring.AdapterVersion{name("x")}) {
				got = append(got, w.ID)
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestExhaustedLoadBudgetRefusesAndRecovers checks that requests that need a load
// are refused once the load budget was exhausted for long, and admitted again when
// loads succeed or nothing waits for one.
func TestExhaustedLoadBudgetRefusesAndRecovers(t *testing.T) {
	s := newHarness(0)
	s.LoadWait = 5 * time.Second
	s.report(1, nil)
	work := func(adapter string, seconds float64) *pomelospring.Work {
		return &pomelospring.Work{
			ID:       adapter,
			Team:     "red",
			Adapter:  name(adapter),
			Base:     "base",
			Arrived:  at(seconds),
			Deadline: at(seconds + 20),
		}
	}
	noLoad := func() bool { return false }
	exceeds := func(adapter string, seconds float64) bool {
		_, refused := s.ExceedsLoadWait(work(adapter, seconds), at(seconds))
		return refused
	}
	got := make([]bool, 0, 6)
	got = append(got, exceeds("x", 2)) // no load has waited yet
	s.Submit(work("x", 2), at(2))
	s.NextActions(at(2), noLoad)
	got = append(got, exceeds("y", 3))  // the budget has been exhausted for 1 s
	got = append(got, exceeds("y", 12)) // the budget has been exhausted for 10 s
	got = append(got, exceeds("x", 12)) // x already waits for a load and needs no other
	s.next(13)
	s.ApplyLoad("m1", name("x"), false, at(13))
	s.next(13)
	got = append(got, exceeds("y", 14)) // no other load waits
	s.Submit(work("z", 14), at(14))
	s.NextActions(at(14), noLoad)
	s.Cancel("z")
	s.NextActions(at(15), noLoad)
	got = append(got, exceeds("y", 60)) // the request that waited for a load was canceled
	if diff := cmp.Diff([]bool{false, false, true, false, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRemoveServerReturnsRequestsInFlight(t *testing.T) {
	s := newHarness(0)
	s.report(1, []string{"x", "y"})
	s.submit("r1", "x", 2)
	if diff := cmp.Diff(map[pomelospring.AdapterVersion]int{name("x"): 1}, s.RemoveServer("m1")); diff != "" {
		t.Error(diff)
	}
	if slices.Contains(s.OwnedServers(), "m1") {
		t.Error("m1 is still owned after RemoveServer")
	}
}
