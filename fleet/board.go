// Package fleet is the blackboard of an entry instance behind the users'
// balancer: what it knows of the configuration, the backend servers, what
// model workers hold, and what is in progress. Controllers write it; request
// handling reads it.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// versionGrace is how long the former version of an adapter may still
	// serve after a new one was heard of; the users allow five seconds.
	versionGrace = 2 * time.Second
	// policyFresh is how old the last word of the store may be for a key or
	// route that is not known to be refused for good.
	policyFresh = 3 * time.Second
	// unknownAge stands for what was never heard.
	unknownAge = time.Hour
)

// Board is shared by all parts of one instance. It is safe for concurrent use.
type Board struct {
	// Domain is this instance's failure domain.
	Domain string

	policy atomic.Pointer[pomelospring.Policy]
	// operatorHeard is the time of the last word of the store on what
	// operators wrote.
	operatorHeard atomic.Pointer[time.Time]

	mu sync.Mutex
	// records are the newest operators' records by key.
	records        map[string]pomelospring.KeyedRecord
	operatorOffset int64
	declared       map[string]declaration

	servers     map[string]pomelospring.FleetServer
	serversRead bool
	// serverVersion rises with each change of the list; changed holds the
	// version at which a server changed or went last.
	serverVersion int64
	changed       map[string]int64
	// serversHeard is the time of the store's answer that the list rests on.
	serversHeard time.Time

	// domains is what the leader of each failure domain told.
	domains map[string]*domainWord
	uses    map[string]*use
	demands map[string]demand
	// reaches are by failure domain.
	reaches map[string]*reach
	// instances and useAge say how many instances share the backend servers
	// and how old what they tell of their use is.
	instances int
	useAge    time.Duration
}

// domainWord is a leader's word on the backend servers of its failure domain.
type domainWord struct {
	// held maps a worker to the versions of the adapters that it holds.
	held    map[string]map[string]int64
	version int64
	// until is when the word stops to go before the workers' own.
	until time.Time
	// others is what the other instances have in progress.
	others map[string]ServerLoad
}

type declaration struct {
	version int64
	heard   time.Time
}

// NewBoard makes a board that knows nothing.
func NewBoard(domain string) *Board {
	return &Board{
		Domain:   domain,
		records:  map[string]pomelospring.KeyedRecord{},
		declared: map[string]declaration{},
		servers:  map[string]pomelospring.FleetServer{},
		changed:  map[string]int64{},
		domains:  map[string]*domainWord{},
		uses:     map[string]*use{},
		demands:  map[string]demand{},
		reaches:  map[string]*reach{},
	}
}

// Policy is the configuration in force; nil before the first.
func (b *Board) Policy() *pomelospring.Policy { return b.policy.Load() }

// SetPolicy puts a configuration in force unless a newer one is.
func (b *Board) SetPolicy(policy *pomelospring.Policy) bool {
	for {
		before := b.policy.Load()
		if before != nil && before.Version >= policy.Version {
			return false
		}
		if b.policy.CompareAndSwap(before, policy) {
			return true
		}
	}
}

// ConfirmOperatorOffset notes that what operators wrote was known up to an offset at a
// time.
func (b *Board) ConfirmOperatorOffset(offset int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.operatorOffset = max(b.operatorOffset, offset)
	if heard := b.operatorHeard.Load(); heard == nil || heard.Before(at) {
		b.operatorHeard.Store(&at)
	}
}

// PolicyAge is the time since the last word on what operators wrote.
func (b *Board) PolicyAge(now time.Time) time.Duration {
	heard := b.operatorHeard.Load()
	if heard == nil {
		return unknownAge
	}
	return now.Sub(*heard)
}

// PolicyFresh reports whether a key or route that is not known may be refused
// for good.
func (b *Board) PolicyFresh(now time.Time) bool { return b.PolicyAge(now) < policyFresh }

// OperatorOffset is the offset after the newest operators' record known.
func (b *Board) OperatorOffset() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operatorOffset
}

// StoreRecord stores an operators' record if it is newer than the one known for its
// key, and reports whether it was.
func (b *Board) StoreRecord(record pomelospring.KeyedRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.records[record.Key]
	if found && known.Offset >= record.Offset {
		return false
	}
	b.records[record.Key] = record
	b.operatorOffset = max(b.operatorOffset, record.Offset+1)
	return true
}

