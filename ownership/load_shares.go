package ownership

import (
	"math"
	"time"
)

// shareHalfLife is the half-life of counted loads; a team that sent no work for
// as long does not count as active.
const shareHalfLife = 30 * time.Second

// loadShares counts the recent adapter loads of each team, so that a team that
// floods the queue does not use up the loads of the others.
type loadShares map[string]*teamShare

// teamShare is the decaying count of loads for one team.
type teamShare struct {
	// lastRequest is the time of the team's latest request.
	lastRequest time.Time
	// loads is the count as of updatedAt.
	loads     float64
	updatedAt time.Time
}

func newLoadShares() loadShares {
	return loadShares{}
}

// recordRequest marks a team as active.
func (l loadShares) recordRequest(team string, now time.Time) {
	t, known := l[team]
	if !known {
		t = &teamShare{
			updatedAt: now,
		}
		l[team] = t
	}
	t.lastRequest = now
}

// recordLoad counts a load for a team.
func (l loadShares) recordLoad(team string, now time.Time) {
	if t, known := l[team]; known {
		t.loads = t.decayed(now) + 1
		t.updatedAt = now
	}
}

// decayed returns the team's load count as of now.
func (t *teamShare) decayed(now time.Time) float64 {
	return t.loads * math.Exp2(-now.Sub(t.updatedAt).Seconds()/shareHalfLife.Seconds())
}

// excess returns by what fraction a team's loads exceed an even share among the
// active teams; 0 if they don't.
func (l loadShares) excess(team string, now time.Time) float64 {
	t, known := l[team]
	if !known {
		return 0
	}
	var loads, teams float64
	for _, other := range l {
		if now.Sub(other.lastRequest) < shareHalfLife {
			loads += other.decayed(now)
			teams++
		}
	}
	if loads < 1 || teams <= 1 {
		return 0
	}
	return max(0, t.decayed(now)/loads*teams-1)
}
