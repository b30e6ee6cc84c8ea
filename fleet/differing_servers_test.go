package fleet_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	playedInstances = 6
	playedServers   = 12
	playedTime      = 30 * time.Second
	playedExchange  = 200 * time.Millisecond
	// playedRate is what a usual server prefills, in tokens per second, and playedLoad the
	// part of what all servers could, if usual, that callers ask for.
	playedRate   = 38400.0
	playedLoad   = 0.65
	playedPrompt = 4800
	playedOutput = 400 * time.Millisecond
	// playedSeeds is the number of plays of each scenario.
	playedSeeds = uint64(4)
)

// playedServer is a model worker that prefills one prompt after the other.
type playedServer struct {
	freeAt time.Duration
	busy   time.Duration
}

// play is instances that send calls to servers whose pace changes, in virtual time. One
// leader sums up their loads and observations.
type play struct {
	// pace is how long work takes on a server, and says that servers say so.
	pace func(server int, at time.Duration) float64
	says bool
	// fails says that a server fails calls at once.
	fails func(server int) bool
	// blind keeps the choice from knowing paces.
	blind bool
	load  float64
	seed  uint64
	// changed replaces the list of servers at a time, if it is set.
	restart time.Duration

	boards  []*fleet.Board
	leader  *fleet.Board
	totals  *fleet.LoadTotals
	servers [playedServers]playedServer
	agenda  []appointment
	started time.Time
	outcome playedOutcome
}

// appointment is what happens at a time.
type appointment struct {
	at time.Duration
	do func()
}

// playedOutcome is what callers and servers saw.
type playedOutcome struct {
	firsts []time.Duration
	// errors are the differences of the waits that were told and those that followed.
	errors []time.Duration
	failed int
	busy   []time.Duration
	chosen [playedServers]int
}

func (o *playedOutcome) quantile(part float64) time.Duration {
	slices.Sort(o.firsts)
	return o.firsts[int(part*float64(len(o.firsts)-1))]
}

// add takes in another outcome.
func (o *playedOutcome) add(other *playedOutcome) {
	o.firsts = append(o.firsts, other.firsts...)
	o.busy = append(o.busy, other.busy...)
}

// deviation is how much longer callers waited than told, relative to their wait, in the
// second half of the play.
func (o *playedOutcome) deviation() float64 {
	late := slices.Sorted(slices.Values(o.errors[len(o.errors)/2:]))
	return late[len(late)/2].Seconds() / o.quantile(0.5).Seconds()
}

// busiest is how much of the time the busiest server worked.
func (o *playedOutcome) busiest() float64 {
	return slices.Max(o.busy).Seconds() / playedTime.Seconds()
}

func (p *play) run() *playedOutcome {
	p.started = start
	p.leader, p.totals = p.newBoard(), fleet.NewLoadTotals()
	for range playedInstances {
		p.boards = append(p.boards, p.newBoard())
	}
	random := rand.New(rand.NewPCG(p.seed, 0))
	interval := playedPrompt / (playedRate * playedServers * cmp.Or(p.load, playedLoad))
	for at := 0.0; at < playedTime.Seconds(); at += random.ExpFloat64() * interval {
		board, tokens := p.boards[random.IntN(playedInstances)], int64(playedPrompt*(0.5+random.Float64()))
		p.schedule(time.Duration(at*float64(time.Second)), func() { p.call(board, time.Duration(at*float64(time.Second)), tokens) })
	}
	for at := time.Duration(0); at < playedTime; at += playedExchange {
		for i, board := range p.boards {
			p.schedule(at+time.Duration(i)*playedExchange/playedInstances, func() { p.exchange(fmt.Sprint(i), board, at) })
		}
	}
	if p.restart > 0 {
		p.schedule(p.restart, func() {
			p.started = start.Add(p.restart)
			for _, board := range append([]*fleet.Board{p.leader}, p.boards...) {
				board.SetServers(p.list(), p.started)
			}
		})
	}
	for len(p.agenda) > 0 {
		next := p.agenda[len(p.agenda)-1]
		p.agenda = p.agenda[:len(p.agenda)-1]
		next.do()
	}
	for i := range p.servers {
		p.outcome.busy = append(p.outcome.busy, p.servers[i].busy)
	}
	return &p.outcome
}

