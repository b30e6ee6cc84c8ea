package coordination

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/pacing"
)

const (
	// leaderColdFraction is the part of what a cold server takes that its leader gives out,
	// and partsColdFraction what the instances without the leader's answer take together.
	// A cold server may get one and a half times what it takes and some calls.
	leaderColdFraction = 0.9
	partsColdFraction  = 0.6
	// coldCreditCalls is the number of calls that a cold server may get at once.
	coldCreditCalls = 2
	// coldHorizon is how far ahead the turns of a cold server are given out.
	coldHorizon = time.Second
	// assumedColdInstances is the number of instances by which one divides the rate of a
	// cold server that has not heard from a leader yet: well over those of any fleet, as
	// turns at random fall together.
	assumedColdInstances = 1000
	// divisionTime is how long an instance divides by the number of instances that a leader
	// told it although one that may not know all of them yet tells it a smaller one.
	divisionTime = 10 * time.Second
)

// errColdUnknown is returned where the leader does not know cold servers.
var errColdUnknown = errors.New("the leader does not know cold servers")

// division is this instance's place among those that divide a rate.
type division struct {
	instances int
	// rank is from 1; 0 if it is unknown.
	rank int
	// until is when a smaller number of instances counts.
	until time.Time
}

// reserveCold gives out the next turn of a cold server; ok is false while turns that another
// leader gave out may not have passed. The lock is held.
func (l *Leader) reserveCold(server, team string, bound fleet.Bound, patience time.Duration, now time.Time) (reservation pomelospring.Reservation, ok bool) {
	if now.Before(l.coldFrom) {
		return pomelospring.Reservation{}, false
	}
	latest := now.Add(min(patience, coldHorizon))
	return l.coldPacing.Reserve(server, team, bound.PerSecond(leaderColdFraction), latest, now), true
}

// reserveColdPart gives out the next of this instance's own turns of a cold server. The lock
// is held.
func (m *Member) reserveColdPart(bound fleet.Bound, latest, now time.Time) pomelospring.Reservation {
	share := pacing.Share{
		PerSecond: bound.PerSecond(partsColdFraction),
		Parts:     m.division.instances,
		Phase:     m.phase(),
	}
	if share.Parts == 0 {
		share.Parts = assumedColdInstances
	}
	if horizon := now.Add(coldHorizon); latest.After(horizon) {
		latest = horizon
	}
	return m.coldPart.Reserve(bound.Server, share, bound.ColdUntil, latest, now)
}

// phase returns this instance's place among those that divide a rate; a random one if it
// has none. The lock is held.
func (m *Member) phase() float64 {
	if m.division.rank > 0 && m.division.rank <= m.division.instances {
		return float64(m.division.rank-1) / float64(m.division.instances)
	}
	if m.randomPhase == 0 {
		m.randomPhase = rand.Float64()
	}
	return m.randomPhase
}

// notCounted is the rank that a new leader tells which has not heard from all instances.
const notCounted = -1

// rank returns the rank of an instance among the live ones. The lock is held.
func (l *Leader) rank(instance string, now time.Time) int {
	if now.Before(l.coldFrom) {
		return notCounted
	}
	return l.ranks[instance]
}

// setDivision records the number of instances and this one's rank that a leader told. The
// lock is held.
func (m *Member) setDivision(instances, rank int, now time.Time) {
	if rank == notCounted {
		return
	}
	if instances < m.division.instances && now.Before(m.division.until) {
		return
	}
	m.division = division{
		instances: instances,
		rank:      rank,
		until:     now.Add(divisionTime),
	}
}

// notCold is the number of milliseconds that tells of a server that it isn't cold.
const notCold = -1

// coldToProto returns how long a server is still cold.
func coldToProto(server pomelospring.FleetServer, now time.Time) (left int64) {
	switch {
	case server.ColdUntil.IsZero():
		return 0
	case server.ColdUntil.After(now):
		return max(1, server.ColdUntil.Sub(now).Milliseconds())
	}
	return notCold
}

// coldFromProto returns until when a server is cold.
func coldFromProto(entry *coordinationpb.ServerEntry, now time.Time) (until time.Time) {
	switch {
	case entry.ColdMilliseconds == 0:
		return time.Time{}
	case entry.ColdMilliseconds < 0:
		return pomelospring.NotCold
	}
	return now.Add(time.Duration(entry.ColdMilliseconds) * time.Millisecond)
}
