package fleet

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// failureHalfLife lets a backend server that failed be tried again.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of one outcome in the smoothed failure rate.
	failureWeight = 0.25
	// unreachableFailureRate is the failure rate of a server right after a
	// connection to it failed.
	unreachableFailureRate = 0.8
	// maxCachedParts is the number of prompt parts per worker above which older
	// ones are discarded.
	maxCachedParts = 1500
	// cachedPartLifetime is how long a part is assumed to stay in a worker's
	// prefix cache.
	cachedPartLifetime = 25 * time.Second
)

// ServerLoad is the load of one or several instances on a backend server: their
// calls in flight there, and the prompt tokens that wait for prefill.
type ServerLoad struct {
	Running       int
	WaitingTokens int64
	// Adapters are those of calls in flight or ended since the last exchange.
	Adapters []string
}

// ownLoad is this instance's load on one backend server, with the outcomes of
// its calls there.
type ownLoad struct {
	running       int
	waitingTokens int64
	// adapters counts the calls in flight by adapter; endedAdapters are those of
	// calls that ended since the last exchange.
	adapters      map[string]int
	endedAdapters map[string]bool
	// smoothedFailures is the smoothed failure rate as of outcomeAt, the time of
	// the last outcome.
	smoothedFailures float64
	outcomeAt        time.Time
	silence          silence
	// cachedParts maps "adapter|part" to when the worker last prefilled it.
	cachedParts map[string]time.Time
}

// ownLoad returns the load record of a server, and creates it if there is none.
// The caller holds the lock.
func (b *Board) ownLoad(server string) *ownLoad {
	l := b.ownLoads[server]
	if l == nil {
		l = &ownLoad{
			adapters:      map[string]int{},
			endedAdapters: map[string]bool{},
			cachedParts:   map[string]time.Time{},
		}
		b.ownLoads[server] = l
	}
	return l
}

// BeginCall records that a call is sent to a backend server. Its prompt tokens
// count as waiting until RecordFirstOutput.
func (b *Board) BeginCall(server, adapter string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ownLoad(server)
	l.running++
	l.waitingTokens += tokens
	if adapter != "" {
		l.adapters[adapter]++
	}
}

// RecordFirstOutput records the first output of a call: its prompt no longer
// waits, and the worker has its parts in the prefix cache.
func (b *Board) RecordFirstOutput(server, adapter string, tokens int64, parts []pomelospring.PromptPart, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ownLoad(server)
	l.waitingTokens = max(0, l.waitingTokens-tokens)
	if len(l.cachedParts) > maxCachedParts {
		for key, at := range l.cachedParts {
			if now.Sub(at) > cachedPartLifetime/2 {
				delete(l.cachedParts, key)
			}
		}
	}
	for _, part := range parts {
		l.cachedParts[adapter+"|"+part.ID] = now
	}
}

// EndCall records that a call ended at a backend server; tokens are its prompt
// tokens that still counted as waiting.
func (b *Board) EndCall(server, adapter string, tokens int64, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ownLoad(server)
	l.running--
	l.waitingTokens = max(0, l.waitingTokens-tokens)
	if adapter != "" {
		l.endedAdapters[adapter] = true
		if l.adapters[adapter]--; l.adapters[adapter] <= 0 {
			delete(l.adapters, adapter)
		}
	}
	l.smoothedFailures = l.failureRate(now) * (1 - failureWeight)
	if failed {
		l.smoothedFailures += failureWeight
	}
	l.outcomeAt = now
}

// RunningCalls returns the number of this instance's calls in flight at a server.
func (b *Board) RunningCalls(server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.ownLoads[server]; l != nil {
		return l.running
	}
	return 0
}

// RecordUnreachable records that a connection to a backend server failed. This
// weighs more than a failed call, since the next call would wait as long for a
// connection.
func (b *Board) RecordUnreachable(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ownLoad(server)
	l.smoothedFailures = max(l.failureRate(now), unreachableFailureRate)
	l.outcomeAt = now
}

// failureRate returns the failure rate, decayed since the last outcome.
func (l *ownLoad) failureRate(now time.Time) float64 {
	if l.smoothedFailures == 0 {
		return 0
	}
	return l.smoothedFailures * math.Exp2(-now.Sub(l.outcomeAt).Seconds()/failureHalfLife.Seconds())
}