// schedule keeps the agenda in the order of time, the next appointment last.
func (p *play) schedule(at time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(p.agenda, at, func(a appointment, at time.Duration) int { return cmp.Compare(at, a.at) })
	p.agenda = slices.Insert(p.agenda, i, appointment{at: at, do: do})
}

func (p *play) newBoard() *fleet.Board {
	board := fleet.NewBoard("north")
	board.SetServers(p.list(), start)
	return board
}

func (p *play) list() map[string]pomelospring.FleetServer {
	servers := map[string]pomelospring.FleetServer{}
	for i := range playedServers {
		id := fmt.Sprint(i)
		servers[id] = pomelospring.FleetServer{ID: id, Service: "llm", Domain: "north", Slots: 64, Models: []string{"m"}, Started: p.started}
	}
	return servers
}

// exchange tells the leader of an instance's loads and observations, and the instance those
// of all.
func (p *play) exchange(name string, board *fleet.Board, at time.Duration) {
	now := start.Add(at)
	p.totals.Report(name, board.ServerLoads("north"), now.Add(time.Second))
	board.UpdateFromLeader("north", p.totals.Others(name), now.Add(time.Hour))
	p.leader.MergePaces(board.TakePaceReports("north"), now)
	p.leader.Paces("north", now)
	changed, version := p.leader.PaceChanges("north", board.LeaderPaceVersion("north", now))
	board.SetLeaderPaces("north", changed, board.LeaderPaceVersion("north", now) == 0, version, now)
}

func (p *play) call(board *fleet.Board, at time.Duration, tokens int64) {
	now := start.Add(at)
	candidates := board.Candidates("llm", &pomelospring.Call{Adapter: "m", PromptTokens: tokens}, nil, now)
	slices.SortFunc(candidates, func(x, y dispatch.Candidate) int { return cmp.Compare(x.Server.ID, y.Server.ID) })
	if p.blind {
		for i := range candidates {
			candidates[i].Pace = 0
		}
	}
	choice := dispatch.Choose(candidates, dispatch.Requirements{
		Domain:       "north",
		PromptTokens: tokens,
		Model:        true,
		Speeds:       board.Speeds("llm"),
	})
	id := choice.Candidate.Server.ID
	var i int
	_, _ = fmt.Sscan(id, &i)
	p.outcome.chosen[i]++
	queued := choice.Candidate.WaitingTokens > 0
	board.BeginCall(id, "", tokens)
	if p.fails != nil && p.fails(i) {
		p.schedule(at+time.Millisecond, func() {
			p.outcome.failed++
			board.EndCall(id, "", tokens, true, now.Add(time.Millisecond))
		})
		return
	}
	s := &p.servers[i]
	began := max(s.freeAt, at)
	took := time.Duration(float64(tokens) / playedRate * p.pace(i, began) * float64(time.Second))
	s.freeAt = began + took
	s.busy += took
	p.schedule(s.freeAt, func() {
		answeredAt := start.Add(began + took)
		if p.says {
			board.RecordLoadReport(id, pomelospring.ServerLoadReport{Slots: 64, TimeFactor: p.pace(i, began+took)}, answeredAt)
		}
		if !queued {
			board.RecordAnswerTime(id, tokens, answeredAt.Sub(now), answeredAt)
		}
		board.RecordFirstOutput(id, "", tokens, nil, answeredAt)
		p.outcome.firsts = append(p.outcome.firsts, answeredAt.Sub(now))
		p.outcome.errors = append(p.outcome.errors, answeredAt.Sub(now)-choice.Wait)
		p.schedule(began+took+playedOutput, func() { board.EndCall(id, "", 0, false, answeredAt.Add(playedOutput)) })
	})
}

// byPlace are servers at 0.5, 1 and 1.3 of the usual time.
func byPlace(server int, _ time.Duration) float64 { return []float64{0.5, 1, 1.3}[server%3] }

// noisy returns the paces with 15% of the servers, others each time, at 2.5 times theirs for
// 0.6 s.
func noisy(pace func(int, time.Duration) float64) func(int, time.Duration) float64 {
	return func(server int, at time.Duration) float64 {
		period := uint64(at / (600 * time.Millisecond))
		if rand.New(rand.NewPCG(period, uint64(server))).Float64() < 0.15 {
			return 2.5 * pace(server, at)
		}
		return pace(server, at)
	}
}

