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
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.25
	// unreachableRate is the failure rate of one that could not be reached.
	unreachableRate = 0.8
	// keptLimit bounds the prompt parts remembered for one worker.
	keptLimit = 1500
	// keptTime is how long a worker is taken to keep a part that was read.
	keptTime = 25 * time.Second
)

// ServerLoad is what is in progress at a backend server.
type ServerLoad struct {
	Running       int
	WaitingTokens int64
	// Adapters are those of calls in progress or ended since the last exchange.
	Adapters []string
}

type use struct {
	running       int
	waitingTokens int64
	// adapters counts calls in progress; recent are those that ended.
	adapters map[string]int
	recent   map[string]bool
	failures float64
	failedAt time.Time
	// kept maps adapter and part to when it was read last.
	kept map[string]time.Time
}

func (b *Board) use(server string) *use {
	u := b.uses[server]
	if u == nil {
		u = &use{
			adapters: map[string]int{},
			recent:   map[string]bool{},
			kept:     map[string]time.Time{},
		}
		b.uses[server] = u
	}
	return u
}

// BeginCall notes that a call is sent to a backend server; tokens of its prompt
// wait there until First is called.
func (b *Board) BeginCall(server, adapter string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(server)
	u.running++
	u.waitingTokens += tokens
	if adapter != "" {
		u.adapters[adapter]++
	}
}

// RecordFirstOutput notes the first output of a call, and the parts that its worker keeps.
func (b *Board) RecordFirstOutput(server, adapter string, tokens int64, parts []pomelospring.PromptPart, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(server)
	u.waitingTokens = max(0, u.waitingTokens-tokens)
	if len(u.kept) > keptLimit {
		for key, at := range u.kept {
			if now.Sub(at) > keptTime/2 {
				delete(u.kept, key)
			}
		}
	}
	for _, part := range parts {
		u.kept[adapter+"|"+part.ID] = now
	}
}

// EndCall notes that a call has ended at a backend server; tokens are those that
// still waited.
func (b *Board) EndCall(server, adapter string, tokens int64, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(server)
	u.running--
	u.waitingTokens = max(0, u.waitingTokens-tokens)
	if adapter != "" {
		u.recent[adapter] = true
		if u.adapters[adapter]--; u.adapters[adapter] <= 0 {
			delete(u.adapters, adapter)
		}
	}
	u.failures = u.failureRate(now) * (1 - failureWeight)
	if failed {
		u.failures += failureWeight
	}
	u.failedAt = now
}

// RecordUnreachable notes that a backend server could not be connected to, which
// weighs more than a failed call: the next one would wait as long.
func (b *Board) RecordUnreachable(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(server)
	u.failures = max(u.failureRate(now), unreachableRate)
	u.failedAt = now
}

func (u *use) failureRate(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	return u.failures * math.Exp2(-now.Sub(u.failedAt).Seconds()/failureHalfLife.Seconds())
}

// ServerLoads lists what is in progress here at the backend servers of a domain, for
// its leader, and forgets the adapters of calls that have ended.
func (b *Board) ServerLoads(domain string) map[string]ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := map[string]ServerLoad{}
	for id, u := range b.uses {
		if b.servers[id].Domain != domain || u.running == 0 && len(u.recent) == 0 {
			continue
		}
		listed := ServerLoad{
			Running:       u.running,
			WaitingTokens: u.waitingTokens,
		}
		for adapter := range u.adapters {
			listed.Adapters = append(listed.Adapters, adapter)
			delete(u.recent, adapter)
		}
		for adapter := range u.recent {
			listed.Adapters = append(listed.Adapters, adapter)
		}
		clear(u.recent)
		uses[id] = listed
	}
	return uses
}

// Candidates lists the backend servers of a service that can take a call. Those
// of failure domains that seem to be cut off are left out, unless a plain call
// has no others.
func (b *Board) Candidates(service string, call *pomelospring.Call, avoid map[string]bool, now time.Time) (candidates []dispatch.Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.leastVersion(call.Adapter, now)
	var cutOff []dispatch.Candidate
	for id, server := range b.servers {
		if server.Service != service || server.Draining || avoid[id] {
			continue
		}
		version, holds := b.holds(&server, call, now)
		if !holds || version < least && call.NeedsAdapter() {
			continue
		}
		others := b.word(server.Domain).others[id]
		candidate := dispatch.Candidate{
			Server:        server,
			Version:       version,
			WaitingTokens: others.WaitingTokens,
			Running:       others.Running,
		}
		if u := b.uses[id]; u != nil {
			candidate.WaitingTokens += u.waitingTokens
			candidate.Running += u.running
			candidate.FailureRate = u.failureRate(now)
			candidate.CachedTokens = u.keptTokens(call, now)
		}
		if b.cutOff(server.Domain, now) {
			cutOff = append(cutOff, candidate)
			continue
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 && !call.NeedsAdapter() {
		return cutOff
	}
	return candidates
}

// holds reports whether a server has what a call needs.
func (b *Board) holds(server *pomelospring.FleetServer, call *pomelospring.Call, now time.Time) (version int64, holds bool) {
	if call.Adapter == "" {
		return 0, true
	}
	if !server.Holds(call.Model()) {
		return 0, false
	}
	if !call.NeedsAdapter() {
		return 0, true
	}
	if word := b.word(server.Domain); now.Before(word.until) {
		version, holds = word.held[server.ID][call.Adapter]
		return version, holds
	}
	for _, resident := range server.Resident {
		if resident.Adapter == call.Adapter {
			return resident.Version, true
		}
	}
	return 0, false
}

// leastVersion is the oldest version of an adapter that may serve now.
func (b *Board) leastVersion(adapter string, now time.Time) int64 {
	declared, found := b.declared[adapter]
	if !found || now.Sub(declared.heard) < versionGrace {
		return 0
	}
	return declared.version
}

// keptTokens counts the beginning of a prompt that the worker has read before.
func (u *use) keptTokens(call *pomelospring.Call, now time.Time) (tokens int64) {
	for _, part := range call.Parts {
		at, found := u.kept[call.Adapter+"|"+part.ID]
		if !found || now.Sub(at) > keptTime {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}