// RecordsFrom lists the operators' records from an offset on.
func (b *Board) RecordsFrom(offset int64) (records []pomelospring.KeyedRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset >= b.operatorOffset {
		return nil
	}
	for _, record := range b.records {
		if record.Offset >= offset {
			records = append(records, record)
		}
	}
	return records
}

// DeclareVersion takes in the newest version of an adapter.
func (b *Board) DeclareVersion(adapter string, version int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.declared[adapter].version >= version {
		return
	}
	b.declared[adapter] = declaration{
		version: version,
		heard:   now,
	}
}

// DeclaredVersions lists the newest version of each adapter that has one declared.
func (b *Board) DeclaredVersions() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := make(map[string]int64, len(b.declared))
	for adapter, declared := range b.declared {
		versions[adapter] = declared.version
	}
	return versions
}

// SetServers takes over the list of backend servers, as the store told it at
// heard.
func (b *Board) SetServers(servers map[string]pomelospring.FleetServer, heard time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range servers {
		if before, known := b.servers[id]; !known || !before.Equivalent(&server) {
			b.serverVersion++
			b.changed[id] = b.serverVersion
		}
	}
	for id := range b.servers {
		if _, listed := servers[id]; !listed {
			b.serverVersion++
			b.changed[id] = b.serverVersion
		}
	}
	b.servers = servers
	b.serversRead = true
	b.serversHeard = heard
	for id := range b.uses {
		if _, listed := servers[id]; !listed && b.uses[id].running == 0 {
			delete(b.uses, id)
		}
	}
}

// ServerChanges lists the servers that changed or went since a version, and
// the version that they lead to.
func (b *Board) ServerChanges(since int64) (changed []pomelospring.FleetServer, gone []string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.changed {
		if at <= since {
			continue
		}
		if server, listed := b.servers[id]; listed {
			changed = append(changed, server)
		} else {
			gone = append(gone, id)
		}
	}
	return changed, gone, b.serverVersion
}

// ServersAge is the time since the store's answer that the list rests on.
func (b *Board) ServersAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serversRead {
		return unknownAge
	}
	return now.Sub(b.serversHeard)
}

// Servers lists the backend servers known.
func (b *Board) Servers() []pomelospring.FleetServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]pomelospring.FleetServer, 0, len(b.servers))
	for _, server := range b.servers {
		list = append(list, server)
	}
	return list
}

// Ready reports whether requests can be served: configuration and backend
// servers are known.
func (b *Board) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Load() != nil && b.serversRead && len(b.servers) > 0
}

// word is that of a domain's leader. The lock is held.
func (b *Board) word(domain string) *domainWord {
	word := b.domains[domain]
	if word == nil {
		word = &domainWord{
			held:   map[string]map[string]int64{},
			others: map[string]ServerLoad{},
		}
		b.domains[domain] = word
	}
	return word
}

// SetResidency takes over a leader's word on what model workers hold: what
// changed, or all where whole is set.
func (b *Board) SetResidency(domain string, changes map[string]pomelospring.Residency, whole bool, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	word := b.word(domain)
	if whole {
		word.held = make(map[string]map[string]int64, len(changes))
	}
	for id, change := range changes {
		held := word.held[id]
		if held == nil || change.Whole {
			held = make(map[string]int64, len(change.Ready))
			word.held[id] = held
		}
		for _, adapter := range change.Ready {
			held[adapter.Adapter] = adapter.Version
		}
		for _, adapter := range change.Gone {
			delete(held, adapter)
		}
	}
	word.version = version
}

// ResidencyVersion is that of the leader's word known; 0 without one.
func (b *Board) ResidencyVersion(domain string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.word(domain).version
}

// UpdateFromLeader takes in the others' use of a domain's backend servers and lets
// the residency known count for some time.
func (b *Board) UpdateFromLeader(domain string, others map[string]ServerLoad, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	word := b.word(domain)
	word.others = others
	word.until = until
}

// AddResident notes that a worker holds an adapter from now on.
func (b *Board) AddResident(server, adapter string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed, known := b.servers[server]
	if !known {
		return
	}
	held := b.word(listed.Domain).held
	if held[server] == nil {
		held[server] = map[string]int64{}
	}
	held[server][adapter] = version
}

// RemoveResident notes that a worker refused an adapter that it was thought to hold,
// and has the leader tell all that its workers hold once more.
func (b *Board) RemoveResident(server, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, known := b.servers[server]; known {
		word := b.word(listed.Domain)
		delete(word.held[server], adapter)
		word.version = 0
	}
}
