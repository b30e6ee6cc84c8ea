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
	// withheld holds the servers that had left and that the copy lists, as read here.
	withheld map[string]pomelospring.FleetServer
	// skipped is set once a leader listed such a server: its complete list is due after
	// the withhold time.
	skipped bool
	// confirmed holds the servers whose entry was read since the store was restored.
	confirmed map[string]bool
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
		left:      map[string]departure{},
		withheld:  map[string]pomelospring.FleetServer{},
		confirmed: map[string]bool{},
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

// begin starts the withhold time at the first read in an era of the store. known says
// that the servers were known before, so that the copy may lack some. An instance that
// just started learns from a leader which of the listed ones had left.
func (d *departures) begin(readTo pomelospring.TopicPosition, known bool, now time.Time) {
	d.copyEnd = readTo
	d.withholdUntil = now.Add(withholdTime)
	d.confirmed = map[string]bool{}
	if known {
		d.returnUntil = now.Add(restoredReturnWindow)
	}
}

// mayReturn reports whether a server that the store lacks may register again.
func (d *departures) mayReturn(server pomelospring.FleetServer, now time.Time) bool {
	return now.Before(d.returnUntil) && !server.Draining && !d.confirmed[server.ID]
}

// inCopy reports whether an entry may be from the copy.
func (d *departures) inCopy(position pomelospring.TopicPosition) bool {
	return position.Before(d.copyEnd)
}

// withhold reports whether a listed server is to stay out of the list, because it had
// left before the store was restored.
func (d *departures) withhold(server pomelospring.FleetServer, now time.Time) bool {
	former, left := d.left[server.ID]
	return left && now.Before(d.withholdUntil) && !server.Started.After(former.started)
}

// skip reports whether a server that a leader lists is to stay out of the list. The
// leader may also wait for a server that is known here to have left.
func (d *departures) skip(server pomelospring.FleetServer, now time.Time) bool {
	_, left := d.left[server.ID]
	withheld := d.withhold(server, now)
	d.skipped = d.skipped || withheld
	return withheld || left && server.Awaited
}

// followLeader forgets what was withheld of the own reads: a leader reports no removal
// of a server that it doesn't list.
func (d *departures) followLeader(full bool, now time.Time) {
	if full && !now.Before(d.withholdUntil) {
		d.skipped = false
	}
	d.skipped = d.skipped || len(d.withheld) > 0
	clear(d.withheld)
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
