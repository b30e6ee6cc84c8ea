package pacing

import (
	"maps"
	"math"
	"time"
)

// shareWindow is the time constant with which the use of a server by a team is forgotten.
const shareWindow = 4 * time.Second

const (
	// minUse is the use from which a team counts as one that asks for turns, and
	// minRefused that from which it counts as refused. A team yields to one that has got
	// fewer turns by more than shareMargin.
	minUse      = 0.1
	minRefused  = 0.5
	shareMargin = 0.5
)

// use is what a team asked of a server lately, decayed over shareWindow.
type use struct {
	granted float64
	refused float64
	at      time.Time
}

// use returns the use of a server by a team, decayed until now.
func (s *Schedule) use(server, team string, now time.Time) *use {
	teams := s.uses[server]
	if teams == nil {
		if s.uses == nil {
			s.uses = map[string]map[string]*use{}
		}
		teams = map[string]*use{}
		s.uses[server] = teams
	}
	own := teams[team]
	if own == nil {
		if len(teams) >= maxTeams {
			maps.DeleteFunc(teams, func(_ string, u *use) bool { return now.Sub(u.at) > shareWindow })
		}
		own = &use{
			at: now,
		}
		teams[team] = own
	}
	own.decay(now)
	return own
}

func (u *use) decay(now time.Time) {
	retained := math.Exp(-now.Sub(u.at).Seconds() / shareWindow.Seconds())
	u.granted *= retained
	u.refused *= retained
	u.at = now
}

// isHeldBack reports whether a team with a use of a server gets no turn now, as others
// have got fewer lately: it leaves one free for each of them, and all while one of these is
// refused. A turn that has been free for an interval is for anyone.
func (s *Schedule) isHeldBack(server string, own *use, at, freeSince time.Time, interval time.Duration, latest, now time.Time) bool {
	if now.Sub(freeSince) >= interval {
		return false
	}
	for _, other := range s.uses[server] {
		other.decay(now)
		if other == own || other.granted+shareMargin >= own.granted || other.granted+other.refused < minUse {
			continue
		}
		if other.refused >= minRefused {
			return true
		}
		at = at.Add(interval)
	}
	return at.After(now.Add(interval)) && at.After(latest)
}
