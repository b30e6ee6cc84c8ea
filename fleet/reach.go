package fleet

import (
	"time"
)

const (
	// cutTime is how long a failure domain is taken to be cut off after the
	// last connection that timed out; the next call then tries it again.
	cutTime = time.Second
	// cutEvidence is how many different things must have gone silent: one
	// server alone may be down, and one leader alone may be suspended.
	cutEvidence = 2
)

// leaderEvidence stands for a domain's leader among what went silent.
const leaderEvidence = "leader"

// reach is what speaks for a failure domain being cut off from here.
type reach struct {
	// silent are the servers that could not be connected to in time, and the
	// leader, since anything of the domain was heard last.
	silent map[string]bool
	// timedOutAt is the last connection to a server that timed out.
	timedOutAt time.Time
}

// RecordLeaderTimeout notes an exchange with a domain's leader that got no answer.
func (b *Board) RecordLeaderTimeout(domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reachOf(domain).silent[leaderEvidence] = true
}

// RecordConnectTimeout notes a connection to a backend server that timed out, and reports
// whether its domain is taken to be cut off from now on.
func (b *Board) RecordConnectTimeout(server string, now time.Time) (cutOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	domain := b.servers[server].Domain
	before := b.cutOff(domain, now)
	r := b.reachOf(domain)
	r.silent[server] = true
	r.timedOutAt = now
	return !before && b.cutOff(domain, now)
}

// RecordContact notes a sign of life of a domain, and reports whether it was taken
// to be cut off.
func (b *Board) RecordContact(domain string, now time.Time) (wasCutOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasCutOff = b.cutOff(domain, now)
	delete(b.reaches, domain)
	return wasCutOff
}

// CutOff reports whether a failure domain seems to be cut off from this
// instance's.
func (b *Board) CutOff(domain string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cutOff(domain, now)
}

// cutOff is CutOff with the lock held.
func (b *Board) cutOff(domain string, now time.Time) bool {
	r := b.reaches[domain]
	if r == nil || domain == b.Domain {
		return false
	}
	return len(r.silent) >= cutEvidence && !r.timedOutAt.IsZero() && now.Sub(r.timedOutAt) < cutTime
}

func (b *Board) reachOf(domain string) *reach {
	r := b.reaches[domain]
	if r == nil {
		r = &reach{
			silent: map[string]bool{},
		}
		b.reaches[domain] = r
	}
	return r
}
