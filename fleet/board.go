// Package fleet holds what one instance knows of the fleet: the configuration,
// the backend servers, the adapters resident on model workers and the calls in
// flight. Controllers write this state to a Board; request handling reads it.
package fleet

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// defaultConfigurationTime is the time from the acknowledgement of a configuration
	// until instances must follow it.
	defaultConfigurationTime = 3 * time.Second
	// answerWayTime is how long an answer of the store may have been on its way before it
	// began to arrive, which no instance can see.
	answerWayTime = 500 * time.Millisecond
	// unknownAge is reported as the age of state that was never received.
	unknownAge = time.Hour
)

// Board is one instance's view of the fleet. It is safe for concurrent use.
type Board struct {
	// Domain is this instance's failure domain.
	Domain string
	// Regions has the region of each failure domain as far as it is known; it doesn't change.
	Regions map[string]string
	// ConfigurationTime is the time from the acknowledgement of a configuration until
	// instances must follow it; 0 for the default. It doesn't change.
	ConfigurationTime time.Duration

	policy atomic.Pointer[pomelospring.Policy]
	// operatorConfirmedAt is when the operators' records were last known to be
	// complete up to operatorPosition.
	operatorConfirmedAt atomic.Pointer[time.Time]
	// operatorReadAt is when this instance last read them from the store itself.
	operatorReadAt atomic.Pointer[time.Time]

	mu sync.Mutex
	// operators holds the operators' records.
	operators operatorRecords
	// declared has the declared versions of each adapter.
	declared map[string]*declaredVersions

	servers      map[string]pomelospring.FleetServer
	serversKnown bool
	// evacuated has the failure domains whose servers are to get nothing.
	evacuated map[string]bool
	index     serverIndex
	// leaving has the servers that announced that they leave, by ID.
	leaving map[string]*leavingServer
	// pauses has the servers that asked this instance for a pause, by ID.
	pauses map[string]pause
	// limits has the servers that name a limit or have named one, by ID.
	limits map[string]*serverLimit
	// nextTurns has, by server with a bound, the earliest time for which this instance may
	// get a reservation, as far as it knows.
	nextTurns map[string]time.Time
	// coldNotices has what is known of cold servers beside their entries, and coldUntil is
	// a time from which no server is known to be cold.
	coldNotices map[string]*coldNotice
	coldUntil   time.Time
	// brittle has the servers that say that they are brittle or have said so.
	brittle brittleServers
	// serverVersion increases with each change of the server list; changed maps
	// a server to the version at which it last changed or was removed.
	serverVersion int64
	changed       map[string]int64
	// serverDigest is equal on boards that list the same starts of servers.
	serverDigest uint64
	// serversReadAt is when the current list was read from the store.
	serversReadAt time.Time

	// domainReports holds the last report of each failure domain's leader.
	domainReports map[string]*leaderReport
	ownLoads      map[string]*ownLoad
	demands       map[string]demand
	// evidence is kept by failure domain.
	evidence map[string]*cutOffEvidence
	// paths has the servers whose path is broken, or was so before, by ID, and
	// brokenPaths counts the broken ones.
	paths       map[string]*path
	brokenPaths atomic.Int32
	// prefill has the learned speed of model workers, and plainCalls the learned
	// duration of a call by service.
	prefill    dispatch.Speeds
	plainCalls map[string]time.Duration
	// paces has how fast servers are, and leaderPaces what the leader of each failure
	// domain last told of that.
	paces       *Paces
	leaderPaces map[string]*leaderPaces
	rooms       *Rooms
	// ratioQuantiles has the measuredQuantile of the times of answers to their average, by
	// service, as in plainCalls.
	ratioQuantiles map[string]float64
	// instances is how many instances share the backend servers; reportAge is
	// the average age of what they report of their load.
	instances int
	reportAge time.Duration
}

// leaderReport is what a failure domain's leader last reported of the domain's
// backend servers.
type leaderReport struct {
	// residency maps a model worker to the versions of its resident adapters.
	residency map[string]map[string]int64
	version   int64
	// expires is when residency stops taking precedence over what the workers
	// report themselves.
	expires time.Time
	// othersLoad is the load from the other instances, by server.
	othersLoad map[string]ServerLoad
}

