package fleet_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	coldFor       = 3 * time.Second
	coldPerSecond = 6.5
)

// coldList is a server list whose service has cold servers, with a clock and the lines
// that it logs.
type coldList struct {
	fleet.ServerList
	now   time.Time
	lines memory.Handler
}

func newColdList() *coldList {
	c := &coldList{
		now: start,
	}
	c.Board = fleet.NewBoard("north")
	c.Board.SetPolicy(&pomelospring.Policy{
		Version:  1,
		Services: map[string]pomelospring.Service{"llm": {ColdFor: coldFor, ColdPerSecond: coldPerSecond}, "app": {}},
	})
	c.Logger = &log.Logger{Handler: &c.lines, Level: log.InfoLevel}
	c.Clock = func() time.Time { return c.now }
	c.Decode = c.decode
	return c
}

// decode accepts the start of a server and what is left of its cold time, each in ms; "-"
// for an entry that doesn't say it.
func (c *coldList) decode(id string, value []byte) (server pomelospring.FleetServer, err error) {
	started, left, _ := strings.Cut(string(value), " ")
	ms, err := strconv.Atoi(started)
	if err != nil {
		return server, err
	}
	server = pomelospring.FleetServer{
		ID:      id,
		Service: "llm",
		Domain:  "north",
		Started: start.Add(time.Duration(ms) * time.Millisecond),
	}
	if id == "plain" {
		server.Service = "app"
	}
	if left == "-" {
		return server, nil
	}
	if ms, err = strconv.Atoi(left); ms > 0 {
		server.ColdUntil = c.now.Add(time.Duration(ms) * time.Millisecond)
	} else {
		server.ColdUntil = pomelospring.NotCold
	}
	return server, err
}

// coldLeft returns how long a server is known to be cold.
func (c *coldList) coldLeft(id string) time.Duration {
	bound := c.Board.BoundOf(id, c.now)
	if bound.ColdPerSecond == 0 {
		return 0
	}
	return bound.ColdUntil.Sub(c.now)
}

// TestColdTimeOfAServerIsForgotten guards against cold times that are lost, drag on, or
// change the list with each heartbeat.
func TestColdTimeOfAServerIsForgotten(t *testing.T) {
	type step struct {
		// at is the time since the beginning, in ms, entry what is read then, if anything.
		at    int
		entry string
		// expect takes the domain back.
		expect bool
		// notice is what an answer says is left, in ms.
		notice int
		// report is what another instance says is left, in ms.
		report int
		// left is how long the server is then known to be cold, in ms.
		left int
	}
	scenarios := []struct {
		name   string
		server string
		steps  []step
		// changes is the number of changes of the list.
		changes int64
	}{
		{name: "it never was", steps: []step{{entry: "-60000 0"}, {at: 1200, entry: "-60000 0"}}, changes: 1},
		{name: "no field, long after its start", steps: []step{{entry: "-60000 -"}}, changes: 1},
		{name: "no field, right after its start", steps: []step{{entry: "-500 -", left: 2500}, {at: 1200, entry: "-500 -", left: 1300}, {at: 2600}}, changes: 1},
		{name: "no field, a start in the future", steps: []step{{entry: "3600000 -", left: 3000}, {at: 1200, entry: "3600000 -", left: 1800}, {at: 3000}}, changes: 1},
		{name: "it counts down", steps: []step{{entry: "0 3000", left: 3000}, {at: 1200, entry: "0 1810", left: 1800}, {at: 2400, entry: "0 590", left: 600}, {at: 3000}, {at: 3600, entry: "0 0"}}, changes: 1},
		{name: "the start says more", steps: []step{{entry: "0 1000", left: 3000}}, changes: 1},
		{name: "cold again", steps: []step{{entry: "-60000 0"}, {at: 1200, entry: "-60000 2900", left: 2900}, {at: 2400, entry: "-60000 1700", left: 1700}, {at: 4200}}, changes: 2},
		{name: "an older entry comes late", steps: []step{{entry: "-60000 2900", left: 2900}, {at: 500, entry: "-60000 0", left: 2400}}, changes: 1},
		{name: "a later start that is not cold", steps: []step{{entry: "-60000 2900", left: 2900}, {at: 500, entry: "100 0"}}, changes: 2},
		{name: "it never was, and the clock is set back", steps: []step{{entry: "-60000 0"}, {at: -600000}, {at: -600000, entry: "-60000 0"}}, changes: 1},
		{name: "a service without cold servers", server: "plain", steps: []step{{entry: "0 3000"}}, changes: 1},
		{name: "an answer says so", steps: []step{{entry: "-60000 0"}, {at: 100, notice: 2000, left: 2000}, {at: 1200, entry: "-60000 0", left: 900}, {at: 2100}}, changes: 1},
		{name: "taken back", steps: []step{{entry: "-60000 0"}, {at: 100, expect: true, left: 5400}, {at: 5500}}, changes: 1},
		{name: "taken back, and an entry under way says that it isn't cold", steps: []step{{entry: "-60000 0"}, {at: 100, expect: true, left: 5400}, {at: 900, entry: "-60000 0", left: 4600}}, changes: 1},
		{name: "taken back, and a later entry says so", steps: []step{{entry: "-60000 0"}, {at: 100, expect: true, left: 5400}, {at: 2200, entry: "-60000 0"}, {at: 2300, report: 3300}, {at: 2400, notice: 3000, left: 3000}}, changes: 1},
		{name: "others report it often, and a later entry ends it", steps: []step{{entry: "-60000 0"}, {at: 100, report: 5400, left: 5400}, {at: 1100, report: 4405, left: 4400}, {at: 2050, report: 3500, left: 3450}, {at: 2200, entry: "-60000 0"}, {at: 2300, report: 3250}}, changes: 1},
		{name: "taken back, and an entry says that it is cold", steps: []step{{entry: "-60000 0"}, {at: 100, expect: true, left: 5400}, {at: 1200, entry: "-60000 1900", left: 4300}}, changes: 2},
		{name: "taken back twice", steps: []step{{entry: "-60000 0"}, {at: 100, expect: true, left: 5400}, {at: 2200, entry: "-60000 0"}, {at: 4300, expect: true, left: 5400}}, changes: 1},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			c, id := newColdList(), scenario.server
			if id == "" {
				id = "a"
			}
			for n, s := range scenario.steps {
				c.now = start.Add(time.Duration(s.at) * time.Millisecond)
				if s.entry != "" {
					c.ApplyRead([]pomelospring.KeyedRecord{put(id, s.entry)}, false, pomelospring.TopicPosition{Offset: int64(n + 1)}, 0)
				}
				if s.expect {
					c.Board.ExpectCold("north", c.now)
				}
				listed, _ := c.Board.Server(id)
				if s.notice > 0 {
					c.Board.RecordCold(id, listed.Started, c.now.Add(time.Duration(s.notice)*time.Millisecond), c.now)
				}
				if s.report > 0 {
					c.Board.RecordReportedCold(id, listed.Started, c.now.Add(time.Duration(s.report)*time.Millisecond), c.now)
				}
				if diff := cmp.Diff(time.Duration(s.left)*time.Millisecond, c.coldLeft(id)); diff != "" {
					t.Errorf("step %d: %s", n, diff)
				}
			}
			if _, _, version := c.Board.ServerChanges(0); version != scenario.changes {
				t.Errorf("the list changed %d times, want %d", version, scenario.changes)
			}
		})
	}
}

