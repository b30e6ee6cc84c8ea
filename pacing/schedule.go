// Package pacing decides when the next calls may be sent to backend servers that name
// how many requests a second they take.
package pacing

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// minCreditCalls and creditTime bound what a server that was idle may get at once:
	// minCreditCalls calls, or what it takes within creditTime.
	minCreditCalls = 2
	creditTime     = 500 * time.Millisecond
	// maxServers bounds the servers whose last turn is remembered, and maxTeams the teams
	// of each whose use is.
	maxServers = 4096
	maxTeams   = 256
)

// Schedule gives out the turns of servers: the times at which they get their next
// calls. It is not safe for concurrent use.
type Schedule struct {
	// KeepsCredit is set if the turns that an idle server did not use may be used
	// later, few of them at once. Without it, a server's first turn is one interval
	// after the first reservation. That is for instances that each have a part of the
	// rate, as their credits would add up.
	KeepsCredit bool
	// CreditCalls bounds these turns if it is not 0.
	CreditCalls int

	// next has, by server, the earliest time of its next turn, credit left aside.
	next map[string]time.Time
	// uses has the recent use of servers by teams.
	uses map[string]map[string]*use
}

// Reserve gives out the next turn of a server that takes perSecond calls to a team,
// unless it is later than latest. Where calls wait for turns, a team leaves some to those
// that have got fewer lately.
func (s *Schedule) Reserve(server, team string, perSecond float64, latest, now time.Time) pomelospring.Reservation {
	interval := time.Duration(float64(time.Second) / perSecond)
	next := s.start(server, interval, now)
	at := s.turnAt(next, interval, now)
	own := s.use(server, team, now)
	switch {
	case at.After(latest):
		own.refused++
	case !s.isHeldBack(server, own, at, next.Add(-s.credit(interval)), interval, latest, now):
		own.granted++
		if next.Before(now) {
			next = now
		}
		s.next[server] = next.Add(interval)
		return pomelospring.Reservation{
			At:      at,
			Granted: true,
			NextAt:  s.turnAt(s.next[server], interval, now),
		}
	}
	return pomelospring.Reservation{
		At:     at,
		NextAt: at,
	}
}

// start returns the earliest time of a server's next turn, and begins with an empty
// account where nothing is known of it.
func (s *Schedule) start(server string, interval time.Duration, now time.Time) time.Time {
	next, known := s.next[server]
	if !known || !s.KeepsCredit && now.Sub(next) > interval {
		s.makeRoom(now)
		next = now.Add(interval + s.credit(interval))
		s.next[server] = next
	}
	return next
}

// turnAt returns when a call may be sent, given the time of the next turn without
// credit.
func (s *Schedule) turnAt(next time.Time, interval time.Duration, now time.Time) time.Time {
	if at := next.Add(-s.credit(interval)); at.After(now) {
		return at
	}
	return now
}

// credit is by how much a turn may be early after the server was idle.
func (s *Schedule) credit(interval time.Duration) time.Duration {
	if !s.KeepsCredit {
		return 0
	}
	if s.CreditCalls > 0 {
		return time.Duration(s.CreditCalls-1) * interval
	}
	return max((minCreditCalls-1)*interval, creditTime-interval)
}

// Forget lets a server begin with an empty account.
func (s *Schedule) Forget(server string) {
	delete(s.next, server)
	delete(s.uses, server)
}

// makeRoom forgets the servers without turns in the future if there are too many.
func (s *Schedule) makeRoom(now time.Time) {
	if s.next == nil {
		s.next = map[string]time.Time{}
	}
	if len(s.next) < maxServers {
		return
	}
	for server, next := range s.next {
		if next.Before(now) {
			s.Forget(server)
		}
	}
}