// NewBoard returns a board of an instance in the given failure domain, without
// any state.
func NewBoard(domain string) *Board {
	return &Board{
		Domain:        domain,
		operators:     newOperatorRecords(),
		declared:      map[string]*declaredVersions{},
		servers:       map[string]pomelospring.FleetServer{},
		evacuated:     map[string]bool{},
		index:         newServerIndex(),
		leaving:       map[string]*leavingServer{},
		pauses:        map[string]pause{},
		limits:        map[string]*serverLimit{},
		nextTurns:     map[string]time.Time{},
		coldNotices:   map[string]*coldNotice{},
		brittle:       newBrittleServers(),
		changed:       map[string]int64{},
		domainReports: map[string]*leaderReport{},
		ownLoads:      map[string]*ownLoad{},
		demands:       map[string]demand{},
		evidence:      map[string]*cutOffEvidence{},
		paths:         map[string]*path{},
		plainCalls:    map[string]time.Duration{},
		paces:         NewPaces(),
		leaderPaces:   map[string]*leaderPaces{},
		rooms:         NewRooms(),

		ratioQuantiles: map[string]float64{},
	}
}

// Policy returns the active configuration, or nil before one was received.
func (b *Board) Policy() *pomelospring.Policy { return b.policy.Load() }

// SetPolicy activates a configuration unless the active one is at least as new,
// and reports whether it did.
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

// ConfirmOperatorPosition records that the operators' records were known up to a
// position at a time.
func (b *Board) ConfirmOperatorPosition(position pomelospring.TopicPosition, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.operators.advance(position)
	b.confirmOperators(at)
}

// PolicyAge returns the time since the operators' records were last confirmed.
func (b *Board) PolicyAge(now time.Time) time.Duration {
	confirmedAt := b.operatorConfirmedAt.Load()
	if confirmedAt == nil {
		return unknownAge
	}
	return now.Sub(*confirmedAt)
}

// OperatorReadAge returns the time since this instance last read the operators' records
// from the store itself.
func (b *Board) OperatorReadAge(now time.Time) time.Duration {
	readAt := b.operatorReadAt.Load()
	if readAt == nil {
		return unknownAge
	}
	return now.Sub(*readAt)
}

// PolicyFresh reports whether the configuration is recent enough to refuse an
// unknown key or route permanently.
func (b *Board) PolicyFresh(now time.Time) bool {
	within := b.ConfigurationTime
	if within == 0 {
		within = defaultConfigurationTime
	}
	return b.PolicyAge(now) < within-answerWayTime
}

// OperatorPosition returns the position up to which no operators' record is missing.
func (b *Board) OperatorPosition() pomelospring.TopicPosition {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operators.position
}

// StoreRecord stores an operators' record if it is newer than the known one of
// its key, and reports whether it did. revision is the version that the record's
// content states, or 0.
func (b *Board) StoreRecord(record pomelospring.KeyedRecord, revision int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := b.operators.store(record, revision)
	b.completeRanges()
	return stored
}

// RecordsFrom lists the operators' records at or after a position, and the position up to
// which none is missing.
func (b *Board) RecordsFrom(position pomelospring.TopicPosition) (records []pomelospring.KeyedRecord, through pomelospring.TopicPosition) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operators.from(position), b.operators.position
}

// FirstRecordsFrom is RecordsFrom of the oldest of these records, as many as have a number
// of bytes in all, and of the position up to which they are complete. Values longer than
// inlineBytes don't count.
func (b *Board) FirstRecordsFrom(position pomelospring.TopicPosition, maxBytes, inlineBytes int) (records []pomelospring.KeyedRecord, through pomelospring.TopicPosition) {
	records, through = b.RecordsFrom(position)
	total := 0
	for _, record := range records {
		total += listedBytes(record, inlineBytes)
	}
	if total <= maxBytes {
		return records, through
	}
	slices.SortFunc(records, func(x, y pomelospring.KeyedRecord) int {
		if x.Position().Before(y.Position()) {
			return -1
		}
		return 1
	})
	total = 0
	for i, record := range records {
		if total += listedBytes(record, inlineBytes); total > maxBytes && i > 0 {
			return records[:i], record.Position()
		}
	}
	return records, through
}

// listedBytes is about what a record takes in a list that leaves out long values.
func listedBytes(record pomelospring.KeyedRecord, inlineBytes int) int {
	const positionBytes = 16
	listed := positionBytes + len(record.Key)
	if len(record.Value) <= inlineBytes {
		listed += len(record.Value)
	}
	return listed
}

// OperatorRecord returns the newest known operators' record of a key.
func (b *Board) OperatorRecord(key string) (record pomelospring.KeyedRecord, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record, found = b.operators.records[key]
	return record, found
}

// CoversRecord reports whether an operators' record, or a newer one of its key, is known.
func (b *Board) CoversRecord(record AwaitedRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operators.covers(record.Key, record.Position, record.Revision)
}

// RetainedRecords lists the operators' records that the store lost when it was
// restored and that were not written again yet.
func (b *Board) RetainedRecords() (records []pomelospring.KeyedRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operators.retained()
}

