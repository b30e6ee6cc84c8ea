package fleet

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// departureRetention is how long a server that left is remembered. The copies from
	// which the store is restored are some seconds old.
	departureRetention = time.Minute
	// restoredReturnWindow is how long servers that a restored store lacks have to
	// register again: two of their heartbeats.
	restoredReturnWindow = 3 * time.Second
	// withholdTime is how long after a restore a server that had left stays out of the
	// list although the copy lists it. The store removes entries that no heartbeat
	// renews well before.
	withholdTime = 6 * time.Second
)

// departures remembers the servers that left the list, so that a copy from which the
// store is restored doesn't bring them back.
type departures struct {
	left map[string]departure
	// withheld holds the servers that had left and that the copy lists.
	withheld map[string]pomelospring.FleetServer
	// copyEnd is the position up to which the restored store was first read; entries
	// from there on were written since.
	copyEnd pomelospring.TopicPosition
	// returnUntil is the end of the return window, withholdUntil that of the withhold
	// time.
	returnUntil   time.Time
	withholdUntil time.Time
}

// departure is a server that left.
type departure struct {
	started time.Time
	at      time.Time
}

func newDepartures() departures {
	return departures{
		left:     map[string]departure{},
		withheld: map[string]pomelospring.FleetServer{},
	}
}

// add records that a server left.
func (d *departures) add(server pomelospring.FleetServer, now time.Time) {
	for id, former := range d.left {
		if now.Sub(former.at) > departureRetention {
			delete(d.left, id)
		}
	}
	d.left[server.ID] = departure{
		started: server.Started,
		at:      now,
	}
}

// returned forgets a departure.
func (d *departures) returned(id string) {
	delete(d.left, id)
	delete(d.withheld, id)
}

// restored starts the return window and the withhold time.
func (d *departures) restored(readTo pomelospring.TopicPosition, now time.Time) {
	d.copyEnd = readTo
	d.returnUntil = now.Add(restoredReturnWindow)
	d.withholdUntil = now.Add(withholdTime)
}

// inCopy reports whether an entry may be from the copy.
func (d *departures) inCopy(position pomelospring.TopicPosition) bool {
	return position.Before(d.copyEnd)
}

// withhold reports whether a listed server is to stay out of the list, because it had
// left before the store was restored.
func (d *departures) withhold(server pomelospring.FleetServer, now time.Time) bool {
	former, left := d.left[server.ID]
	if !left || !now.Before(d.withholdUntil) || server.Started.After(former.started) {
		return false
	}
	d.withheld[server.ID] = server
	return true
}

// keepWithheld forgets the withheld servers that a complete list lacks.
func (d *departures) keepWithheld(listed map[string]bool) {
	for id := range d.withheld {
		if !listed[id] {
			delete(d.withheld, id)
		}
	}
}

// overdue returns the withheld servers once the withhold time is over.
func (d *departures) overdue(now time.Time) (servers []pomelospring.FleetServer) {
	if now.Before(d.withholdUntil) {
		return nil
	}
	for id, server := range d.withheld {
		delete(d.withheld, id)
		servers = append(servers, server)
	}
	return servers
}
