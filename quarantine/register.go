// Package quarantine decides which requests and prompt parts are kept from backend
// servers, because a server ends whenever it begins to answer them. A server that ends
// takes all its calls with it, so what is at fault is found among what these had: it is
// the request, or the part that several of them share, under which most servers ended
// and that no server ever answered.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minCrashes is the number of ended workers from which a part that was never
	// answered is blocked.
	minCrashes = 3
	// minCrashesOfProven is the same for a part that was answered before.
	minCrashesOfProven = 6
	// minCrashesOfProvenRequest is the same for a request that was answered before.
	// Unlike a part, it is not in calls that only resemble each other.
	minCrashesOfProvenRequest = 4
	// minTeams is the number of teams whose calls ended workers under a part from
	// which it is blocked for all teams, not only for these.
	minTeams = 2
	// momentLength is the time within which several workers that end count as one:
	// they end together for a reason of their own.
	momentLength = 200 * time.Millisecond
	// firstTrialInterval is the time from the last crash to the call that is let
	// through as a trial, with minCrashes. Each further crash doubles it, up to
	// maxTrialInterval.
	firstTrialInterval = 30 * time.Second
	maxTrialInterval   = 10 * time.Minute
	// trialTimeout is how long the outcome of a trial is waited for, and
	// trialAskInterval the shortest time between two calls of this instance that may
	// become one.
	trialTimeout     = 10 * time.Second
	trialAskInterval = time.Second
	// crashLifetime is how long a crash counts after it, or after the last refused
	// call with one of its parts.
	crashLifetime = 10 * time.Minute
	// refreshInterval is how much longer crashes must count before refused calls
	// are told to other instances.
	refreshInterval = time.Minute
	// provenLifetime is how long a part counts as proven after an answer on it.
	provenLifetime = 10 * time.Minute
	// maxCrashes, maxSuspects and maxProven bound what is retained: crashes, parts
	// of one crash, and parts with their last answer.
	maxCrashes  = 64
	maxSuspects = 192
	maxProven   = 8192
)

// Crash is a backend server that ended, with the requests that it had not answered or had
// only begun to answer, and the prompt parts of these.
type Crash struct {
	// Server identifies one start of the server.
	Server string
	At     time.Time
	// SeenAt is the time of the crash, or of the last refused call with one of
	// its parts.
	SeenAt time.Time
	// Suspects maps the requests and parts to the teams of their calls.
	Suspects map[string]map[string]bool
	// Resent has the requests that were sent to this server only after another one had
	// ended under them. They count also if both ended at about the same time.
	Resent map[string]bool
}

// Call is a call that a server had not answered, or had only begun to, when it ended.
type Call struct {
	Team string
	// Parts are the prompt parts that other calls may share.
	Parts []string
	// Request identifies the call and its repeats.
	Request string
	// Resent is set if the call was sent because its connection to another server broke.
	Resent bool
}

// Suspects returns the call's request and its parts.
func (c *Call) Suspects() []string {
	if c.Request == "" {
		return c.Parts
	}
	return append(slices.Clone(c.Parts), c.Request)
}

// Output is the last time at which a request or part was answered.
type Output struct {
	Part string
	At   time.Time
}

// Block keeps calls from backend servers.
type Block struct {
	// Parts are what the calls have that are refused: prompt parts, and at most one
	// request. More than one means that they can't be told apart, as they were in the
	// same crashes: only calls that have all of them are refused, so that others show
	// which one is at fault.
	Parts []string
	// Teams has the teams whose calls are refused; nil for all.
	Teams map[string]bool
	// TrialAt is from when one call is let through, to see whether workers still end.
	TrialAt time.Time
	// Crashes is the number of moments at which servers ended under the parts, Servers
	// has the starts of these servers, the last one first, and LastCrashAt is when that
	// one ended.
	Crashes     int
	Servers     []string
	LastCrashAt time.Time
	// ExpiresAt is when the crashes no longer count unless more of the calls come.
	ExpiresAt time.Time
}

// Register holds the crashes that this instance and others have seen. It is safe
// for concurrent use.
type Register struct {
	// OnChange is called with the blocks after each change of them; it may be nil.
	OnChange func(blocks []Block)

	blocking atomic.Bool

	mu sync.Mutex
	// version increases with each change; crashVersions and outputVersions have
	// the version at which a crash or a suspect's output changed.
	version        int64
	crashes        map[string]*Crash
	crashVersions  map[string]int64
	outputVersions map[string]int64
	// proven maps requests and parts to the last time at which they were answered.
	proven map[string]time.Time
	blocks []Block
	// triedUntil is when the outcome of the last trial that this instance granted is
	// known, and askedUntil when it asks for another one, by the first part of the
	// block.
	triedUntil map[string]time.Time
	askedUntil map[string]time.Time
}

