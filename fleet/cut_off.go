package fleet

import (
	"time"
)

const (
	// cutOffDuration is how long a failure domain counts as cut off after the
	// last connect timeout; the next call then tries it again.
	cutOffDuration = time.Second
	// minCutOffEvidence is how many different peers of the domain must have timed
	// out: a single server may be down, and a single leader may be suspended.
	minCutOffEvidence = 2
)

// leaderEvidence represents a domain's leader in cutOffEvidence.unresponsive.
const leaderEvidence = "leader"

// cutOffEvidence is the evidence that a failure domain is cut off from this
// instance.
type cutOffEvidence struct {
	// unresponsive holds the servers that timed out on connect, and the leader if
	// it did not answer, since the last contact with the domain.
	unresponsive map[string]bool
	// timedOutAt is the time of the last connect timeout of a server.
	timedOutAt time.Time
}

// RecordLeaderTimeout records that a domain's leader did not answer an exchange.
func (b *Board) RecordLeaderTimeout(domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evidenceOf(domain).unresponsive[leaderEvidence] = true
}

// RecordConnectTimeout records that a connection to a backend server timed out,
// and reports whether this makes its domain count as cut off.
func (b *Board) RecordConnectTimeout(server string, now time.Time) (cutOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	domain := b.servers[server].Domain
	before := b.cutOff(domain, now)
	e := b.evidenceOf(domain)
	e.unresponsive[server] = true
	e.timedOutAt = now
	return !before && b.cutOff(domain, now)
}

// RecordContact records an answer from a domain, which clears the evidence of a
// cut-off, and reports whether the domain counted as cut off.
func (b *Board) RecordContact(domain string, now time.Time) (wasCutOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasCutOff = b.cutOff(domain, now)
	delete(b.evidence, domain)
	return wasCutOff
}

// CutOff reports whether a failure domain counts as cut off from this instance;
// the instance's own domain never does.
func (b *Board) CutOff(domain string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cutOff(domain, now)
}

// cutOff is CutOff for callers that hold the lock.
func (b *Board) cutOff(domain string, now time.Time) bool {
	e := b.evidence[domain]
	if e == nil || domain == b.Domain {
		return false
	}
	return len(e.unresponsive) >= minCutOffEvidence && !e.timedOutAt.IsZero() && now.Sub(e.timedOutAt) < cutOffDuration
}

// evidenceOf returns a domain's evidence, and creates it if there is none. The
// caller holds the lock.
func (b *Board) evidenceOf(domain string) *cutOffEvidence {
	e := b.evidence[domain]
	if e == nil {
		e = &cutOffEvidence{
			unresponsive: map[string]bool{},
		}
		b.evidence[domain] = e
	}
	return e
}
