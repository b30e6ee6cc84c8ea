package room

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time within which the rejections of a server are counted. It
	// is longer than a second by what a rejection may take to be told.
	rejectionWindow = 1150 * time.Millisecond
	// safeFraction is the fraction of the rejections that a server stands which are risked.
	safeFraction = 0.7
	// settleTime is how long a call counts as one that may be turned away. Its rejection
	// would have been told by then. Where one takes longer to be told, up to maxSettleTime,
	// it is that with a margin for slowSettleTime.
	settleTime     = 20 * time.Millisecond
	settleMargin   = 1.5
	maxSettleTime  = 150 * time.Millisecond
	slowSettleTime = 10 * time.Second
	// confirmTime is the time after which a call that was not turned away shows that the
	// server had room for it.
	confirmTime = 100 * time.Millisecond
	// decreaseDivisor divides the room at which a server turned a call away that had room
	// for it before; it grows again by a growthDivisor-th at a time, which risks less than
	// to find the room from above.
	decreaseDivisor = 4
	growthDivisor   = 4
	// growthInterval is the time between steps up to a room that the server had before.
	growthInterval = 20 * time.Millisecond
	// growthDelay is the time from a rejection to the next such step.
	growthDelay = 200 * time.Millisecond
	// probeInterval is the time between steps beyond the room at which the server turned a
	// call away, for one risked rejection a second; it doubles with each rejection, to
	// maxProbeInterval at most.
	probeInterval    = 6 * time.Second
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 30 * time.Second
	// trialInterval is the time between calls to a server that has turned away as many as
	// is safe, or that can't be reached.
	trialInterval = 250 * time.Millisecond
	// fallTime is how long a server that can't be reached gets no call.
	fallTime = 500 * time.Millisecond
	// brokenWindow is the time within which the connections of two instances must break for
	// a server to count as one that fell over: one alone may be cut off from it.
	brokenWindow = time.Second
	// assumedCallTime is how long a call takes, before one has ended.
	assumedCallTime = 100 * time.Millisecond
	// callTimeWeight is the weight of one call in the moving average of the call time.
	callTimeWeight = 0.1
	// dividedFraction is the fraction of its share, if that is less than one call, that an
	// instance uses which decides alone: the calls of such instances don't take turns.
	dividedFraction = 0.25
)

// server is the room of one start of a server.
type server struct {
	started             time.Time
	slots               int
	rejectionsPerSecond float64

	// limit is how many calls may be under way. Calls that it took have shown that it has
	// room for proven, and at ceiling it turned one away; 0 for neither.
	limit   int
	proven  int
	ceiling int
	// sure is the room that the last rejection, of a call beyond it, left undoubted.
	sure int
	// decreasedAt is when limit last fell, and growAt when it may rise again.
	decreasedAt   time.Time
	growAt        time.Time
	probeInterval time.Duration

	held map[Key]*permit
	// unpermitted counts calls without a permit, by instance.
	unpermitted map[string]int
	// rejectedAt has the times of the latest rejections, and brokenAt by instance when a
	// connection broke.
	rejectedAt []time.Time
	brokenAt   map[string]time.Time
	downUntil  time.Time
	// restUntil is when an instance that decides alone and whose share is less than one
	// call may send the next one.
	restUntil time.Time
	callTime  time.Duration
	// settle is shared by all servers of a book.
	settle *settling
}

// settling is how long rejections take to be told.
type settling struct {
	longest time.Duration
	until   time.Time
}

// time is how long a call counts as one that may be turned away.
func (s *settling) time(now time.Time) time.Duration {
	if now.After(s.until) {
		return settleTime
	}
	return s.longest
}

// record records that a rejection took a time to be told.
func (s *settling) record(took time.Duration, now time.Time) {
	if settle := min(maxSettleTime, time.Duration(settleMargin*float64(took))); settle >= s.time(now) {
		s.longest, s.until = settle, now.Add(slowSettleTime)
	}
}

