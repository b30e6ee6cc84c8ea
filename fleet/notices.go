package fleet

import (
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
	if notice.Leaving {
		n.RecordLeaving([]LeavingServer{{
			ID:      server.ID,
			Started: server.Started,
		}}, "its own answer")
	}
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