// ServerLoads returns this instance's load on the backend servers of a domain, to
// be reported to its leader, and resets the adapters of ended calls.
func (b *Board) ServerLoads(domain string) map[string]ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	ownLoads := map[string]ServerLoad{}
	for id, l := range b.ownLoads {
		if b.servers[id].Domain != domain || l.running == 0 && len(l.endedAdapters) == 0 {
			continue
		}
		listed := ServerLoad{
			Running:       l.running,
			WaitingTokens: l.waitingTokens,
		}
		for adapter := range l.adapters {
			listed.Adapters = append(listed.Adapters, adapter)
			delete(l.endedAdapters, adapter)
		}
		for adapter := range l.endedAdapters {
			listed.Adapters = append(listed.Adapters, adapter)
		}
		clear(l.endedAdapters)
		ownLoads[id] = listed
	}
	return ownLoads
}

// Candidates lists the backend servers of a service that can take a call. Servers
// that are silent are listed only if there are no others; those in failure domains
// that count as cut off only if there are none of these either and the call needs
// no adapter. For such calls it lists at most maxCandidates.
func (b *Board) Candidates(service string, call *pomelospring.Call, avoid map[string]bool, now time.Time) (candidates []dispatch.Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldestVersion := b.minVersion(call.Adapter, now)
	candidates = make([]dispatch.Candidate, 0, b.index.count(service, call))
	var silent, cutOff []dispatch.Candidate
	for id := range b.index.possible(service, call, now) {
		if len(candidates) == maxCandidates && !call.NeedsAdapter() {
			break
		}
		candidate, usable := b.candidate(id, service, call, now)
		if !usable || avoid[id] || candidate.Version < oldestVersion && call.NeedsAdapter() {
			continue
		}
		if b.cutOff(candidate.Server.Domain, now) {
			cutOff = append(cutOff, candidate)
			continue
		}
		if l := b.ownLoads[id]; l != nil && l.silence.avoids(now) {
			silent = append(silent, candidate)
			continue
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 {
		candidates = silent
	}
	if len(candidates) == 0 && !call.NeedsAdapter() {
		return cutOff
	}
	return candidates
}

// candidate returns what the choice of a server needs to know of one, and whether it
// can take a call. The caller holds the lock.
func (b *Board) candidate(id, service string, call *pomelospring.Call, now time.Time) (candidate dispatch.Candidate, usable bool) {
	server, listed := b.servers[id]
	if !listed || server.Service != service || server.Draining || b.evacuated[server.Domain] || b.paused(id, now) || !b.InHomes(call.Homes, server.Domain) {
		return dispatch.Candidate{}, false
	}
	version, canServe := b.canServe(&server, call, now)
	if !canServe {
		return dispatch.Candidate{}, false
	}
	othersLoad := b.report(server.Domain).othersLoad[id]
	candidate = dispatch.Candidate{
		Server:        server,
		Version:       version,
		WaitingTokens: othersLoad.WaitingTokens,
		Running:       othersLoad.Running,
		Pace:          b.paceOf(id, now),
		Room:          b.rooms.Of(id, server.Slots, now),
	}
	candidate.TurnWait, candidate.Limited = b.turnWait(id, now)
	candidate.Brittle = b.isBrittle(&server)
	if l := b.ownLoads[id]; l != nil {
		candidate.WaitingTokens += l.waitingTokens
		candidate.Running += l.running
		candidate.FailureRate = l.failureRate(now)
		candidate.CachedTokens = l.cachedTokens(call, now)
	}
	return candidate, true
}

// canServe reports whether a server has the model and the adapter that a call
// needs, and the resident version of the adapter.
func (b *Board) canServe(server *pomelospring.FleetServer, call *pomelospring.Call, now time.Time) (version int64, canServe bool) {
	if call.Adapter == "" {
		return 0, true
	}
	if !server.Holds(call.Model()) {
		return 0, false
	}
	if !call.NeedsAdapter() {
		return 0, true
	}
	if report := b.report(server.Domain); now.Before(report.expires) {
		version, canServe = report.residency[server.ID][call.Adapter]
		return version, canServe
	}
	for _, resident := range server.Resident {
		if resident.Adapter == call.Adapter {
			return resident.Version, true
		}
	}
	return 0, false
}

// cachedTokens counts the leading tokens of a prompt that are assumed to be in
// the worker's prefix cache.
func (l *ownLoad) cachedTokens(call *pomelospring.Call, now time.Time) (tokens int64) {
	for _, part := range call.Parts {
		at, found := l.cachedParts[call.Adapter+"|"+part.ID]
		if !found || now.Sub(at) > cachedPartLifetime {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}
