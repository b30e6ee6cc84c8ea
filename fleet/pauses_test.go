package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// pausingBoard returns a board with the model workers a and b, which hold the model
// m, and c, which holds none.
func pausingBoard() *fleet.Board {
	board := fleet.NewBoard("north")
	board.SetServers(map[string]pomelospring.FleetServer{
		"a": {ID: "a", Service: "llm", Domain: "north", Models: []string{"m"}},
		"b": {ID: "b", Service: "llm", Domain: "north", Models: []string{"m"}},
		"c": {ID: "c", Service: "llm", Domain: "north"},
	}, start)
	return board
}

// TestPauseEndIsUntrue guards against callers that are told to come back too early, or
// that are refused while a server could take their call.
func TestPauseEndIsUntrue(t *testing.T) {
	scenarios := []struct {
		name    string
		pauses  map[string]time.Duration
		leaving string
		after   time.Duration
		// want is the end of the first pause, not counting its spread; 0 if a server
		// takes calls.
		want time.Duration
	}{
		{name: "no pause"},
		{name: "one of two pauses", pauses: map[string]time.Duration{"a": time.Second}},
		{name: "both pause", pauses: map[string]time.Duration{"a": 9 * time.Second, "b": 5 * time.Second}, want: 5 * time.Second},
		{name: "one pause is over", pauses: map[string]time.Duration{"a": 9 * time.Second, "b": time.Second}, after: 2 * time.Second},
		{name: "the other one leaves", pauses: map[string]time.Duration{"a": 9 * time.Second}, leaving: "b", want: 9 * time.Second},
		{name: "the first to come back leaves", pauses: map[string]time.Duration{"a": 9 * time.Second, "b": time.Second}, leaving: "b", want: 9 * time.Second},
		{name: "only an unlisted server pauses", pauses: map[string]time.Duration{"x": time.Second}},
		{name: "a pause that is over when it is recorded", pauses: map[string]time.Duration{"a": -time.Second, "b": time.Second}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := pausingBoard()
			for id, pause := range scenario.pauses {
				board.RecordPause(id, start.Add(pause), start)
			}
			board.RecordLeaving(fleet.LeavingServer{ID: scenario.leaving}, start)
			end, paused := board.PauseEnd("llm", &pomelospring.Call{Adapter: "m/x"}, start.Add(scenario.after))
			if diff := cmp.Diff(scenario.want > 0, paused); diff != "" {
				t.Fatal(diff)
			}
			if beyond := end.Sub(start) - scenario.want; paused && (beyond < 0 || beyond > scenario.want/10) {
				t.Errorf("the pause ends after %s", end.Sub(start))
			}
		})
	}
}

// TestPauseEndIsOutdated guards against an end of all pauses that is still given after a
// longer pause, a leaving server or a new one.
func TestPauseEndIsOutdated(t *testing.T) {
	board := pausingBoard()
	call := &pomelospring.Call{Adapter: "m"}
	end := func() time.Duration {
		end, paused := board.PauseEnd("llm", call, start)
		if !paused {
			return 0
		}
		if candidates := board.Candidates("llm", call, nil, start); len(candidates) > 0 {
			t.Errorf("%d candidates while all servers pause", len(candidates))
		}
		return end.Sub(start).Truncate(10 * time.Second)
	}
	board.RecordPause("a", start.Add(10*time.Second), start)
	board.RecordPause("b", start.Add(30*time.Second), start)
	first := end()
	board.RecordPause("a", start.Add(20*time.Second), start)
	longer := end()
	board.RecordLeaving(fleet.LeavingServer{ID: "a"}, start)
	other := end()
	board.SetServers(map[string]pomelospring.FleetServer{
		"b": {ID: "b", Service: "llm", Domain: "north", Models: []string{"m"}},
		"d": {ID: "d", Service: "llm", Domain: "north", Models: []string{"m"}},
	}, start)
	want := []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second, 0}
	if diff := cmp.Diff(want, []time.Duration{first, longer, other, end()}); diff != "" {
		t.Error(diff)
	}
}

// TestShorterPauseEndsLongerOne guards against a pause that a later rejection, of a call
// in flight, makes shorter, and against a log line for each such rejection.
func TestShorterPauseEndsLongerOne(t *testing.T) {
	board := pausingBoard()
	steps := []struct {
		at, until   time.Duration
		wantChanged bool
	}{
		{until: 10 * time.Second, wantChanged: true},
		{at: 100 * time.Millisecond, until: 3 * time.Second},
		{at: 200 * time.Millisecond, until: 10200 * time.Millisecond},
		{at: 300 * time.Millisecond, until: 20 * time.Second, wantChanged: true},
		{at: 30 * time.Second, until: 31 * time.Second, wantChanged: true},
	}
	longest := time.Duration(0)
	for _, step := range steps {
		now := start.Add(step.at)
		resumeAt, changed := board.RecordPause("a", start.Add(step.until), now)
		longest = max(longest, step.until)
		if changed != step.wantChanged || resumeAt.Before(start.Add(longest)) {
			t.Errorf("after %s: changed %t, resumes after %s, want %t, %s", step.at, changed, resumeAt.Sub(start), step.wantChanged, longest)
		}
	}
}

