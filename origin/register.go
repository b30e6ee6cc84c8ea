// Package origin keeps at which software version streams began, so that they go on at
// that version only, also after all instances have started anew.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// retention is how long a start is kept, and how long a software version counts
	// after its last server has left. Callers take no stream up after that.
	retention = time.Minute
	// rewriteInterval is the time after which a start that may still be asked for is
	// written again: the store's history is short.
	rewriteInterval = 8 * time.Second
	// maxStarts bounds the starts that are kept.
	maxStarts = 200_000
)

// Register holds the starts of streams, and the software versions of each service. It is
// safe for concurrent use.
type Register struct {
	mu     sync.Mutex
	starts map[string]*kept
	// untold has the own starts of which no other instance was told, by service, oldest
	// first.
	untold map[string][]*kept
	// versions has when a server of each software version was last listed, by service.
	versions map[string]map[string]time.Time
	// complete is set while versions has those from before this instance started, and
	// those of times in which its list of servers was not current.
	complete bool
	// order has the starts in the order in which they were added.
	order []*kept
}

// kept is a start with when it was last written; zero for a start that was read.
type kept struct {
	pomelospring.StreamStart
	// own says that this instance answered the stream, and so writes its start.
	own       bool
	writtenAt time.Time
	keptAt    time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		starts:   map[string]*kept{},
		untold:   map[string][]*kept{},
		versions: map[string]map[string]time.Time{},
	}
}

// Begin adds the start of a stream that this instance answers.
func (r *Register) Begin(start pomelospring.StreamStart, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(start, true, now)
}

// Merge adds starts that other instances recorded.
func (r *Register) Merge(starts []pomelospring.StreamStart, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range starts {
		r.see(start.Service, start.Software, now)
		r.add(start, false, now)
	}
}

// add adds a start, and drops those that are too old or too many. Of a call that began
// streams at several software versions it is not known which one its caller goes on with.
// The caller holds the lock.
func (r *Register) add(start pomelospring.StreamStart, own bool, now time.Time) {
	if k := r.starts[start.Call]; k != nil {
		k.Ambiguous = k.Ambiguous || start.Ambiguous || k.Software != start.Software || k.Service != start.Service
		return
	}
	for len(r.order) > 0 && (len(r.order) >= maxStarts || now.Sub(r.order[0].keptAt) > retention) {
		if oldest := r.order[0]; r.starts[oldest.Call] == oldest {
			delete(r.starts, oldest.Call)
		}
		r.order = r.order[1:]
	}
	k := &kept{
		StreamStart: start,
		own:         own,
		keptAt:      now,
	}
	r.starts[start.Call] = k
	r.order = append(r.order, k)
}

// recentOnes drops the starts that are no longer kept from the beginning of a list.
func recentOnes(list []*kept, now time.Time) []*kept {
	for len(list) > 0 && now.Sub(list[0].keptAt) > retention {
		list = list[1:]
	}
	return list
}

// Find returns the start of a stream by the call that began it.
func (r *Register) Find(call string) (start pomelospring.StreamStart, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.starts[call]; k != nil {
		return k.StreamStart, true
	}
	return pomelospring.StreamStart{}, false
}

// NotTold records that no other instance could be told of own starts.
func (r *Register) NotTold(starts []pomelospring.StreamStart, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range starts {
		if k := r.starts[start.Call]; k != nil {
			r.untold[start.Service] = append(recentOnes(r.untold[start.Service], now), k)
		}
	}
}

// FindAll returns those of the starts that calls made that are known.
func (r *Register) FindAll(calls []string) (starts []pomelospring.StreamStart) {
	for _, call := range calls {
		if start, found := r.Find(call); found {
			starts = append(starts, start)
		}
	}
	return starts
}

// Untold lists the own starts of which other instances should be told, once each, at
// services with several software versions.
func (r *Register) Untold(now time.Time) (starts []pomelospring.StreamStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, list := range r.untold {
		if !r.several(service, now) {
			continue
		}
		for _, k := range list {
			starts = append(starts, k.StreamStart)
		}
		delete(r.untold, service)
	}
	return starts
}

// Unwritten lists the own starts that the store should have and lacks, at services with
// several software versions.
func (r *Register) Unwritten(now time.Time) (starts []pomelospring.StreamStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.starts {
		if k.own && k.isDue(now) && r.several(k.Service, now) {
			starts = append(starts, k.StreamStart)
		}
	}
	return starts
}

// isDue reports whether an own start has to be written, or written again for a caller that
// still waits for its stream.
func (k *kept) isDue(now time.Time) bool {
	if k.writtenAt.IsZero() {
		return now.Sub(k.keptAt) < retention
	}
	isAwaited := k.Deadline.IsZero() || now.Before(k.Deadline)
	return now.Sub(k.writtenAt) > rewriteInterval && isAwaited && now.Sub(k.keptAt) < retention
}

// Written records that the store has starts.
func (r *Register) Written(starts []pomelospring.StreamStart, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range starts {
		if k := r.starts[start.Call]; k != nil {
			k.writtenAt = now
		}
	}
}

// SeeVersions records the software versions whose servers are listed.
func (r *Register) SeeVersions(versions map[string][]string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, list := range versions {
		for _, software := range list {
			r.see(service, software, now)
		}
	}
	for _, seen := range r.versions {
		maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	}
}

// see records a version of a service. The caller holds the lock.
func (r *Register) see(service, software string, now time.Time) {
	seen := r.versions[service]
	if seen == nil {
		seen = map[string]time.Time{}
		r.versions[service] = seen
	}
	seen[software] = now
}

// AddHistory adds the versions that served before this instance started.
func (r *Register) AddHistory(versions map[string][]string, now time.Time) {
	r.SeeVersions(versions, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// MissHistory records that versions may have come and gone unseen.
func (r *Register) MissHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = false
}

// Versions lists the software versions of a service that serve or did so lately. complete
// is false while others may have served before this instance started, or unseen since.
func (r *Register) Versions(service string) (versions []string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.versions[service])), r.complete
}

// Services lists the services whose versions are known.
func (r *Register) Services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.versions))
}

// Several reports whether several software versions serve a service, or did so lately.
func (r *Register) Several(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.several(service, now)
}

func (r *Register) several(service string, now time.Time) bool {
	count := 0
	for _, at := range r.versions[service] {
		if now.Sub(at) <= retention {
			count++
		}
	}
	return count > 1
}
