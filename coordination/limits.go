package coordination

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/pacing"
)

const (
	// reserveTimeout bounds the answer to a reservation, for which a call waits.
	reserveTimeout = 250 * time.Millisecond
	// assumedInstances is the number of instances by which one divides a limit that has
	// not heard from a leader yet.
	assumedInstances = 200
)

// Reserve gives out the next turn of a server of the domain to a team; ok is false if this instance does not lead.
func (l *Leader) Reserve(server, team string, patience time.Duration) (reservation pomelospring.Reservation, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Holds(l.Uptime()) {
		return pomelospring.Reservation{}, false
	}
	now := l.Clock()
	bound := l.Board.BoundOf(server, now)
	if bound.ColdPerSecond > 0 {
		return l.reserveCold(server, team, bound, patience, now)
	}
	return reserve(&l.pacing, server, team, bound.Limit.PerSecond, now.Add(patience), now), true
}

// reserve reserves a turn of a server that takes perSecond calls; 0 for any number.
func reserve(schedule *pacing.Schedule, server, team string, perSecond float64, latest, now time.Time) pomelospring.Reservation {
	if perSecond <= 0 {
		return pomelospring.Reservation{
			Granted: true,
			At:      now,
			NextAt:  now,
		}
	}
	return schedule.Reserve(server, team, perSecond, latest, now)
}

// Reserve implements the RPC Reserve.
func (s *Server) Reserve(_ context.Context, request *coordinationpb.ReserveRequest) (reply *coordinationpb.ReserveReply, err error) {
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return nil, errNotLeading
	}
	now := leader.Clock()
	leader.notices().RecordLimits(limitsFromProto([]*coordinationpb.ServerLimit{request.Limit}, now), "a reservation")
	if request.ColdMilliseconds > 0 {
		leader.Board.RecordReportedCold(request.Limit.Server, time.UnixMilli(request.Limit.Started), now.Add(time.Duration(request.ColdMilliseconds)*time.Millisecond), now)
	}
	reservation, ok := leader.Reserve(request.Limit.Server, request.Team, time.Duration(request.PatienceMilliseconds)*time.Millisecond)
	if !ok {
		return nil, errNotLeading
	}
	return &coordinationpb.ReserveReply{
		Granted:          reservation.Granted,
		WaitMilliseconds: reservation.At.Sub(now).Milliseconds(),
		NextMilliseconds: reservation.NextAt.Sub(now).Milliseconds(),
		KnowsCold:        true,
	}, nil
}

// Reserve asks the domain's leader for a turn of a server. Without an answer it keeps to
// this instance's part of the bound.
func (m *Member) Reserve(ctx context.Context, server pomelospring.FleetServer, team string, latest time.Time) pomelospring.Reservation {
	now := m.Clock()
	bound := m.Board.BoundOf(server.ID, now)
	if !bound.Limited() {
		return reserve(nil, server.ID, team, 0, latest, now)
	}
	bound.Limit.Server = bound.Server
	if bound.Limit.Started.IsZero() {
		bound.Limit.Started = server.Started
	}
	reservation, err := m.reserveAtLeader(ctx, bound, team, latest)
	if err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.pacing.Forget(server.ID)
		return reservation
	}
	events.Log(m.Logger, events.LimitDivided, log.Fields{
		"server":    server.ID,
		"perSecond": bound.PerSecond(1),
		"cold":      bound.ColdPerSecond > 0,
		"instances": m.InstanceCount(),
		"error":     err.Error(),
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.divided == nil {
		m.divided = map[string]bool{}
	}
	m.divided[server.ID] = true
	if bound.ColdPerSecond > 0 {
		return m.reserveColdPart(bound, latest, m.Clock())
	}
	instances := m.instances
	if instances == 0 {
		instances = assumedInstances
	}
	return reserve(&m.pacing, server.ID, team, bound.Limit.PerSecond/float64(instances), latest, m.Clock())
}

// askAgain lets calls ask the leader, which has just replied, for turns of the servers of
// which this instance used its own part: its next turn of these may be far away.
func (m *Member) askAgain() {
	m.mu.Lock()
	divided := m.divided
	m.divided = nil
	m.mu.Unlock()
	for id := range divided {
		m.Board.ForgetNextTurn(id)
	}
}

// reserveAtLeader asks the domain's leader for a turn.
func (m *Member) reserveAtLeader(ctx context.Context, bound fleet.Bound, team string, latest time.Time) (reservation pomelospring.Reservation, err error) {
	address, now := m.Known(), m.Clock()
	patience := latest.Sub(now)
	switch {
	case address == "" || !m.LeaderAnswers():
		return pomelospring.Reservation{}, errNoLeader
	case address == m.Address:
		reservation, ok := m.Leader.Reserve(bound.Server, team, patience)
		if !ok {
			return pomelospring.Reservation{}, errNotLeading
		}
		return reservation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).Reserve(ctx, &coordinationpb.ReserveRequest{
		Domain:               m.Domain,
		Limit:                limitsToProto([]fleet.ServerLimit{bound.Limit}, now)[0],
		ColdMilliseconds:     max(0, bound.ColdUntil.Sub(now).Milliseconds()),
		PatienceMilliseconds: patience.Milliseconds(),
		Team:                 team,
	})
	if err != nil {
		return pomelospring.Reservation{}, err
	}
	if bound.ColdPerSecond > 0 && !reply.KnowsCold {
		return pomelospring.Reservation{}, errColdUnknown
	}
	now = m.Clock()
	return pomelospring.Reservation{
		Granted: reply.Granted,
		At:      now.Add(time.Duration(reply.WaitMilliseconds) * time.Millisecond),
		NextAt:  now.Add(time.Duration(reply.NextMilliseconds) * time.Millisecond),
	}, nil
}

// Reserve implements pomelospring.Coordinator.
func (c *PlacementCoordinator) Reserve(ctx context.Context, server pomelospring.FleetServer, team string, latest time.Time) (reservation pomelospring.Reservation) {
	for _, member := range c.Members {
		if member.Domain == server.Domain {
			reservation = member.Reserve(ctx, server, team, latest)
			c.Board.RecordNextTurn(server.ID, reservation.NextAt)
			return reservation
		}
	}
	return reservation
}

func limitsToProto(limits []fleet.ServerLimit, now time.Time) (list []*coordinationpb.ServerLimit) {
	for _, limit := range limits {
		list = append(list, &coordinationpb.ServerLimit{
			Server:          limit.Server,
			Started:         limit.Started.UnixMilli(),
			PerSecond:       limit.PerSecond,
			AgeMilliseconds: now.Sub(limit.At).Milliseconds(),
		})
	}
	return list
}

func limitsFromProto(list []*coordinationpb.ServerLimit, now time.Time) (limits []fleet.ServerLimit) {
	for _, entry := range list {
		limits = append(limits, fleet.ServerLimit{
			Server:    entry.Server,
			Started:   time.UnixMilli(entry.Started),
			PerSecond: entry.PerSecond,
			At:        now.Add(-time.Duration(entry.AgeMilliseconds) * time.Millisecond),
		})
	}
	return limits
}