// TestInstancesReturnAtOnce guards against a herd of instances at the end of a pause
// that began for all of them at the same time.
func TestInstancesReturnAtOnce(t *testing.T) {
	const instances = 500
	for _, pause := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		spread := min(time.Second, pause/10)
		perTenth := map[time.Duration]int{}
		for range instances {
			resumeAt, _ := pausingBoard().RecordPause("a", start.Add(pause), start)
			late := resumeAt.Sub(start.Add(pause))
			if late < 0 || late > spread {
				t.Fatalf("an instance returns %s after a pause of %s", late, pause)
			}
			perTenth[late*10/(spread+1)]++
		}
		for tenth, count := range perTenth {
			if count > instances/5 {
				t.Errorf("%d of %d instances return in tenth %d of %s", count, instances, tenth, spread)
			}
		}
	}
}

// TestPausesPileUp guards against pauses that are kept for servers that have gone, and
// after their end.
func TestPausesPileUp(t *testing.T) {
	board := pausingBoard()
	for _, id := range []string{"a", "b", "c"} {
		board.RecordPause(id, start.Add(time.Minute), start)
	}
	if diff := cmp.Diff(3, len(board.Pauses(start))); diff != "" {
		t.Error(diff)
	}
	board.SetServers(map[string]pomelospring.FleetServer{"b": {ID: "b", Service: "llm"}}, start)
	pauses := board.Pauses(start)
	if _, kept := pauses["b"]; !kept || len(pauses) != 1 {
		t.Errorf("pauses after two servers have gone: %v", pauses)
	}
	later := start.Add(2 * time.Minute)
	if diff := cmp.Diff(0, len(board.Pauses(later))+len(board.UnusableServers("llm", later, later))); diff != "" {
		t.Error(diff)
	}
}

// TestPauseEndsWithoutItsServersEntry guards against a pause that is forgotten because its
// server is missing in the list for a moment.
func TestPauseEndsWithoutItsServersEntry(t *testing.T) {
	type step struct {
		after time.Duration
		// pause is the length of a pause that the server asks for.
		pause  time.Duration
		listed bool
	}
	scenarios := []struct {
		name  string
		steps []step
		// paused are the times at which the server is still paused, and resumed that at
		// which it no longer is.
		paused  []time.Duration
		resumed time.Duration
	}{
		{
			name:    "listed all the while",
			steps:   []step{{pause: 5 * time.Second, listed: true}, {after: time.Second, listed: true}},
			paused:  []time.Duration{4 * time.Second},
			resumed: 6 * time.Second,
		},
		{
			name:    "gone for one read",
			steps:   []step{{pause: 5 * time.Second, listed: true}, {after: time.Second}, {after: 2 * time.Second, listed: true}},
			paused:  []time.Duration{2 * time.Second, 4 * time.Second},
			resumed: 6 * time.Second,
		},
		{
			name:    "gone for two reads",
			steps:   []step{{pause: 5 * time.Second, listed: true}, {after: time.Second}, {after: 2 * time.Second}, {after: 3 * time.Second, listed: true}},
			paused:  []time.Duration{3 * time.Second, 4 * time.Second},
			resumed: 6 * time.Second,
		},
		{
			name:    "a shorter pause inside the first one",
			steps:   []step{{pause: 5 * time.Second, listed: true}, {after: time.Second, pause: time.Second, listed: true}},
			paused:  []time.Duration{3 * time.Second, 4 * time.Second},
			resumed: 6 * time.Second,
		},
		{
			name:    "a longer pause inside the first one, gone for one read",
			steps:   []step{{pause: 3 * time.Second, listed: true}, {after: time.Second, pause: 5 * time.Second, listed: true}, {after: 2 * time.Second}, {after: 3 * time.Second, listed: true}},
			paused:  []time.Duration{4 * time.Second, 5 * time.Second},
			resumed: 7 * time.Second,
		},
		{
			name:    "a second pause after the first one, gone for one read each",
			steps:   []step{{pause: time.Second, listed: true}, {after: 500 * time.Millisecond}, {after: 3 * time.Second, pause: 3 * time.Second, listed: true}, {after: 4 * time.Second}, {after: 5 * time.Second, listed: true}},
			paused:  []time.Duration{5500 * time.Millisecond},
			resumed: 7 * time.Second,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			for _, step := range scenario.steps {
				now := start.Add(step.after)
				servers := map[string]pomelospring.FleetServer{"b": {ID: "b", Service: "llm", Domain: "north"}}
				if step.listed {
					servers["a"] = pomelospring.FleetServer{ID: "a", Service: "llm", Domain: "north"}
				}
				board.SetServers(servers, now)
				if step.pause > 0 {
					board.RecordPause("a", now.Add(step.pause), now)
				}
			}
			for _, after := range scenario.paused {
				if board.Accepts("a", start.Add(after)) {
					t.Errorf("the server gets calls after %s", after)
				}
			}
			if !board.Accepts("a", start.Add(scenario.resumed)) {
				t.Errorf("the server gets no calls after %s", scenario.resumed)
			}
		})
	}
}
