package fleet

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// Brittleness is what a backend server said in an answer of how many requests it may turn
// away.
type Brittleness struct {
	Server string
	// Started identifies one start of the server.
	Started time.Time
	// Brittle is set if the server falls over when it turns more than RejectionsPerSecond
	// requests away within a second.
	Brittle             bool
	RejectionsPerSecond float64
	// At is when the answer arrived.
	At time.Time
	// Room is how many calls a leader lets be under way there; 0 if unknown.
	Room int
}

// brittleServers has what servers said of being brittle.
type brittleServers struct {
	known map[string]*brittleServer
	// services has what holds for the servers of a service of which nothing is known yet,
	// such as those that just started.
	services map[string]brittleService
}

// brittleService is a service with servers that say that they are brittle.
type brittleService struct {
	rejectionsPerSecond float64
	until               time.Time
}

// brittleServer is the latest that is known of a server.
type brittleServer struct {
	Brittleness
	// retainedUntil is when it is forgotten if it is over or the server is not listed.
	retainedUntil time.Time
}

func newBrittleServers() brittleServers {
	return brittleServers{
		known:    map[string]*brittleServer{},
		services: map[string]brittleService{},
	}
}

// RecordBrittleness records what a server said, and reports whether that changes it. What
// a later answer said takes precedence, and so does a later start of the server.
func (b *Board) RecordBrittleness(brittleness Brittleness, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed, found := b.servers[brittleness.Server]
	if found && listed.Started.After(brittleness.Started) {
		return false
	}
	known := b.brittle.known[brittleness.Server]
	if known == nil {
		if !brittleness.Brittle && (!found || !b.isBrittle(&listed)) {
			return false
		}
		known = &brittleServer{}
		b.brittle.known[brittleness.Server] = known
		changed = true
	}
	if !known.precedes(brittleness) {
		return false
	}
	changed = changed || known.says(brittleness)
	room := brittleness.Room
	if room == 0 && known.Started.Equal(brittleness.Started) {
		room = known.Room
	}
	known.Brittleness = brittleness
	known.Room = room
	known.retainedUntil = now.Add(limitRetention)
	if found {
		b.recordBrittleService(listed.Service, now)
	}
	return changed
}

// says reports whether what a server said differs from the known.
func (s *brittleServer) says(brittleness Brittleness) (differs bool) {
	return s.Brittle != brittleness.Brittle || s.RejectionsPerSecond != brittleness.RejectionsPerSecond
}

// precedes reports whether what a server said is later than the known.
func (s *brittleServer) precedes(brittleness Brittleness) bool {
	switch {
	case !s.Started.Equal(brittleness.Started):
		return s.Started.Before(brittleness.Started)
	case !s.says(brittleness):
		return brittleness.At.Sub(s.At) >= minLimitRefresh
	}
	return brittleness.At.After(s.At)
}

// RecordRoom records how many calls the leader lets be under way at a brittle server.
func (b *Board) RecordRoom(server string, room int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.brittle.known[server]; known != nil {
		known.Room = room
	}
}

// SlotsOf returns how many calls a server works on at once.
func (b *Board) SlotsOf(server string) (slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[server].Slots
}

// Brittlenesses lists what is known of a domain's servers, of those included that lately
// were brittle. It lists at most maxSharedServers, others each time.
func (b *Board) Brittlenesses(domain string) (list []Brittleness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, known := range b.brittle.known {
		if len(list) == maxSharedServers {
			break
		}
		if b.servers[id].Domain == domain {
			list = append(list, known.Brittleness)
		}
	}
	return list
}

// BrittlenessOf returns what is known of a server, or of its service if nothing is known
// of it yet.
func (b *Board) BrittlenessOf(server string) (brittleness Brittleness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.brittle.known[server]; known != nil {
		return known.Brittleness
	}
	listed := b.servers[server]
	service, brittle := b.brittle.services[listed.Service]
	return Brittleness{
		Server:              server,
		Started:             listed.Started,
		Brittle:             brittle,
		RejectionsPerSecond: service.rejectionsPerSecond,
	}
}

// BrittleLoads returns the number of this instance's calls in flight at the brittle servers
// of a domain.
func (b *Board) BrittleLoads(domain string) (running map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.brittle.services) == 0 {
		return nil
	}
	running = map[string]int{}
	for id, l := range b.ownLoads {
		if server, listed := b.servers[id]; listed && l.running > 0 && server.Domain == domain && b.isBrittle(&server) {
			running[id] = l.running
		}
	}
	return running
}

// isBrittle reports whether calls to a server need a permit. The caller holds the lock.
func (b *Board) isBrittle(server *pomelospring.FleetServer) bool {
	if len(b.brittle.services) == 0 {
		return false
	}
	if known := b.brittle.known[server.ID]; known != nil {
		return known.Brittle
	}
	_, brittle := b.brittle.services[server.Service]
	return brittle
}

// recordBrittleService records whether a service has brittle servers, and the least that
// one of them may turn away. The caller holds the lock.
func (b *Board) recordBrittleService(service string, now time.Time) {
	lowest, found := 0.0, false
	for id, known := range b.brittle.known {
		if known.Brittle && b.servers[id].Service == service && (!found || known.RejectionsPerSecond < lowest) {
			lowest, found = known.RejectionsPerSecond, true
		}
	}
	if !found {
		delete(b.brittle.services, service)
		return
	}
	b.brittle.services[service] = brittleService{
		rejectionsPerSecond: lowest,
		until:               now.Add(limitRetention),
	}
}

// endBrittleness forgets what earlier starts of servers said, and those servers that are
// no longer brittle or have not been listed for long. The caller holds the lock.
func (b *Board) endBrittleness(servers map[string]pomelospring.FleetServer, now time.Time) {
	for id, known := range b.brittle.known {
		server, listed := servers[id]
		if listed && server.Started.After(known.Started) || now.After(known.retainedUntil) && (!listed || !known.Brittle) {
			delete(b.brittle.known, id)
		}
	}
	for name, service := range b.brittle.services {
		if now.After(service.until) {
			delete(b.brittle.services, name)
		}
	}
}
