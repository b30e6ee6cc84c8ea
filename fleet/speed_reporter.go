package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// speedReportInterval is the time between looks at how servers differ.
	speedReportInterval = time.Second
	// loggedRoomStep is the factor by which the room of a server changes before it is
	// logged again, and minRoomLogInterval the shortest time between two such lines.
	loggedRoomStep     = 1.5
	minRoomLogInterval = 5 * time.Second
	// maxReportedServers bounds the servers that metrics are kept of.
	maxReportedServers = 2000
)

// ServerSpeed is how a server differs from a usual one, as this instance knows it.
type ServerSpeed struct {
	Server string
	// Pace is the time that work takes there, relative to usual.
	Pace float64
	// Room is how many calls it takes: its slots, unless fewer are known.
	Room int
}

// ServerSpeeds lists the servers whose pace or room differs from usual.
func (b *Board) ServerSpeeds(now time.Time) (list []ServerSpeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range b.servers {
		speed := ServerSpeed{
			Server: id,
			Pace:   b.paceOf(id, now),
			Room:   b.rooms.Of(id, server.Slots, now),
		}
		if speed.Pace == 1 && speed.Room == 0 {
			continue
		}
		if speed.Room == 0 {
			speed.Room = server.Slots
		}
		list = append(list, speed)
	}
	return list
}

// SpeedMetrics keeps the pace and the room of servers.
type SpeedMetrics interface {
	ServerSpeed(server string, pace float64, room int)
}

// SpeedReporter keeps metrics of how servers differ, and logs changes of their rooms.
type SpeedReporter struct {
	Board   *Board
	Metrics SpeedMetrics
	Logger  log.Interface
	Clock   pomelospring.Clock

	// logged has the rooms that were logged last, and reported the servers that have
	// metrics.
	logged   map[string]loggedRoom
	reported map[string]bool
}

// loggedRoom is the room of a server that was logged last.
type loggedRoom struct {
	calls int
	at    time.Time
}

// Run reports until the context ends.
func (r *SpeedReporter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(speedReportInterval):
			r.Report()
		}
	}
}

// Report updates the metrics, and logs rooms that changed.
func (r *SpeedReporter) Report() {
	if r.reported == nil {
		r.logged, r.reported = map[string]loggedRoom{}, map[string]bool{}
	}
	now := r.Clock()
	listed := map[string]bool{}
	for _, speed := range r.Board.ServerSpeeds(now) {
		if !r.reported[speed.Server] && len(r.reported) >= maxReportedServers {
			continue
		}
		listed[speed.Server] = true
		r.reported[speed.Server] = true
		r.Metrics.ServerSpeed(speed.Server, speed.Pace, speed.Room)
		r.logRoom(speed.Server, speed.Room, now)
	}
	for id := range r.reported {
		if listed[id] {
			continue
		}
		r.Metrics.ServerSpeed(id, 1, r.Board.SlotsOf(id))
		delete(r.reported, id)
	}
	r.logUsual(listed, now)
}

// logUsual logs the rooms that are usual again, and forgets them once they may be logged
// anew.
func (r *SpeedReporter) logUsual(listed map[string]bool, now time.Time) {
	for id := range r.logged {
		if listed[id] {
			continue
		}
		slots := r.Board.SlotsOf(id)
		if slots > 0 {
			r.logRoom(id, slots, now)
		}
		if now.Sub(r.logged[id].at) >= minRoomLogInterval {
			delete(r.logged, id)
		}
	}
}

// logRoom logs the room of a server if it changed enough.
func (r *SpeedReporter) logRoom(server string, calls int, now time.Time) {
	before, found := r.logged[server]
	if !found {
		before.calls = r.Board.SlotsOf(server)
	}
	more, less := float64(max(calls, before.calls)), float64(max(1, min(calls, before.calls)))
	if more < less*loggedRoomStep || now.Sub(before.at) < minRoomLogInterval {
		return
	}
	r.logged[server] = loggedRoom{
		calls: calls,
		at:    now,
	}
	events.Log(r.Logger, events.ServerRoomChanged, log.Fields{
		"server": server,
		"before": before.calls,
		"calls":  calls,
	})
}