// permit is a permit that was given out and not returned.
type permit struct {
	// level is the number of calls under way with this one.
	level     int
	grantedAt time.Time
	expiresAt time.Time
	confirmed bool
}

func newServer(named *Server, settle *settling, share, phase float64, now time.Time) *server {
	s := &server{
		started:             named.Started,
		slots:               max(1, named.Slots),
		rejectionsPerSecond: named.RejectionsPerSecond,
		held:                map[Key]*permit{},
		unpermitted:         map[string]int{},
		brokenAt:            map[string]time.Time{},
		callTime:            assumedCallTime,
		settle:              settle,
	}
	s.limit = s.slots
	if named.Room > 0 && named.Room < s.slots {
		s.limit, s.ceiling = named.Room, named.Room+1
	}
	s.probeInterval = s.firstProbeInterval()
	s.growAt = now.Add(s.probeInterval)
	if share > 0 {
		s.restUntil = now.Add(time.Duration(phase * float64(s.rest(share, s.callTime))))
	}
	return s
}

// firstProbeInterval is the time between steps beyond the room at which the server turned a
// call away, before it turns another one away.
func (s *server) firstProbeInterval() time.Duration {
	return max(minProbeInterval, probeInterval/time.Duration(s.safeRejections()))
}

// safeRejections is how many rejections within rejectionWindow are risked.
func (s *server) safeRejections() int {
	return max(1, int(s.rejectionsPerSecond*safeFraction))
}

// underWay returns how many calls are under way.
func (s *server) underWay() (calls int) {
	calls = len(s.held)
	for _, count := range s.unpermitted {
		calls += count
	}
	return calls
}

// atRisk counts the rejections within a window, and the calls that may still be turned
// away.
func (s *server) atRisk(window time.Duration, now time.Time) (rejected, unsettled int) {
	s.rejectedAt = slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= window })
	for _, held := range s.held {
		if now.Sub(held.grantedAt) < s.settle.time(now) {
			unsettled++
		}
	}
	return len(s.rejectedAt), unsettled
}

// takes reports whether a call may be sent now, and lets the room grow where that is due.
func (s *server) takes(share float64, now time.Time) bool {
	s.confirm(now)
	calls := s.underWay()
	if now.Before(s.downUntil) {
		return false
	}
	if share > 0 {
		return s.takesShare(share, calls, now)
	}
	rejected, unsettled := s.atRisk(rejectionWindow, now)
	if rejected >= s.safeRejections() {
		return calls < s.sure && unsettled == 0 || calls == 0 && now.Sub(s.rejectedAt[rejected-1]) >= trialInterval
	}
	if rejected+unsettled >= s.safeRejections() {
		return false
	}
	s.grow(calls, now)
	return calls < s.limit
}

// takesShare is takes for an instance that has a share of the room.
func (s *server) takesShare(share float64, calls int, now time.Time) bool {
	safe := share * float64(s.safeRejections())
	window := time.Duration(float64(rejectionWindow) / min(1, safe))
	if rejected, unsettled := s.atRisk(window, now); rejected+unsettled >= max(1, int(safe)) {
		return false
	}
	if room := share * float64(s.limit); room >= 1 {
		return calls < int(room)
	}
	return calls == 0 && !now.Before(s.restUntil)
}

// rest is how long an instance whose share is less than one call sends none after one
// that took a time.
func (s *server) rest(share float64, callTime time.Duration) time.Duration {
	room := share * float64(s.limit)
	if room <= 0 || room >= 1 {
		return 0
	}
	return time.Duration(float64(callTime) * (1/(room*dividedFraction) - 1))
}

// confirm records the room that calls under way have shown.
func (s *server) confirm(now time.Time) {
	for _, held := range s.held {
		if now.Sub(held.grantedAt) >= confirmTime {
			s.prove(held)
		}
	}
}

// prove records that the server took a call.
func (s *server) prove(held *permit) {
	if !held.confirmed && !held.grantedAt.Before(s.decreasedAt) {
		s.proven = max(s.proven, held.level)
	}
	held.confirmed = true
}