// RetainedDigest is equal on boards with the same retained records; 0 for none.
func (b *Board) RetainedDigest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.operators.retainedDigest()
}

// SetServers replaces the list of backend servers with one that was read from
// the store at readAt. It keeps the map, and changes it.
func (b *Board) SetServers(servers map[string]pomelospring.FleetServer, readAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyLeaving(servers, readAt)
	b.endPauses(readAt)
	b.endLimits(servers, readAt)
	b.endColdNotices(servers, readAt)
	b.endPaths(servers)
	b.endBrittleness(servers, readAt)
	b.endPaces(servers)
	versionBefore := b.serverVersion
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
	if b.serverVersion > versionBefore {
		b.serverDigest = digestServers(servers)
	}
	b.updateIndex(servers, b.serverVersion > versionBefore)
	b.servers = servers
	b.serversKnown = true
	b.serversReadAt = readAt
	for id := range b.ownLoads {
		if _, listed := servers[id]; !listed && b.ownLoads[id].running == 0 {
			delete(b.ownLoads, id)
		}
	}
}

// ServerChanges lists the servers that changed or were removed after a version
// of the list, and returns the current version.
func (b *Board) ServerChanges(since int64) (changed []pomelospring.FleetServer, removed []string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.changed {
		if at <= since {
			continue
		}
		if server, listed := b.servers[id]; listed {
			changed = append(changed, server)
		} else {
			removed = append(removed, id)
		}
	}
	return changed, removed, b.serverVersion
}

// digestServers returns a digest of the starts of servers, whatever their order.
func digestServers(servers map[string]pomelospring.FleetServer) (digest uint64) {
	var buffer []byte
	for id, server := range servers {
		buffer = append(buffer[:0], id...)
		buffer = strconv.AppendInt(buffer, server.Started.UnixMilli(), 10)
		digest ^= xxhash.Sum64(buffer)
	}
	return digest
}

// ServerDigest is equal on boards that list the same starts of servers.
func (b *Board) ServerDigest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serverDigest
}

// ServersAge returns the time since the server list was read from the store.
func (b *Board) ServersAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serversKnown {
		return unknownAge
	}
	return now.Sub(b.serversReadAt)
}

// Servers returns the known backend servers, in no particular order.
func (b *Board) Servers() []pomelospring.FleetServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]pomelospring.FleetServer, 0, len(b.servers))
	for _, server := range b.servers {
		list = append(list, server)
	}
	return list
}

// Ready reports whether the instance can serve requests: it has a configuration
// and at least one backend server.
func (b *Board) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Load() != nil && b.serversKnown && len(b.servers) > 0
}

// report returns the last report of a domain's leader, and creates an empty one
// if there is none. The caller holds the lock.
func (b *Board) report(domain string) *leaderReport {
	report := b.domainReports[domain]
	if report == nil {
		report = &leaderReport{
			residency:  map[string]map[string]int64{},
			othersLoad: map[string]ServerLoad{},
		}
		b.domainReports[domain] = report
	}
	return report
}

// SetResidency applies a leader's report of the adapters on its model workers:
// a delta, or a snapshot if full is set.
func (b *Board) SetResidency(domain string, changes map[string]pomelospring.Residency, full bool, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.report(domain)
	if full {
		for id := range report.residency {
			b.clearResident(report, id)
		}
	}
	for id, change := range changes {
		if change.Whole {
			b.clearResident(report, id)
		}
		for _, adapter := range change.Ready {
			b.setResident(report, id, adapter.Adapter, adapter.Version)
		}
		for _, adapter := range change.Gone {
			b.removeResident(report, id, adapter)
		}
	}
	report.version = version
}

// ResidencyVersion returns the version of a domain's last residency report; 0
// if there is none or a full snapshot is needed.
func (b *Board) ResidencyVersion(domain string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report(domain).version
}

// UpdateFromLeader records the other instances' load on a domain's backend
// servers, and sets when the domain's residency report expires.
func (b *Board) UpdateFromLeader(domain string, othersLoad map[string]ServerLoad, expires time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.report(domain)
	report.othersLoad = othersLoad
	report.expires = expires
}

// AddResident records that an adapter is resident on a model worker.
func (b *Board) AddResident(server, adapter string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed, known := b.servers[server]
	if !known {
		return
	}
	b.setResident(b.report(listed.Domain), server, adapter, version)
}

// RemoveResident records that a model worker refused an adapter that was
// believed resident, and requests a full residency snapshot from its leader.
func (b *Board) RemoveResident(server, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, known := b.servers[server]; known {
		report := b.report(listed.Domain)
		b.removeResident(report, server, adapter)
		report.version = 0
	}
}
