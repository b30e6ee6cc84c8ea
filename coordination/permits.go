package coordination

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/room"
)

const (
	// permitTimeout bounds the answer to a request for a permit, beside its own wait, and
	// that to returned permits.
	permitTimeout = 250 * time.Millisecond
	// maxReturnTries is how often permits are returned to a leader that does not answer,
	// and returnRetryDelay the time between.
	maxReturnTries   = 4
	returnRetryDelay = 50 * time.Millisecond
)

// askPermit gives out a permit for a server of the domain; ok is false if this instance
// does not lead.
func (l *Leader) askPermit(ctx context.Context, request room.Request) (server string, retryAt time.Time, ok bool) {
	if !l.Leading() {
		return "", time.Time{}, false
	}
	server, retryAt = l.permits.ask(ctx, request)
	return server, retryAt, true
}

// maintainPermits forgets the permits of instances that are gone, and shares the room of
// the servers.
func (l *Leader) maintainPermits() {
	now := l.Clock()
	l.mu.Lock()
	live := make(map[string]bool, len(l.members))
	for instance, m := range l.members {
		live[instance] = now.Before(m.expiresAt)
	}
	l.mu.Unlock()
	rooms := l.permits.maintain(
		func(instance string, askedAt time.Time) bool {
			return live[instance] || now.Sub(askedAt) < instanceTimeout
		},
		func(server string) bool { return l.Board.BrittlenessOf(server).Brittle },
	)
	before := l.rooms
	l.rooms = make(map[string]int, len(rooms))
	for _, current := range rooms {
		l.rooms[current.Server] = current.Calls
		l.Board.RecordRoom(current.Server, current.Calls)
		if before[current.Server] == current.Calls {
			continue
		}
		events.Log(l.Logger, events.RoomChanged, log.Fields{
			"server": current.Server,
			"calls":  current.Calls,
			"before": before[current.Server],
		})
	}
}

// Permit implements the RPC Permit.
func (s *Server) Permit(ctx context.Context, request *coordinationpb.PermitRequest) (reply *coordinationpb.PermitReply, err error) {
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return nil, errNotLeading
	}
	now := leader.Clock()
	named := brittlenessFromProto(request.Servers, now)
	leader.notices().RecordBrittleness(named, "a request for a permit")
	ids := make([]string, 0, len(named))
	for i := range named {
		ids = append(ids, named[i].Server)
	}
	server, retryAt, ok := leader.askPermit(ctx, room.Request{
		Key: room.Key{
			Owner:  request.Instance,
			Number: request.Number,
		},
		Team:      request.Team,
		Servers:   brittleServers(leader.Board, ids),
		Until:     now.Add(time.Duration(request.PatienceMilliseconds) * time.Millisecond),
		ExpiresAt: now.Add(time.Duration(request.ExpiryMilliseconds) * time.Millisecond),
	})
	if !ok {
		return nil, errNotLeading
	}
	reply = &coordinationpb.PermitReply{
		Server: server,
	}
	if server == "" {
		reply.RetryMilliseconds = retryAt.Sub(leader.Clock()).Milliseconds()
	}
	return reply, nil
}

// ReturnPermits implements the RPC ReturnPermits.
func (s *Server) ReturnPermits(_ context.Context, request *coordinationpb.ReturnPermitsRequest) (reply *coordinationpb.ReturnPermitsReply, err error) {
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return nil, errNotLeading
	}
	for _, permit := range request.Permits {
		leader.permits.giveBack(room.Key{
			Owner:  request.Instance,
			Number: permit.Number,
		}, room.Outcome(permit.Outcome))
	}
	return &coordinationpb.ReturnPermitsReply{}, nil
}

// brittleServers returns what a board knows of servers, for a request for a permit.
func brittleServers(board *fleet.Board, ids []string) (servers []room.Server) {
	for _, id := range ids {
		brittleness := board.BrittlenessOf(id)
		servers = append(servers, room.Server{
			ID:                  id,
			Started:             brittleness.Started,
			Slots:               board.SlotsOf(id),
			RejectionsPerSecond: brittleness.RejectionsPerSecond,
			Room:                brittleness.Room,
		})
	}
	return servers
}

// heldPermits are the permits of this instance for the servers of one domain.
type heldPermits struct {
	mu     sync.Mutex
	number int64
	// servers has the server of each permit that the present leader granted, and local
	// those that this instance granted to itself.
	servers map[int64]string
	local   map[int64]bool
	// returned are to be told to the leader, and sending is set while some are.
	returned []*coordinationpb.ReturnedPermit
	sending  bool
}