func usual(int, time.Duration) float64 { return 1 }

// TestDifferingServers plays servers that differ, and compares with a choice that doesn't
// know.
func TestDifferingServers(t *testing.T) {
	slowing := func(server int, at time.Duration) float64 {
		if server == 0 {
			return slowFrom(8 * time.Second)(at)
		}
		return 1
	}
	// same is how much worse than the choice that doesn't know counts as the same.
	const same = 1.05
	// full is how much of the time a server works that gets about as much as it takes, which
	// none is to get while all together could take half as much again.
	const full = 0.95
	scenarios := []struct {
		name string
		play play
		// p99 bounds the time to the first event relative to the choice that doesn't know.
		p99 float64
	}{
		{name: "by place", play: play{pace: byPlace, says: true}, p99: 0.9},
		{name: "by place, in answers' times", play: play{pace: byPlace}, p99: same},
		{name: "by place, with noise", play: play{pace: noisy(byPlace), says: true}, p99: 0.9},
		{name: "one four times slower and back", play: play{pace: slowing, says: true}, p99: 1},
		{name: "one four times slower and back, in answers' times", play: play{pace: slowing}, p99: same},
		{name: "noise alone", play: play{pace: noisy(usual), says: true}, p99: same},
		{name: "all alike", play: play{pace: usual, says: true}, p99: 1},
		{name: "all alike, in answers' times", play: play{pace: usual}, p99: same},
		{name: "restarts", play: play{pace: byPlace, says: true, restart: 15 * time.Second}, p99: 0.9},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			before, after := &playedOutcome{}, &playedOutcome{}
			for seed := range playedSeeds {
				seen, blind := scenario.play, scenario.play
				seen.seed, blind.seed, blind.blind = seed, seed, true
				before.add(blind.run())
				after.add(seen.run())
			}
			for name, bound := range map[string][3]float64{
				"p50": {before.quantile(0.5).Seconds(), after.quantile(0.5).Seconds(), same},
				"p99": {before.quantile(0.99).Seconds(), after.quantile(0.99).Seconds(), scenario.p99},
			} {
				t.Logf("%s: %.3f, and %.3f without paces", name, bound[1], bound[0])
				if bound[1] > bound[0]*bound[2] {
					t.Errorf("%s is %.3f, and %.3f without paces", name, bound[1], bound[0])
				}
			}
			t.Logf("the busiest: %.3f, and %.3f without paces", after.busiest(), before.busiest())
			if after.busiest() > full {
				t.Errorf("a server works for %.3f of the time", after.busiest())
			}
		})
	}
}

// TestAllSlowServersAreUsed plays servers that are all slow: each is still used, and the
// wait that is told is as true as where all are usual.
func TestAllSlowServersAreUsed(t *testing.T) {
	const tolerance = 0.1
	for _, says := range []bool{false, true} {
		t.Run(fmt.Sprintf("says %t", says), func(t *testing.T) {
			p := play{pace: usual, says: says, load: 0.2}
			asUsual := p.run().deviation()
			p.pace, p.boards = func(int, time.Duration) float64 { return 3 }, nil
			p.outcome, p.servers = playedOutcome{}, [playedServers]playedServer{}
			outcome := p.run()
			if fewest := slices.Min(outcome.chosen[:]); fewest*playedServers*2 < len(outcome.firsts) {
				t.Errorf("a server got %d of %d calls: %v", fewest, len(outcome.firsts), outcome.chosen)
			}
			if deviation := outcome.deviation(); math.Abs(deviation) > math.Abs(asUsual)+tolerance {
				t.Errorf("callers wait %.2f longer than told, relative to their wait, and %.2f where all are usual", deviation, asUsual)
			}
		})
	}
}

