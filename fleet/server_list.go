package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// outageLeast is the time without an answer of the store after which its
	// entries may have expired though their servers are well.
	outageLeast = 2 * time.Second
	// expiredPart is the part of all servers that must be missing then: a few
	// have left, many have expired.
	expiredPart = 1.0 / 3
	// returnTime is how long such servers have to come back.
	returnTime = 2 * time.Second
)

// ServerList keeps the backend servers as they say themselves.
type ServerList struct {
	Board  *Board
	Logger log.Interface
	Clock  pomelospring.Clock
	// Decode reads what a server says of itself.
	Decode func(id string, value []byte) (server pomelospring.FleetServer, err error)

	mu      sync.Mutex
	servers map[string]pomelospring.FleetServer
	// missing maps servers whose entry is gone to when they are given up.
	missing map[string]time.Time
	// returnUntil is the end of the time in which servers come back after an outage.
	returnUntil time.Time
}

// ApplyRead takes in records read from the store. whole says that they are all
// there are; outage is how long the store was not read before.
func (l *ServerList) ApplyRead(records []pomelospring.KeyedRecord, whole bool, _ int64, outage time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	l.start()
	records = newestOf(records)
	gone := l.goneIn(records, whole)
	if outage > outageLeast && float64(len(gone)) >= expiredPart*float64(len(l.servers)) {
		l.returnUntil = now.Add(returnTime)
	}
	for _, id := range gone {
		l.gone(id, now)
	}
	for _, record := range records {
		if len(record.Value) > 0 {
			l.listed(record)
		}
	}
	for id, until := range l.missing {
		if !now.Before(until) {
			l.drop(id, "its entry is gone")
		}
	}
	l.Board.SetServers(maps.Clone(l.servers), now)
}

func (l *ServerList) start() {
	if l.servers == nil {
		l.servers = map[string]pomelospring.FleetServer{}
		l.missing = map[string]time.Time{}
	}
}

// Relay takes in what the leader read from the store at heard: the servers
// that changed and those that went, or all there are where whole is set.
func (l *ServerList) Relay(changed []pomelospring.FleetServer, gone []string, whole bool, heard time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	listed := map[string]bool{}
	for _, server := range changed {
		listed[server.ID] = true
		l.take(server)
	}
	for id := range l.servers {
		if whole && !listed[id] {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		if _, known := l.servers[id]; known {
			l.drop(id, "the leader no longer lists it")
		}
	}
	l.Board.SetServers(maps.Clone(l.servers), heard)
}

// newestOf keeps the last record of each key, in order.
func newestOf(records []pomelospring.KeyedRecord) (newest []pomelospring.KeyedRecord) {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	for i, record := range records {
		if last[record.Key] == i {
			newest = append(newest, record)
		}
	}
	return newest
}

// goneIn lists the known servers whose entry went: those that the records
// drop, or do not name where they are whole.
func (l *ServerList) goneIn(records []pomelospring.KeyedRecord, whole bool) (gone []string) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = len(record.Value) > 0
	}
	for id := range l.servers {
		if listed, named := present[id]; named && !listed || !named && whole {
			gone = append(gone, id)
		}
	}
	return gone
}

// gone takes out a server whose entry was removed; after an outage of the
// store it has a moment to come back.
func (l *ServerList) gone(id string, now time.Time) {
	server, known := l.servers[id]
	if !known {
		return
	}
	if now.Before(l.returnUntil) && !server.Draining {
		l.missing[id] = l.returnUntil
		return
	}
	l.drop(id, "its entry is gone")
}

func (l *ServerList) drop(id, reason string) {
	delete(l.servers, id)
	delete(l.missing, id)
	events.Log(l.Logger, events.ServersListed, log.Fields{
		"server": id,
		"change": "left",
		"reason": reason,
	})
}

func (l *ServerList) listed(record pomelospring.KeyedRecord) {
	server, err := l.Decode(record.Key, record.Value)
	if err != nil {
		events.Log(l.Logger, events.ServerSpoiled, log.Fields{
			"server": record.Key,
			"error":  err.Error(),
		})
		if _, known := l.servers[record.Key]; known {
			l.drop(record.Key, "its entry can't be read")
		}
		return
	}
	l.take(server)
}

// take enters a server unless what is known of it is newer.
func (l *ServerList) take(server pomelospring.FleetServer) {
	before, known := l.servers[server.ID]
	if known && server.Started.Before(before.Started) {
		// A heartbeat of an earlier incarnation came late.
		return
	}
	if known && before.Draining && server.Started.Equal(before.Started) {
		// A server that began to leave does not come back without a new start.
		server.Draining = true
	}
	delete(l.missing, server.ID)
	l.servers[server.ID] = server
	if !known || before.Draining != server.Draining || !before.Started.Equal(server.Started) {
		events.Log(l.Logger, events.ServersListed, log.Fields{
			"server":   server.ID,
			"change":   "listed",
			"service":  server.Service,
			"address":  server.Address,
			"domain":   server.Domain,
			"draining": server.Draining,
		})
	}
}