// grow raises the limit where it is in use, and has been shown to hold: in steps up to the
// room at which the server turned a call away, and then by one call.
func (s *server) grow(calls int, now time.Time) {
	if calls < s.limit || s.limit >= s.slots || s.proven < s.limit || now.Before(s.growAt) {
		return
	}
	if s.proven >= s.ceiling {
		// It has room for what it turned away before.
		s.ceiling = s.slots + 1
		s.probeInterval = s.firstProbeInterval()
	}
	if s.limit+1 >= s.ceiling {
		s.limit++
		s.growAt = now.Add(growthInterval)
		return
	}
	s.limit = min(s.limit+max(1, s.limit/growthDivisor), s.ceiling-1)
	s.growAt = now.Add(growthInterval)
	if s.limit+1 >= s.ceiling {
		s.growAt = now.Add(s.probeInterval)
	}
}

func (s *server) grant(request *Request, share float64, now time.Time) {
	s.held[request.Key] = &permit{
		level:     s.underWay() + 1,
		grantedAt: now,
		expiresAt: request.ExpiresAt,
	}
	if share > 0 {
		s.restUntil = now.Add(s.rest(share, s.callTime))
	}
}

// finish ends a permit.
func (s *server) finish(key Key, outcome Outcome, share float64, now time.Time) {
	held := s.held[key]
	if held == nil {
		return
	}
	delete(s.held, key)
	switch outcome {
	case Served:
		s.prove(held)
		s.callTime += time.Duration(callTimeWeight * float64(now.Sub(held.grantedAt)-s.callTime))
		if share > 0 {
			s.restUntil = now.Add(s.rest(share, now.Sub(held.grantedAt)))
		}
		delete(s.brokenAt, key.Owner)
	case Rejected:
		s.reject(held, now)
	case Broken:
		s.recordBroken(key.Owner, now)
	case Unsent:
	}
}

// reject records that the server turned a call away.
func (s *server) reject(held *permit, now time.Time) {
	s.rejectedAt = append(s.rejectedAt, now)
	s.settle.record(now.Sub(held.grantedAt), now)
	if held.grantedAt.Before(s.decreasedAt) {
		return
	}
	s.decreasedAt = now
	s.ceiling = held.level
	if s.proven > 0 && held.level > s.proven {
		s.limit = max(1, min(s.limit, held.level-1))
		s.sure = s.proven
		s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
		s.growAt = now.Add(s.probeInterval)
		return
	}
	s.limit = max(1, held.level/decreaseDivisor)
	s.proven, s.sure = 0, 0
	s.growAt = now.Add(growthDelay)
}

// recordBroken records that a connection of an instance could not be made or broke. The
// server counts as one that fell over if those of others did too, or if it has no calls
// of others.
func (s *server) recordBroken(owner string, now time.Time) {
	s.brokenAt[owner] = now
	for other, at := range s.brokenAt {
		if now.Sub(at) > brokenWindow {
			delete(s.brokenAt, other)
		}
	}
	if len(s.brokenAt) < 2 && s.heldByOthers(owner) {
		return
	}
	if s.limit > 1 {
		s.ceiling = max(s.ceiling, s.limit)
	}
	s.limit, s.proven, s.sure = 1, 0, 0
	s.decreasedAt = now
	s.downUntil = now.Add(fallTime)
}

func (s *server) heldByOthers(owner string) bool {
	for key := range s.held {
		if key.Owner != owner {
			return true
		}
	}
	for other := range s.unpermitted {
		if other != owner {
			return true
		}
	}
	return false
}

// permitsPerSecond estimates how many permits are given out in a second.
func (s *server) permitsPerSecond(share float64) float64 {
	room := float64(s.limit)
	if share > 0 {
		if room *= share; room < 1 {
			room *= dividedFraction
		}
	}
	return room / max(time.Millisecond, s.callTime).Seconds()
}
