package coordination

import "time"

const (
	// minDifferenceTime is how long the server lists of an instance and its leader must
	// differ until the instance requests a complete list. It doubles with each request,
	// up to maxDifferenceTime, as each may hold back servers of a restored store.
	minDifferenceTime = time.Second
	maxDifferenceTime = 16 * time.Second
)

// listDifference is what an instance knows of a server list that is not its leader's.
type listDifference struct {
	// requestAt is when a complete list is requested; zero if there is no difference.
	requestAt time.Time
	// wait is the time to the next request.
	wait time.Duration
}

// compareLists compares the servers listed here with those that the leader lists.
func (m *Member) compareLists(leaderDigest uint64, now time.Time) {
	same := m.Board.ServerDigest() == leaderDigest
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.difference
	switch {
	case same:
		*d = listDifference{}
	case d.requestAt.IsZero():
		d.wait = minDifferenceTime
		d.requestAt = now.Add(d.wait)
	}
}

// listsDiffer reports whether to request a complete list because changes alone have not
// made the lists equal.
func (m *Member) listsDiffer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.difference
	now := m.Clock()
	if d.requestAt.IsZero() || now.Before(d.requestAt) {
		return false
	}
	d.wait = min(2*d.wait, maxDifferenceTime)
	d.requestAt = now.Add(d.wait)
	return true
}
