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

// script drives one scheduler and notes what it wants done.
type script struct {
	*ownership.Scheduler
	work map[string]*pomelospring.Work
	done []string
}

// newScript owns server m1 with two slots, since second 0.
func newScript(useAfter float64) *script {
	s := &script{
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

// report says what is resident, and busy with one request each.
func (s *script) report(seconds float64, resident []string, busy ...string) {
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

// ask submits a request for an adapter and advances.
func (s *script) ask(id, adapter string, seconds float64) {
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

func (s *script) next(seconds float64) {
	actions := s.NextActions(at(seconds), func() bool { return true })
	for _, dispatch := range actions.Dispatches {
		s.note("%s to %s", dispatch.Work.ID, dispatch.Server.Name)
	}
	for _, load := range actions.Loads {
		evict := ""
		if load.Placement.Evict.Adapter != "" {
			evict = " for " + load.Placement.Evict.Adapter
		}
		s.note("load %s on %s%s", load.Placement.Adapter.Adapter, load.Placement.Server, evict)
	}
	for _, work := range actions.Expired {
		s.note("%s expired", work.ID)
	}
}

func (s *script) note(format string, args ...any) {
	s.done = append(s.done, fmt.Sprintf(format, args...))
}

func (s *script) loaded(adapter string, seconds float64) {
	s.ApplyLoad("m1", name(adapter), false, at(seconds))
	s.next(seconds)
}

func (s *script) finished(id string, seconds float64) {
	s.FinishRequest(s.work[id], "m1", 50, at(seconds))
	s.next(seconds)
}

func TestScheduler(t *testing.T) {
	scenarios := []struct {
		name     string
		useAfter float64
		run      func(s *script)
		want     []string
	}{
		{
			name: "a resident adapter is served at once",
			run: func(s *script) {
				s.report(1, []string{"x"})
				s.ask("r1", "x", 2)
			},
			want: []string{"r1 to m1"},
		},
		{
			name: "nothing is ordered before the server said what it has",
			run: func(s *script) {
				s.ask("r1", "x", 1)
				s.report(2, nil)
				s.next(2)
			},
			want: []string{"load x on m1"},
		},
		{
			name: "one load serves all that wait for it",
			run: func(s *script) {
				s.report(1, nil)
				s.ask("r1", "x", 2)
				s.ask("r2", "x", 2.1)
				s.loaded("x", 2.3)
			},
			want: []string{"load x on m1", "r1 to m1", "r2 to m1"},
		},
		{
			name: "an adapter that serves a request is never evicted",
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ask("r1", "x", 2)
				s.ask("r2", "y", 2)
				s.ask("r3", "z", 3)
				s.finished("r2", 4)
			},
			want: []string{"r1 to m1", "r2 to m1", "load z on m1 for y"},
		},
		{
			name:     "a new owner sends nothing before the former one's lease is over",
			useAfter: 10,
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ask("r1", "x", 2)
				s.ask("r2", "z", 2)
				s.report(9.9, []string{"x", "y"})
				s.next(9.95)
				s.note("over")
				s.next(10)
			},
			want: []string{"over", "r1 to m1"},
		},
		{
			name:     "nor evicts anything before a report from after that time",
			useAfter: 10,
			run: func(s *script) {
				s.report(9, []string{"x", "y"})
				s.ask("r1", "z", 9)
				s.next(11)
				s.note("reported")
				s.report(11, []string{"x", "y"}, "x")
				s.next(11)
			},
			want: []string{"reported", "load z on m1 for y"},
		},
		{
			name:     "what the former owner hands over may be evicted but for what runs",
			useAfter: 100,
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ApplyHandover("m1", 1, map[pomelospring.AdapterVersion]int{name("x"): 1}, at(2))
				s.ask("r1", "z", 3)
			},
			want: []string{"load z on m1 for y"},
		},
		{
			name:     "an old handover counts for nothing",
			useAfter: 100,
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ApplyHandover("m1", 0, nil, at(2))
				s.ask("r1", "z", 3)
			},
			want: nil,
		},
		{
			name: "a request that was given up keeps its adapter until a later report",
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ask("r1", "x", 2)
				s.ask("r2", "y", 2)
				s.AbandonRequest(s.work["r1"], "m1", 10, at(3), 200*time.Millisecond)
				s.ask("r3", "z", 3.1)
				s.report(3.1, []string{"x", "y"}, "y")
				s.next(3.2)
				s.note("reported")
				s.report(3.5, []string{"x", "y"}, "y")
				s.next(3.5)
			},
			want: []string{"r1 to m1", "r2 to m1", "reported", "load z on m1 for x"},
		},
		{
			name: "a report from before an eviction does not bring the adapter back",
			run: func(s *script) {
				s.report(1, []string{"x", "y"})
				s.ask("r1", "y", 1.5)
				s.ask("r2", "z", 2)
				s.report(1.9, []string{"x", "y"})
				s.ask("r3", "x", 2.1)
			},
			want: []string{"r1 to m1", "load z on m1 for x"},
		},
		{
			name: "a server that restarted empty gets its adapter loaded again",
			run: func(s *script) {
				s.report(1, []string{"x"})
				s.report(2, nil)
				s.ask("r1", "x", 3)
			},
			want: []string{"load x on m1"},
		},
		{
			name: "a failed load is not tried again at once",
			run: func(s *script) {
				s.report(1, nil)
				s.ask("r1", "x", 2)
				s.ApplyLoad("m1", name("x"), true, at(2.3))
				s.next(2.3)
				s.next(6)
				s.note("later")
				s.next(7.4)
			},
			want: []string{"load x on m1", "later", "load x on m1"},
		},
		{
			name: "a frozen owner serves what is resident and orders nothing",
			run: func(s *script) {
				s.report(1, []string{"x"})
				s.SetFrozen(true)
				s.ask("r1", "x", 2)
				s.ask("r2", "y", 2)
				s.note("thawed")
				s.SetFrozen(false)
				s.next(3)
			},
			want: []string{"r1 to m1", "thawed", "load y on m1"},
		},
		{
			name: "a draining server gets no new work",
			run: func(s *script) {
				s.report(1, []string{"x"})
				draining := server("m1")
				draining.Draining = true
				s.AddServer(draining, 1, at(0))
				s.ask("r1", "x", 2)
			},
			want: nil,
		},
		{
			name: "work that can't start in time is given up",
			run: func(s *script) {
				s.report(1, nil)
				s.ask("r1", "x", 2)
				s.next(12.1)
			},
			want: []string{"load x on m1", "r1 expired"},
		},
		{
			name: "no server runs more than it may",
			run: func(s *script) {
				s.report(1, []string{"x"})
				for n := range 6 {
					s.ask(fmt.Sprint("r", n), "x", 2+float64(n)/10)
				}
				s.finished("r1", 4)
			},
			want: []string{"r0 to m1", "r1 to m1", "r2 to m1", "r3 to m1", "r4 to m1"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newScript(scenario.useAfter)
			scenario.run(s)
			if diff := cmp.Diff(scenario.want, s.done); diff != "" {
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
			name: "teams take turns by tokens, however many requests one has sent",
			work: []*pomelospring.Work{work("a1", "a", 0, 100, 1), work("a2", "a", 0, 100, 2), work("a3", "a", 0, 100, 3), work("b1", "b", 0, 100, 4)},
			want: []string{"a1", "b1", "a2", "a3"},
		},
		{
			name: "a team with small requests gets more of them",
			work: []*pomelospring.Work{work("a1", "a", 0, 300, 1), work("a2", "a", 0, 300, 2), work("b1", "b", 0, 100, 3), work("b2", "b", 0, 100, 4)},
			want: []string{"a1", "b1", "b2", "a2"},
		},
		{
			name: "within a team priority goes before age",
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

// TestAShortLoadBudgetShedsAndHeals lets the budget of loads run dry for long.
func TestAShortLoadBudgetShedsAndHeals(t *testing.T) {
	s := newScript(0)
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
	none := func() bool { return false }
	hopeless := func(adapter string, seconds float64) bool {
		_, shed := s.ExceedsLoadWait(work(adapter, seconds), at(seconds))
		return shed
	}
	got := make([]bool, 0, 6)
	got = append(got, hopeless("x", 2)) // nothing waits yet
	s.Submit(work("x", 2), at(2))
	s.NextActions(at(2), none)
	got = append(got, hopeless("y", 3))  // the budget ran short a second ago
	got = append(got, hopeless("y", 12)) // it has been short for ten seconds
	got = append(got, hopeless("x", 12)) // one load serves all that wait for it
	s.next(13)
	s.ApplyLoad("m1", name("x"), false, at(13))
	s.next(13)
	got = append(got, hopeless("y", 14)) // nothing else waits any more
	s.Submit(work("z", 14), at(14))
	s.NextActions(at(14), none)
	s.Cancel("z")
	s.NextActions(at(15), none)
	got = append(got, hopeless("y", 60)) // what ran short is not wanted any more
	if diff := cmp.Diff([]bool{false, false, true, false, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

func TestLoseTellsWhatRuns(t *testing.T) {
	s := newScript(0)
	s.report(1, []string{"x", "y"})
	s.ask("r1", "x", 2)
	if diff := cmp.Diff(map[pomelospring.AdapterVersion]int{name("x"): 1}, s.RemoveServer("m1")); diff != "" {
		t.Error(diff)
	}
	if slices.Contains(s.OwnedServers(), "m1") {
		t.Error("the server is still owned")
	}
}