// NewRegister returns a register without crashes.
func NewRegister() *Register {
	return &Register{
		crashes:        map[string]*Crash{},
		crashVersions:  map[string]int64{},
		outputVersions: map[string]int64{},
		proven:         map[string]time.Time{},
		triedUntil:     map[string]time.Time{},
		askedUntil:     map[string]time.Time{},
	}
}

// Verdict is what is done with a call.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	Refused
	// Trial lets one call with blocked parts through, if BeginTrial allows it at the
	// instance that grants trials of the block.
	Trial
)

// Judge decides on a call of a team by its request and parts. It returns the block that
// the call is refused or tried for, and when a refused one may be retried.
func (r *Register) Judge(team string, parts []string, now time.Time) (verdict Verdict, block Block, retryAt time.Time) {
	if !r.blocking.Load() {
		return Admitted, Block{}, time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.blocks {
		if !r.blocks[i].covers(team, parts, now) {
			continue
		}
		block = r.blocks[i]
		r.refresh(block.Parts[0], now)
		if now.Before(block.TrialAt) {
			return Refused, block, block.TrialAt
		}
		if now.Before(r.askedUntil[block.Parts[0]]) {
			return Refused, block, now.Add(trialTimeout)
		}
		r.askedUntil[block.Parts[0]] = now.Add(trialAskInterval)
		return Trial, block, now.Add(trialTimeout)
	}
	return Admitted, Block{}, time.Time{}
}

// Blocks lists the blocks in force.
func (r *Register) Blocks(now time.Time) []Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.blocks), func(block Block) bool { return !now.Before(block.ExpiresAt) })
}

// BeginTrial grants a trial of the block with a first part, unless the outcome of the last
// one is not known yet.
func (r *Register) BeginTrial(part string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.triedUntil[part]) {
		return false
	}
	for i := range r.blocks {
		if r.blocks[i].Parts[0] == part && !now.Before(r.blocks[i].TrialAt) {
			r.triedUntil[part] = now.Add(trialTimeout)
			return true
		}
	}
	return false
}

// Suspicion returns at how many moments servers ended under the one of some requests and
// parts under which most did, with no answer on it since.
func (r *Register) Suspicion(suspects []string) (moments int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) == 0 {
		return 0
	}
	counts := momentCounts(r.crashes, r.proven)
	for _, suspect := range suspects {
		moments = max(moments, counts[suspect])
	}
	return moments
}

// Blocked reports whether a call of a team with parts would be refused or tried.
func (r *Register) Blocked(team string, parts []string, now time.Time) bool {
	if !r.blocking.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.blocks {
		if r.blocks[i].covers(team, parts, now) {
			return true
		}
	}
	return false
}

// refresh extends the crashes of a part whose calls still come. The lock is held.
func (r *Register) refresh(part string, now time.Time) {
	changed := false
	for server, crash := range r.crashes {
		if _, suspected := crash.Suspects[part]; suspected && now.Sub(crash.SeenAt) >= refreshInterval {
			crash.SeenAt = now
			r.touch(r.crashVersions, server)
			changed = true
		}
	}
	if changed {
		r.evaluate(now)
	}
}

// touch gives an entry the next version. The lock is held.
func (r *Register) touch(versions map[string]int64, key string) {
	r.version++
	versions[key] = r.version
}

// RecordOutput records that a server answered a request and its parts, or has been doing
// so for long.
func (r *Register) RecordOutput(parts []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, part := range parts {
		changed = r.recordOutput(part, now, now) || changed
	}
	if changed {
		r.evaluate(now)
	}
}

// recordOutput records an answer on one part and reports whether it changes the
// blocks. The lock is held.
func (r *Register) recordOutput(part string, at, now time.Time) (changed bool) {
	before, known := r.proven[part]
	if known && !before.Before(at) {
		return false
	}
	if len(r.proven) >= maxProven && !known {
		r.forgetProven(now)
	}
	r.proven[part] = at
	for _, crash := range r.crashes {
		if _, suspected := crash.Suspects[part]; suspected && !crash.At.Before(before) {
			changed = true
		}
	}
	if !changed {
		return false
	}
	r.touch(r.outputVersions, part)
	return slices.ContainsFunc(r.blocks, func(block Block) bool { return slices.Contains(block.Parts, part) })
}

