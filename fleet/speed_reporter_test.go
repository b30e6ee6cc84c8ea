package fleet_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// gauges are the paces and rooms that were reported last.
type gauges map[string][2]float64

func (g gauges) ServerSpeed(server string, pace float64, room int) {
	g[server] = [2]float64{pace, float64(room)}
}

// TestServerSpeedsAreReported guards against metrics of servers that are as usual, against
// such that stay once a server is, and against a log line for each answer.
func TestServerSpeedsAreReported(t *testing.T) {
	board := fleet.NewBoard("north")
	servers := map[string]pomelospring.FleetServer{}
	for _, id := range []string{"crowded", "slow", "usual"} {
		servers[id] = pomelospring.FleetServer{ID: id, Service: "app", Domain: "north", Slots: 16, Started: start}
	}
	board.SetServers(servers, start)
	handler, now, seen := memory.New(), start, gauges{}
	reporter := fleet.SpeedReporter{
		Board:   board,
		Metrics: seen,
		Logger:  &log.Logger{Handler: handler, Level: log.InfoLevel},
		Clock:   func() time.Time { return now },
	}
	for range 20 {
		board.RecordLoadReport("slow", pomelospring.ServerLoadReport{Slots: 16, TimeFactor: 2}, now)
		board.RecordTimedAnswer("crowded", fleet.TimedAnswer{Calls: 10, Took: time.Second, Limit: time.Millisecond}, now)
		board.RecordTimedAnswer("usual", fleet.TimedAnswer{Calls: 10, Took: time.Millisecond, Limit: time.Second}, now)
		reporter.Report()
	}
	if diff := cmp.Diff(gauges{"crowded": {1, 8}, "slow": {2, 16}}, seen); diff != "" {
		t.Error(diff)
	}
	now = now.Add(time.Hour)
	reporter.Report()
	if diff := cmp.Diff(gauges{"crowded": {1, 16}, "slow": {1, 16}}, seen); diff != "" {
		t.Error(diff)
	}
	if lines := len(handler.Entries); lines != 2 {
		t.Errorf("%d lines, want one for each change of a room", lines)
	}
}

// TestChangingRoomIsLoggedSeldom guards against a log line for each time at which a server
// with few slots is as usual, and is not.
func TestChangingRoomIsLoggedSeldom(t *testing.T) {
	const (
		played   = time.Minute
		maxLines = 13
	)
	board := fleet.NewBoard("north")
	board.SetServers(map[string]pomelospring.FleetServer{
		"s": {ID: "s", Service: "app", Domain: "north", Slots: 3, Started: start},
	}, start)
	handler, now := memory.New(), start
	reporter := fleet.SpeedReporter{
		Board:   board,
		Metrics: gauges{},
		Logger:  &log.Logger{Handler: handler, Level: log.InfoLevel},
		Clock:   func() time.Time { return now },
	}
	for now.Sub(start) < played {
		board.RecordRejection("s", 1, now)
		reporter.Report()
		now = now.Add(3 * time.Second)
		reporter.Report()
	}
	if lines := len(handler.Entries); lines > maxLines {
		t.Errorf("%d lines in %s, want one in 5 s at most", lines, played)
	}
}
