package ownership

import (
	"math"
	"time"
)

// shareHalfLife is how fast loads and teams are forgotten.
const shareHalfLife = 30 * time.Second

// loadShares keeps which teams' requests the loads of late were for, so that a
// team that floods does not take the loads of the others.
type loadShares map[string]*teamShare

type teamShare struct {
	// seen is when the team last sent work.
	seen  time.Time
	loads float64
	at    time.Time
}

func newLoadShares() loadShares {
	return loadShares{}
}

// see notes that a team sends work.
func (l loadShares) see(team string, now time.Time) {
	t, known := l[team]
	if !known {
		t = &teamShare{
			at: now,
		}
		l[team] = t
	}
	t.seen = now
}

// add counts a load for a team.
func (l loadShares) add(team string, now time.Time) {
	if t, known := l[team]; known {
		t.loads = t.decayed(now) + 1
		t.at = now
	}
}

func (t *teamShare) decayed(now time.Time) float64 {
	return t.loads * math.Exp2(-now.Sub(t.at).Seconds()/shareHalfLife.Seconds())
}

// excess is how far a team's part of the loads is over an even part among the
// teams that sent work of late; 0 while it is not.
func (l loadShares) excess(team string, now time.Time) float64 {
	t, known := l[team]
	if !known {
		return 0
	}
	var loads, teams float64
	for _, other := range l {
		if now.Sub(other.seen) < shareHalfLife {
			loads += other.decayed(now)
			teams++
		}
	}
	if loads < 1 || teams <= 1 {
		return 0
	}
	return max(0, t.decayed(now)/loads*teams-1)
}