// TestLinesOfColdServersAreMany guards against a line for each heartbeat, and against
// none.
func TestLinesOfColdServersAreMany(t *testing.T) {
	c := newColdList()
	for n := range 20 {
		c.now = start.Add(time.Duration(n) * 600 * time.Millisecond)
		left := max(0, 3000-n*600)
		if n >= 12 {
			left = max(0, 3000-(n-12)*600)
		}
		c.ApplyRead([]pomelospring.KeyedRecord{put("a", "-60000 "+strconv.Itoa(left))}, false, pomelospring.TopicPosition{Offset: int64(n + 1)}, 0)
	}
	counts := map[string]int{}
	for _, line := range c.lines.Entries {
		counts[line.Message]++
	}
	want := map[string]int{"serverCold": 2, "serverWarm": 2, "serversListed": 1}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Error(diff)
	}
}

// TestLowerBoundOfAColdServerBinds guards against a limit that a cold server names and that
// is lost.
func TestLowerBoundOfAColdServerBinds(t *testing.T) {
	scenarios := []struct {
		name  string
		limit float64
		cold  bool
		want  float64
	}{
		{name: "neither"},
		{name: "cold alone", cold: true, want: coldPerSecond},
		{name: "a limit alone", limit: 2, want: 2},
		{name: "a lower limit", limit: 2, cold: true, want: 2},
		{name: "a higher limit", limit: 20, cold: true, want: coldPerSecond},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			c := newColdList()
			entry := "-60000 0"
			if scenario.cold {
				entry = "-60000 3000"
			}
			c.ApplyRead([]pomelospring.KeyedRecord{put("a", entry)}, true, pomelospring.TopicPosition{Offset: 1}, 0)
			server, _ := c.Board.Server("a")
			c.Board.RecordLimit(fleet.ServerLimit{Server: "a", Started: server.Started, PerSecond: scenario.limit, At: c.now}, c.now)
			if diff := cmp.Diff(scenario.want, c.Board.BoundOf("a", c.now).PerSecond(1)); diff != "" {
				t.Error(diff)
			}
			candidates := c.Board.Candidates("llm", &pomelospring.Call{}, nil, c.now)
			if len(candidates) != 1 || candidates[0].Limited != (scenario.want > 0) {
				t.Errorf("candidates %v", candidates)
			}
		})
	}
}