func (h *heldPermits) nextNumber() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number++
	return h.number
}

// hold records a permit.
func (h *heldPermits) hold(number int64, server string, local bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servers == nil {
		h.servers, h.local = map[int64]string{}, map[int64]bool{}
	}
	if local {
		h.local[number] = true
		return
	}
	h.servers[number] = server
}

// end ends a permit and reports whether this instance granted it to itself.
func (h *heldPermits) end(number int64) (local bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	local = h.local[number]
	delete(h.local, number)
	delete(h.servers, number)
	return local
}

// leaderChanged forgets which permits the former leader granted: the new one counts their
// calls as such without a permit.
func (h *heldPermits) leaderChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.servers)
	h.returned = nil
}

// unpermitted returns how many of the calls that run at servers have no permit of the
// leader.
func (h *heldPermits) unpermitted(running map[string]int) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, server := range h.servers {
		if running[server] > 0 {
			running[server]--
		}
	}
	return running
}

// AskPermit asks the domain's leader for a permit. Without an answer it keeps to this
// instance's part of the servers' room.
func (m *Member) AskPermit(ctx context.Context, request pomelospring.PermitRequest) (permit pomelospring.Permit) {
	permit.Domain, permit.Number = m.Domain, m.permits.nextNumber()
	ids := make([]string, 0, len(request.Servers))
	for i := range request.Servers {
		ids = append(ids, request.Servers[i].ID)
	}
	asked := room.Request{
		Key: room.Key{
			Owner:  m.Instance,
			Number: permit.Number,
		},
		Team:      request.Team,
		Servers:   brittleServers(m.Board, ids),
		Until:     request.Until,
		ExpiresAt: request.ExpiresAt,
	}
	var err error
	permit.Server, permit.RetryAt, err = m.askPermitAtLeader(ctx, asked)
	local := err != nil && ctx.Err() == nil
	if local {
		events.Log(m.Logger, events.PermitsDivided, log.Fields{
			"domain":    m.Domain,
			"instances": m.InstanceCount(),
			"error":     err.Error(),
		})
		m.ownPermits.setShare(m.share(), rand.Float64())
		permit.Server, permit.RetryAt = m.ownPermits.ask(ctx, asked)
	}
	permit.Granted = permit.Server != ""
	if permit.Granted {
		m.permits.hold(permit.Number, permit.Server, local)
	}
	return permit
}

// share is this instance's part of what servers take of all instances together.
func (m *Member) share() float64 {
	if instances := m.InstanceCount(); instances > 0 {
		return 1 / float64(instances)
	}
	return 1.0 / assumedInstances
}

// askPermitAtLeader asks the domain's leader for a permit.
func (m *Member) askPermitAtLeader(ctx context.Context, request room.Request) (server string, retryAt time.Time, err error) {
	address, now := m.Known(), m.Clock()
	switch {
	case address == "" || !m.LeaderAnswers():
		return "", time.Time{}, errNoLeader
	case address == m.Address:
		server, retryAt, ok := m.Leader.askPermit(ctx, request)
		if !ok {
			return "", time.Time{}, errNotLeading
		}
		return server, retryAt, nil
	}
	patience := max(0, request.Until.Sub(now))
	timeout, cancel := context.WithTimeout(ctx, patience+permitTimeout)
	defer cancel()
	reply, err := m.client(timeout, address).Permit(timeout, &coordinationpb.PermitRequest{
		Domain:               m.Domain,
		Instance:             request.Key.Owner,
		Number:               request.Key.Number,
		Team:                 request.Team,
		Servers:              brittlenessToProto(m.brittleness(request.Servers), now),
		PatienceMilliseconds: patience.Milliseconds(),
		ExpiryMilliseconds:   request.ExpiresAt.Sub(now).Milliseconds(),
	})
	if err != nil {
		// The leader may have granted it.
		m.returnToLeader(request.Key.Number, pomelospring.PermitUnsent)
		return "", time.Time{}, err
	}
	return reply.Server, m.Clock().Add(time.Duration(reply.RetryMilliseconds) * time.Millisecond), nil
}

// brittleness lists what is known here of servers.
func (m *Member) brittleness(servers []room.Server) (list []fleet.Brittleness) {
	for i := range servers {
		list = append(list, m.Board.BrittlenessOf(servers[i].ID))
	}
	return list
}

// ReturnPermit ends a permit, with how its call ended.
func (m *Member) ReturnPermit(permit pomelospring.Permit, outcome pomelospring.PermitOutcome) {
	if m.permits.end(permit.Number) {
		m.ownPermits.giveBack(room.Key{
			Owner:  m.Instance,
			Number: permit.Number,
		}, room.Outcome(outcome))
		return
	}
	m.returnToLeader(permit.Number, outcome)
}

