package fleet

import (
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// pathProbeInterval is the time between probes of a path that counts as broken, and
	// unreachableProbeInterval the same while other instances don't reach its server
	// either.
	pathProbeInterval        = 500 * time.Millisecond
	unreachableProbeInterval = 2 * time.Second
	// minPathRecovery is how long the probes of a broken path must succeed until it
	// counts as whole. It doubles, up to maxPathRecovery, with each break that follows
	// within pathRelapseTime of a recovery.
	minPathRecovery = 400 * time.Millisecond
	maxPathRecovery = 3200 * time.Millisecond
	pathRelapseTime = 10 * time.Second
	// unreachableElsewhereTime is how long other instances are not asked again to reach a
	// server which they did not reach.
	unreachableElsewhereTime = time.Second
)

// path is what an instance knows of its network path to one start of a backend server.
type path struct {
	started time.Time
	// brokenSince is zero while the path is whole.
	brokenSince time.Time
	// probedAt is the time of the last probe, and reachedSince since when the probes
	// succeed; zero if the last one failed.
	probedAt     time.Time
	reachedSince time.Time
	recoveredAt  time.Time
	recovery     time.Duration
	// unreachableElsewhereAt is when other instances last did not reach the server.
	unreachableElsewhereAt time.Time
}

// BrokenPath is a path to a backend server over which no connection can be made.
type BrokenPath struct {
	Server                 string
	Since                  time.Time
	UnreachableElsewhereAt time.Time
}

// RecordPathFailure records that no connection to a server could be made, and reports
// whether its path counts as broken from now on.
func (b *Board) RecordPathFailure(server pomelospring.FleetServer, now time.Time) (broke bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, found := b.servers[server.ID]; !found || !listed.Started.Equal(server.Started) {
		return false
	}
	p := b.paths[server.ID]
	if p == nil || !p.started.Equal(server.Started) {
		p = &path{
			started: server.Started,
		}
		b.paths[server.ID] = p
	}
	p.reachedSince = time.Time{}
	if !p.brokenSince.IsZero() {
		return false
	}
	p.recovery = minPathRecovery
	if !p.recoveredAt.IsZero() && now.Sub(p.recoveredAt) < pathRelapseTime {
		p.recovery = min(2*p.recovery, maxPathRecovery)
	}
	p.brokenSince, p.probedAt = now, now
	b.brokenPaths.Add(1)
	return true
}

// RecordPathProbe records whether a probe of a broken path reached the server, and
// reports whether the path is whole from now on.
func (b *Board) RecordPathProbe(server pomelospring.FleetServer, reached bool, now time.Time) (recovered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.paths[server.ID]
	if p == nil || p.brokenSince.IsZero() || !p.started.Equal(server.Started) {
		return false
	}
	if !reached {
		p.reachedSince = time.Time{}
		return false
	}
	if p.reachedSince.IsZero() {
		p.reachedSince = now
	}
	if now.Sub(p.reachedSince) < p.recovery {
		return false
	}
	p.brokenSince, p.recoveredAt = time.Time{}, now
	p.unreachableElsewhereAt = time.Time{}
	b.brokenPaths.Add(-1)
	return true
}

// DuePathProbes returns servers whose paths are to be probed now, those that were probed
// longest ago first, and at most limit of them.
func (b *Board) DuePathProbes(limit int, now time.Time) (due []pomelospring.FleetServer) {
	if b.brokenPaths.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.paths {
		interval := pathProbeInterval
		if p.unreachableElsewhere(now) {
			interval = unreachableProbeInterval
		}
		if !p.brokenSince.IsZero() && now.Sub(p.probedAt) >= interval {
			due = append(due, b.servers[id])
		}
	}
	slices.SortFunc(due, func(x, y pomelospring.FleetServer) int {
		return b.paths[x.ID].probedAt.Compare(b.paths[y.ID].probedAt)
	})
	due = due[:min(len(due), limit)]
	for i := range due {
		b.paths[due[i].ID].probedAt = now
	}
	return due
}

// RecordUnreachableElsewhere records that other instances don't reach a server either.
func (b *Board) RecordUnreachableElsewhere(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.paths[server]; p != nil {
		p.unreachableElsewhereAt = now
	}
}

// UnreachableElsewhere reports whether other instances did not reach a server shortly
// before.
func (b *Board) UnreachableElsewhere(server string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.paths[server]
	return p != nil && p.unreachableElsewhere(now)
}

func (p *path) unreachableElsewhere(now time.Time) bool {
	return !p.unreachableElsewhereAt.IsZero() && now.Sub(p.unreachableElsewhereAt) < unreachableElsewhereTime
}

// PathBrokenSince returns since when the path to a server is broken; zero if it is whole.
func (b *Board) PathBrokenSince(server string) time.Time {
	if b.brokenPaths.Load() == 0 {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.paths[server]; p != nil {
		return p.brokenSince
	}
	return time.Time{}
}

// BrokenPaths lists the broken paths.
func (b *Board) BrokenPaths() (broken []BrokenPath) {
	if b.brokenPaths.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.paths {
		if !p.brokenSince.IsZero() {
			broken = append(broken, BrokenPath{
				Server:                 id,
				Since:                  p.brokenSince,
				UnreachableElsewhereAt: p.unreachableElsewhereAt,
			})
		}
	}
	return broken
}

// endPaths forgets the paths to servers that are not listed, and to their earlier starts.
// The caller holds the lock.
func (b *Board) endPaths(servers map[string]pomelospring.FleetServer) {
	for id, p := range b.paths {
		listed, found := servers[id]
		if found && listed.Started.Equal(p.started) {
			continue
		}
		if !p.brokenSince.IsZero() {
			b.brokenPaths.Add(-1)
		}
		delete(b.paths, id)
	}
}