// forgetProven makes room for more parts: it forgets those that are out of date,
// or half of all. The lock is held.
func (r *Register) forgetProven(now time.Time) {
	for _, lifetime := range []time.Duration{provenLifetime, provenLifetime / 8, provenLifetime / 64, 0} {
		maps.DeleteFunc(r.proven, func(_ string, at time.Time) bool { return now.Sub(at) > lifetime })
		if len(r.proven) <= maxProven/2 {
			return
		}
	}
	excess := len(r.proven) - maxProven/2
	for part := range r.proven {
		if excess--; excess < 0 {
			return
		}
		delete(r.proven, part)
	}
}

// RecordCrash records that a server ended under calls.
func (r *Register) RecordCrash(server string, calls []Call, at, now time.Time) {
	suspects, resent := map[string]map[string]bool{}, map[string]bool{}
	for _, call := range calls {
		if call.Resent {
			resent[call.Request] = true
		}
		for _, suspect := range call.Suspects() {
			if suspects[suspect] == nil {
				suspects[suspect] = map[string]bool{}
			}
			suspects[suspect][call.Team] = true
		}
	}
	if len(suspects) == 0 {
		return
	}
	r.Merge([]Crash{{
		Server:   server,
		At:       at,
		SeenAt:   at,
		Suspects: suspects,
		Resent:   resent,
	}}, nil, now)
}

// Merge adds what another instance knows.
func (r *Register) Merge(crashes []Crash, outputs []Output, now time.Time) {
	if len(crashes) == 0 && len(outputs) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for i := range crashes {
		changed = r.mergeCrash(&crashes[i], now) || changed
	}
	for _, output := range outputs {
		changed = r.recordOutput(output.Part, output.At, now) || changed
	}
	if changed {
		r.evaluate(now)
	}
}

// mergeCrash adds a crash and reports whether anything in it was new. The lock is
// held.
func (r *Register) mergeCrash(crash *Crash, now time.Time) (changed bool) {
	if now.Sub(crash.SeenAt) > crashLifetime {
		return false
	}
	known := r.crashes[crash.Server]
	if known == nil {
		r.makeRoom()
		known = &Crash{
			Server:   crash.Server,
			At:       crash.At,
			SeenAt:   crash.SeenAt,
			Suspects: map[string]map[string]bool{},
			Resent:   map[string]bool{},
		}
		r.crashes[crash.Server] = known
		changed = true
	}
	if crash.SeenAt.Sub(known.SeenAt) >= refreshInterval {
		known.SeenAt = crash.SeenAt
		changed = true
	}
	for request := range crash.Resent {
		if !known.Resent[request] && len(known.Resent) < maxSuspects {
			known.Resent[request] = true
			changed = true
		}
	}
	for part, teams := range crash.Suspects {
		if known.Suspects[part] == nil {
			if len(known.Suspects) >= maxSuspects {
				continue
			}
			known.Suspects[part] = map[string]bool{}
			changed = true
			if _, proven := r.proven[part]; proven {
				r.touch(r.outputVersions, part)
			}
		}
		for team := range teams {
			if !known.Suspects[part][team] {
				known.Suspects[part][team] = true
				changed = true
			}
		}
	}
	if changed {
		r.touch(r.crashVersions, crash.Server)
	}
	return changed
}

// makeRoom forgets the oldest crash if there are too many. The lock is held.
func (r *Register) makeRoom() {
	if len(r.crashes) < maxCrashes {
		return
	}
	var oldest *Crash
	for _, crash := range r.crashes {
		if oldest == nil || crash.SeenAt.Before(oldest.SeenAt) {
			oldest = crash
		}
	}
	r.forget(oldest.Server)
}

// forget removes a crash, and the versions of outputs that no crash needs. The lock
// is held.
func (r *Register) forget(server string) {
	delete(r.crashes, server)
	delete(r.crashVersions, server)
	maps.DeleteFunc(r.outputVersions, func(part string, _ int64) bool {
		for _, crash := range r.crashes {
			if _, suspected := crash.Suspects[part]; suspected {
				return false
			}
		}
		return true
	})
}

// Changes lists the crashes, and the outputs on their parts, that changed after a
// version, and returns the current version.
func (r *Register) Changes(since int64) (crashes []Crash, outputs []Output, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since >= r.version {
		return nil, nil, r.version
	}
	for server, at := range r.crashVersions {
		if at > since {
			crashes = append(crashes, cloneCrash(r.crashes[server]))
		}
	}
	for part, at := range r.outputVersions {
		if at > since {
			outputs = append(outputs, Output{
				Part: part,
				At:   r.proven[part],
			})
		}
	}
	return crashes, outputs, r.version
}

func cloneCrash(crash *Crash) Crash {
	clone := *crash
	clone.Suspects = make(map[string]map[string]bool, len(crash.Suspects))
	for part, teams := range crash.Suspects {
		clone.Suspects[part] = maps.Clone(teams)
	}
	clone.Resent = maps.Clone(crash.Resent)
	return clone
}
