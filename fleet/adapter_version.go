package fleet

import (
	"slices"
	"time"
)

const (
	// versionGracePeriod is how long the versions of an adapter that a declaration
	// replaces may still serve; the requirements allow five seconds.
	versionGracePeriod = 2 * time.Second
	// maxDeclarationDelay is how long after the operators' records were last known to
	// be complete the grace period of a declaration that comes later begins.
	maxDeclarationDelay = 2 * time.Second
)

// declaredVersions holds the versions of an adapter that operators declared. Each
// declaration replaces all older versions when its own grace period ends, whether or
// not a newer one follows.
type declaredVersions struct {
	// required is the oldest version that may serve, but for pending ones whose
	// grace period has ended since.
	required int64
	// pending are the declarations after that one, in order of version and time.
	pending []declaration
}

type declaration struct {
	version    int64
	requiredAt time.Time
}

// newest returns the newest declared version.
func (d *declaredVersions) newest() int64 {
	if len(d.pending) == 0 {
		return d.required
	}
	return d.pending[len(d.pending)-1].version
}

// add records a declaration that is newer than the known ones.
func (d *declaredVersions) add(version int64, requiredAt time.Time) {
	d.pending = slices.DeleteFunc(d.pending, func(known declaration) bool { return known.requiredAt.After(requiredAt) })
	d.pending = append(d.pending, declaration{
		version:    version,
		requiredAt: requiredAt,
	})
}

// minVersion returns the oldest version that may serve now.
func (d *declaredVersions) minVersion(now time.Time) int64 {
	for len(d.pending) > 0 && !now.Before(d.pending[0].requiredAt) {
		d.required = d.pending[0].version
		d.pending = d.pending[1:]
	}
	return d.required
}

// requiredAt returns the oldest version that may serve at a time, as far as is declared.
func (d *declaredVersions) requiredAt(at time.Time) (version int64) {
	version = d.required
	for _, pending := range d.pending {
		if at.Before(pending.requiredAt) {
			break
		}
		version = pending.version
	}
	return version
}

// DeclareVersion records the version of an adapter that operators declared, whose grace
// period begins at a time, unless the known version is at least as new, and reports
// whether it did.
func (b *Board) DeclareVersion(adapter string, version int64, graceBeginsAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	declared := b.declared[adapter]
	if declared == nil {
		declared = &declaredVersions{}
	}
	if declared.newest() >= version {
		return false
	}
	declared.minVersion(graceBeginsAt)
	declared.add(version, graceBeginsAt.Add(versionGracePeriod))
	b.declared[adapter] = declared
	return true
}

// graceBeginsAt returns when the grace period of a declaration begins that is received
// now. It may have been made at any time since the operators' records were last known to
// be complete.
func (b *Board) graceBeginsAt(now time.Time) time.Time {
	confirmedAt := b.operatorConfirmedAt.Load()
	if confirmedAt == nil {
		return time.Time{}
	}
	if latest := confirmedAt.Add(maxDeclarationDelay); latest.Before(now) {
		return latest
	}
	return now
}

// DeclaredVersions returns the newest declared version of each adapter.
func (b *Board) DeclaredVersions() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := make(map[string]int64, len(b.declared))
	for adapter, declared := range b.declared {
		versions[adapter] = declared.newest()
	}
	return versions
}

// MayServe reports whether a version of an adapter may serve at a time, as far as is
// declared now.
func (b *Board) MayServe(adapter string, version int64, at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	declared := b.declared[adapter]
	return declared == nil || version >= declared.requiredAt(at)
}

// minVersion returns the oldest version of an adapter that may serve now. The caller
// holds the lock.
func (b *Board) minVersion(adapter string, now time.Time) int64 {
	if declared := b.declared[adapter]; declared != nil {
		return declared.minVersion(now)
	}
	return 0
}