// TestFailingServerIsNotFast plays a server that fails its calls at once.
func TestFailingServerIsNotFast(t *testing.T) {
	for _, says := range []bool{false, true} {
		t.Run(fmt.Sprintf("says %t", says), func(t *testing.T) {
			p := play{pace: usual, says: says, fails: func(server int) bool { return server == 0 }}
			blind := p
			blind.blind = true
			before, after := blind.run(), p.run()
			if after.failed > before.failed+before.failed/10 {
				t.Errorf("%d calls fail, and %d without paces", after.failed, before.failed)
			}
		})
	}
}

// TestLostLeaderLeavesOwnPaces guards against paces of a leader that is gone, and against
// such of earlier starts of a server.
func TestLostLeaderLeavesOwnPaces(t *testing.T) {
	server := pomelospring.FleetServer{ID: "s", Service: "llm", Domain: "north", Models: []string{"m"}, Started: start}
	scenarios := []struct {
		name    string
		after   time.Duration
		version int64
		restart bool
		want    float64
	}{
		{name: "the leader answers", after: time.Second, version: 5, want: 2},
		{name: "the leader is gone", after: 6 * time.Second, version: 5, want: 0.5},
		{name: "the leader tells no paces", after: time.Second, want: 0.5},
		{name: "the server started anew", after: time.Second, version: 5, restart: true, want: 1},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			board.SetServers(map[string]pomelospring.FleetServer{"s": server}, start)
			board.SetLeaderPaces("north", map[string]float64{"s": 2}, true, scenario.version, start)
			now := start.Add(scenario.after)
			for range 4 {
				board.RecordLoadReport("s", pomelospring.ServerLoadReport{Slots: 8, TimeFactor: 0.5}, now)
			}
			if scenario.restart {
				again := server
				again.Started = now
				board.SetServers(map[string]pomelospring.FleetServer{"s": again}, now)
			}
			candidates := board.Candidates("llm", &pomelospring.Call{Adapter: "m"}, nil, now)
			if len(candidates) != 1 || candidates[0].Pace != scenario.want {
				t.Errorf("candidates %+v, want one at pace %.1f", candidates, scenario.want)
			}
		})
	}
}

// TestPacesReachInstancesThatSeeNothing guards against paces that are told twice, or never.
func TestPacesReachInstancesThatSeeNothing(t *testing.T) {
	p := play{}
	p.started = start
	leader, seeing := p.newBoard(), p.newBoard()
	for range 4 {
		seeing.RecordLoadReport("3", pomelospring.ServerLoadReport{Slots: 8, TimeFactor: 2}, start)
	}
	leader.MergePaces(seeing.TakePaceReports("north"), start)
	if again := seeing.TakePaceReports("north"); len(again) > 0 {
		t.Errorf("reported twice: %v", again)
	}
	leader.Paces("north", start)
	changed, version := leader.PaceChanges("north", 0)
	if !maps.Equal(changed, map[string]float64{"3": 2}) {
		t.Errorf("the leader tells %v", changed)
	}
	leader.Paces("north", start)
	if changed, _ = leader.PaceChanges("north", version); len(changed) > 0 {
		t.Errorf("the leader tells %v once more", changed)
	}
}

// TestRestartEndsTheLeadersPace guards against the pace of an earlier start that stays at an
// instance which saw the restart before the leader did.
func TestRestartEndsTheLeadersPace(t *testing.T) {
	p := play{}
	p.started = start
	leader, member := p.newBoard(), p.newBoard()
	now, restarted := start.Add(time.Second), start.Add(time.Second)
	exchange := func() {
		leader.Paces("north", now)
		known := member.LeaderPaceVersion("north", now)
		changed, version := leader.PaceChanges("north", known)
		member.SetLeaderPaces("north", changed, known == 0, version, now)
	}
	exchange()
	for range 4 {
		leader.RecordLoadReport("3", pomelospring.ServerLoadReport{Slots: 8, TimeFactor: 4}, now)
	}
	p.started = restarted
	member.SetServers(p.list(), now)
	exchange()
	leader.SetServers(p.list(), now)
	for range 5 {
		now = now.Add(time.Second)
		exchange()
	}
	for _, candidate := range member.Candidates("llm", &pomelospring.Call{Adapter: "m"}, nil, now) {
		if candidate.Pace != 1 {
			t.Errorf("server %s has the pace %.1f of its earlier start", candidate.Server.ID, candidate.Pace)
		}
	}
}