// returnToLeader tells the leader that a permit has ended, with others that end while one
// is told.
func (m *Member) returnToLeader(number int64, outcome pomelospring.PermitOutcome) {
	address := m.Known()
	if address == m.Address {
		m.Leader.permits.giveBack(room.Key{
			Owner:  m.Instance,
			Number: number,
		}, room.Outcome(outcome))
		return
	}
	h := &m.permits
	h.mu.Lock()
	defer h.mu.Unlock()
	h.returned = append(h.returned, &coordinationpb.ReturnedPermit{
		Number:  number,
		Outcome: int32(outcome),
	})
	if h.sending {
		return
	}
	h.sending = true
	go m.sendReturned()
}

// sendReturned tells the leader of the permits that have ended, until there are no more.
func (m *Member) sendReturned() {
	h := &m.permits
	for {
		h.mu.Lock()
		returned := h.returned
		h.returned = nil
		if len(returned) == 0 {
			h.sending = false
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		m.sendReturnedTo(m.Known(), returned)
	}
}

// sendReturnedTo tells a leader of permits that have ended. One that doesn't answer counts
// them until their deadlines.
func (m *Member) sendReturnedTo(address string, returned []*coordinationpb.ReturnedPermit) {
	for try := 1; address != "" && address == m.Known(); try++ {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		_, err := m.client(ctx, address).ReturnPermits(ctx, &coordinationpb.ReturnPermitsRequest{
			Domain:   m.Domain,
			Instance: m.Instance,
			Permits:  returned,
		})
		cancel()
		if err == nil {
			return
		}
		if try == maxReturnTries {
			events.Log(m.Logger, events.PeerUnreachable, log.Fields{
				"address": address,
				"error":   err.Error(),
			})
			return
		}
		time.Sleep(returnRetryDelay)
	}
}

// addUnpermitted adds the calls without a permit of the leader to this instance's load.
func (m *Member) addUnpermitted(uses []*coordinationpb.ServerUse) {
	running := m.Board.BrittleLoads(m.Domain)
	if len(running) == 0 {
		return
	}
	unpermitted := m.permits.unpermitted(running)
	for _, use := range uses {
		use.Unpermitted = int32(unpermitted[use.Server])
	}
}

// unpermittedFromProto returns the number of calls without a permit by server.
func unpermittedFromProto(uses []*coordinationpb.ServerUse) (counts map[string]int) {
	for _, use := range uses {
		if use.Unpermitted == 0 {
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[use.Server] = int(use.Unpermitted)
	}
	return counts
}

var _ pomelospring.PermitIssuer = (*PlacementCoordinator)(nil)

// AskPermit implements pomelospring.PermitIssuer.
func (c *PlacementCoordinator) AskPermit(ctx context.Context, request pomelospring.PermitRequest) (permit pomelospring.Permit) {
	for _, member := range c.Members {
		if len(request.Servers) > 0 && member.Domain == request.Servers[0].Domain {
			return member.AskPermit(ctx, request)
		}
	}
	return permit
}

// ReturnPermit implements pomelospring.PermitIssuer.
func (c *PlacementCoordinator) ReturnPermit(permit pomelospring.Permit, outcome pomelospring.PermitOutcome) {
	for _, member := range c.Members {
		if member.Domain == permit.Domain {
			member.ReturnPermit(permit, outcome)
		}
	}
}

func brittlenessToProto(list []fleet.Brittleness, now time.Time) (entries []*coordinationpb.ServerBrittleness) {
	for i := range list {
		entries = append(entries, &coordinationpb.ServerBrittleness{
			Server:              list[i].Server,
			Started:             list[i].Started.UnixMilli(),
			Brittle:             list[i].Brittle,
			RejectionsPerSecond: list[i].RejectionsPerSecond,
			AgeMilliseconds:     now.Sub(list[i].At).Milliseconds(),
			Room:                int32(list[i].Room),
		})
	}
	return entries
}

func brittlenessFromProto(entries []*coordinationpb.ServerBrittleness, now time.Time) (list []fleet.Brittleness) {
	for _, entry := range entries {
		list = append(list, fleet.Brittleness{
			Server:              entry.Server,
			Started:             time.UnixMilli(entry.Started),
			Brittle:             entry.Brittle,
			RejectionsPerSecond: entry.RejectionsPerSecond,
			At:                  now.Add(-time.Duration(entry.AgeMilliseconds) * time.Millisecond),
			Room:                int(entry.Room),
		})
	}
	return list
}
