package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// Notices records on a board what backend servers announce about themselves, and
// logs what changes.
type Notices struct {
	Board  *Board
	Logger log.Interface
	Clock  pomelospring.Clock
}

// Record applies what a server announced in an answer to this instance.
func (n Notices) Record(server pomelospring.FleetServer, notice pomelospring.ServerNotice) {
	n.Board.RecordLoadReport(server.ID, notice.Load, n.Clock())
	if notice.Leaving {
		n.RecordLeaving([]LeavingServer{{
			ID:      server.ID,
			Started: server.Started,
		}}, "its own answer")
	}
	if !notice.PausedUntil.IsZero() {
		n.recordPause(server, notice.PausedUntil)
	}
	if notice.RequestsPerSecond > 0 || notice.LimitEnded {
		n.RecordLimits([]ServerLimit{{
			Server:    server.ID,
			Started:   server.Started,
			PerSecond: notice.RequestsPerSecond,
			At:        n.Clock(),
		}}, "its own answer")
	}
	if !notice.ColdUntil.IsZero() {
		n.recordCold(server, notice.ColdUntil)
	}
	if notice.Brittle || notice.BrittleEnded {
		n.RecordBrittleness([]Brittleness{{
			Server:              server.ID,
			Started:             server.Started,
			Brittle:             notice.Brittle,
			RejectionsPerSecond: notice.RejectionsPerSecond,
			At:                  n.Clock(),
		}}, "its own answer")
	}
}

// RecordBrittleness applies which servers said that they are brittle, or are no longer;
// source says who reports it.
func (n Notices) RecordBrittleness(list []Brittleness, source string) {
	for _, brittleness := range list {
		if !n.Board.RecordBrittleness(brittleness, n.Clock()) {
			continue
		}
		events.Log(n.Logger, events.ServerBrittle, log.Fields{
			"server":    brittleness.Server,
			"brittle":   brittleness.Brittle,
			"perSecond": brittleness.RejectionsPerSecond,
			"room":      brittleness.Room,
			"ageMs":     n.Clock().Sub(brittleness.At).Milliseconds(),
			"source":    source,
		})
	}
}

// RecordLimits applies the limits that servers named; source says who reports them.
func (n Notices) RecordLimits(limits []ServerLimit, source string) {
	for _, limit := range limits {
		if !n.Board.RecordLimit(limit, n.Clock()) {
			continue
		}
		events.Log(n.Logger, events.ServerLimited, log.Fields{
			"server":    limit.Server,
			"perSecond": limit.PerSecond,
			"ageMs":     n.Clock().Sub(limit.At).Milliseconds(),
			"source":    source,
		})
	}
}

// recordCold applies that a server is cold until a time.
func (n Notices) recordCold(server pomelospring.FleetServer, until time.Time) {
	perSecond := n.Board.RecordCold(server.ID, server.Started, until, n.Clock())
	if perSecond == 0 {
		return
	}
	events.Log(n.Logger, events.ServerCold, log.Fields{
		"server":    server.ID,
		"perSecond": perSecond,
		"until":     until.UnixMilli(),
		"source":    "its own answer",
	})
}

// recordPause applies that a server asked this instance for a pause.
func (n Notices) recordPause(server pomelospring.FleetServer, until time.Time) {
	now := n.Clock()
	resumeAt, changed := n.Board.RecordPause(server.ID, until, now)
	if !changed {
		return
	}
	events.Log(n.Logger, events.ServerPaused, log.Fields{
		"server":   server.ID,
		"until":    until.UnixMilli(),
		"pauseMs":  until.Sub(now).Milliseconds(),
		"resumeMs": resumeAt.Sub(now).Milliseconds(),
	})
}

// RecordLeaving applies which servers announced that they leave; source says who
// reports it.
func (n Notices) RecordLeaving(servers []LeavingServer, source string) {
	for _, server := range servers {
		if !n.Board.RecordLeaving(server, n.Clock()) {
			continue
		}
		events.Log(n.Logger, events.ServerLeaving, log.Fields{
			"server":  server.ID,
			"started": server.Started.UnixMilli(),
			"source":  source,
		})
	}
}
