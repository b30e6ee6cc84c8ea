package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// pauseSpreadFraction is the fraction of a pause, at most maxPauseSpread, by which
	// an instance stays away longer, at random: the instances that a server paused at
	// once don't all return at once.
	pauseSpreadFraction = 0.1
	maxPauseSpread      = time.Second
	// minPauseExtension is how much longer a pause must become to be logged again:
	// all calls in flight are rejected with it.
	minPauseExtension = 250 * time.Millisecond
)

// pause is a time in which a server wants nothing from this instance.
type pause struct {
	// until is the end that the server asked for, and resumeAt the end that the
	// instance keeps.
	until    time.Time
	resumeAt time.Time
}

// RecordPause records that a server wants nothing from this instance until a time,
// and returns when the instance sends to it again. changed is set if the server was
// not paused yet, or for a noticeably shorter time.
func (b *Board) RecordPause(server string, until, now time.Time) (resumeAt time.Time, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.pauses[server]
	if _, listed := b.servers[server]; !listed || !until.After(known.until) || !until.After(now) {
		return known.resumeAt, false
	}
	changed = !now.Before(known.resumeAt) || until.Sub(known.until) >= minPauseExtension
	spread := min(maxPauseSpread, time.Duration(pauseSpreadFraction*float64(until.Sub(now))))
	resumeAt = until.Add(rand.N(spread + 1))
	b.index.forgetPauses()
	b.pauses[server] = pause{
		until:    until,
		resumeAt: resumeAt,
	}
	return resumeAt, changed
}

// Pauses returns when each listed server that is paused accepts requests of this instance
// again.
func (b *Board) Pauses(now time.Time) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	pauses := map[string]time.Time{}
	for id, p := range b.pauses {
		if _, listed := b.servers[id]; listed && now.Before(p.resumeAt) {
			pauses[id] = p.resumeAt
		}
	}
	return pauses
}

// PauseEnd returns when the first of the servers that could take a call accepts
// calls of this instance again. paused is false if one of them does so now, or if
// there are none. A server without the call's adapter could load it.
func (b *Board) PauseEnd(service string, call *pomelospring.Call, now time.Time) (end time.Time, paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pauses) == 0 {
		return time.Time{}, false
	}
	p := b.index.pool(service, call)
	if now.Before(p.pausedUntil) {
		return p.pausedUntil, true
	}
	skipped := false
	for id := range p.all() {
		server := b.servers[id]
		if server.Draining {
			continue
		}
		if call.NeedsAdapter() && b.cutOff(server.Domain, now) || !b.InHomes(call.Homes, server.Domain) {
			skipped = true
			continue
		}
		resumeAt := b.pauses[id].resumeAt
		if !now.Before(resumeAt) {
			return time.Time{}, false
		}
		if !paused || resumeAt.Before(end) {
			end, paused = resumeAt, true
		}
	}
	if !skipped {
		p.pausedUntil = end
	}
	return end, paused
}

// paused reports whether a server wants nothing from this instance now. The caller
// holds the lock.
func (b *Board) paused(server string, now time.Time) bool {
	return now.Before(b.pauses[server].resumeAt)
}

// endPauses forgets pauses that are over. The others are kept without their server's
// entry, which may be missing only for a moment. The caller holds the lock.
func (b *Board) endPauses(now time.Time) {
	for id, p := range b.pauses {
		if !now.Before(p.resumeAt) {
			delete(b.pauses, id)
		}
	}
}
