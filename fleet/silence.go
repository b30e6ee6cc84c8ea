package fleet

import "time"

const (
	// minProbeInterval is the time from the silence of a backend server to the next
	// call that is sent there. It doubles with each call that gets no answer, up to
	// maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
)

// silence is what an instance knows of a backend server that stopped answering.
type silence struct {
	// probeAt is when the next call may be sent there; zero if the server answers.
	probeAt time.Time
	// probes counts the calls sent since the server is silent.
	probes int
	// answeredAt is when the server last answered a call.
	answeredAt time.Time
}

// avoids reports whether calls avoid the server.
func (s *silence) avoids(now time.Time) bool { return now.Before(s.probeAt) }

// probeInterval returns the time from a call at a silent server to the next one.
func (s *silence) probeInterval() time.Duration {
	interval := minProbeInterval
	for range s.probes {
		interval = min(2*interval, maxProbeInterval)
	}
	return interval
}

// RecordSilence records that a call waits for a backend server since a time, and
// reports whether the server counts as silent, and whether it does so from now on.
// It does unless it has answered another call meanwhile.
func (b *Board) RecordSilence(server string, since, now time.Time) (silent, began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.ownLoad(server).silence
	if s.answeredAt.After(since) {
		return false, false
	}
	if !s.probeAt.IsZero() {
		return true, false
	}
	s.probeAt = now.Add(s.probeInterval())
	return true, true
}

// RecordProbe records that a call is sent to a backend server. If the server is
// silent, the next call waits for a longer time than the one before.
func (b *Board) RecordProbe(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.ownLoad(server).silence
	if s.probeAt.IsZero() {
		return
	}
	s.probes++
	s.probeAt = now.Add(s.probeInterval())
}

// RecordAnswer records that a backend server answered a call, and reports whether
// it counted as silent.
func (b *Board) RecordAnswer(server string, now time.Time) (wasSilent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.ownLoad(server).silence
	wasSilent = !s.probeAt.IsZero()
	*s = silence{
		answeredAt: now,
	}
	return wasSilent
}
