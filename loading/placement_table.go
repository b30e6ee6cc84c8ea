// Package loading decides which adapters the model workers load and evict. It
// does no I/O: callers pass order results, worker reports and server load to
// the placement table, which returns the orders to send.
package loading

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// minFullSpeedTime and maxFullSpeedTime bound how long an adapter takes to load
	// from the weight store at full speed. Deployments differ, and don't publish it.
	minFullSpeedTime = 250 * time.Millisecond
	maxFullSpeedTime = 300 * time.Millisecond
	// warmLoadTime is how long an adapter that is still cached on the worker
	// takes to load: a tenth of minFullSpeedTime.
	warmLoadTime = 25 * time.Millisecond
	// loadMargin covers timer granularity and the delivery of the order.
	loadMargin = 20 * time.Millisecond
	// maxCachedAdapters is how many adapters a worker keeps cached after their
	// eviction.
	maxCachedAdapters = 40
	// maxLoadsPerWorker is how many adapters may be loading on one worker.
	maxLoadsPerWorker = 4
	// defaultRecentUseWindow applies until the leader knows how often instances
	// report their server load.
	defaultRecentUseWindow = 700 * time.Millisecond
	// optionalEvictionIdle is how long an adapter must be unused before it may be
	// evicted for a further replica of another adapter that no queue asks for.
	optionalEvictionIdle = 3 * time.Second
	// delayedLoadWindow is how long after the expected end of a load the load
	// counts as delayed, and not as failed, if the worker still lacks the
	// adapter.
	delayedLoadWindow = time.Second
	// minLoadExtension is the least time by which the expected end of a delayed
	// load is postponed.
	minLoadExtension = 60 * time.Millisecond
	// maxSlowdown limits the observed slowdown of the weight store, and
	// slowdownDecay is the factor by which each load reduces the slowdown.
	maxSlowdown   = 6
	slowdownDecay = 0.97
	// assignmentCost is the queueing time that a recent assignment adds to a
	// worker, about half a prompt. Its half-life is about the time until the
	// reported server load includes the request.
	assignmentCost     = 120 * time.Millisecond
	assignmentHalfLife = 400 * time.Millisecond
	// ownWorkCost is the usual time of a prompt, that of the call which an adapter is loaded
	// for.
	ownWorkCost = 2 * assignmentCost
	// planRetryDelay is the time until the next attempt after no plan was
	// possible.
	planRetryDelay = 20 * time.Millisecond
	// maxReportAge is how old the content of a worker's report may be.
	maxReportAge = 350 * time.Millisecond
	// suspicionInterval is the shortest time between reports that are asked of a
	// worker because calls failed there.
	suspicionInterval = time.Second
	// reportRetryDelay is the time until a missing report is requested again.
	reportRetryDelay = time.Second
	// maxUnansweredReports is the number of unanswered reports in a row from which a
	// worker that accepts connections counts as unreachable.
	maxUnansweredReports = 2
	// remoteDomainCost is added for workers outside the request's domain, so that
	// those inside are preferred.
	remoteDomainCost = 10 * time.Millisecond
)

// PlacementTable is the leader's state of its domain's model workers and their
// adapters. It is not safe for concurrent use.
type PlacementTable struct {
	workers map[string]*worker
	// newestVersion is the newest version of each adapter that operators
	// declared.
	newestVersion map[string]int64
	// modelsOnDisk holds address and base model of workers that had the model
	// loaded. A worker that restarts at the address still has a copy on disk.
	modelsOnDisk map[string]bool
	// domains is the number of domains whose workers share the weight store.
	domains int
	// fullSpeedTime is how long an adapter takes to load from the weight store while
	// the store runs its loads at full speed.
	fullSpeedTime time.Duration
	// slowdown is the observed load time from the weight store, as a multiple
	// of fullSpeedTime.
	slowdown float64
	// window limits the loads from the weight store, and coldLoads are those in
	// flight, with some that have ended.
	window    loadWindow
	coldLoads []*slot
	// sorted lists the workers by ID, and cursor is where the next search for a
	// worker starts in it.
	sorted []*worker
	cursor int
	// holders and copies index the workers by the adapters in their slots and by
	// those that they keep a cached copy of.
	holders adapterIndex
	copies  adapterIndex
	// RecentUseWindow protects adapters from eviction that were used within
	// this time, as a request for them may be in flight.
	RecentUseWindow time.Duration
	// ActiveLeaders is the number of domain leaders that can give orders at the
	// moment; 0 for all.
	ActiveLeaders int
	// Pauses has when each worker that wants nothing from the leader's instance
	// accepts orders and requests for its report again.
	Pauses map[string]time.Time
	// Evacuated is set while nothing is to be sent to the workers.
	Evacuated bool
	// Speeds are the learned speeds of the workers.
	Speeds dispatch.Speeds
	// Paces are the times that work takes on workers relative to usual, of those that
	// differ from it.
	Paces map[string]float64
	// Revision increases with each change of the workers' residency.
	Revision int64
}

type worker struct {
	server pomelospring.FleetServer
	limits pomelospring.EngineLimits
	// synced is set while sequence and slots match the worker exactly.
	synced       bool
	nextReportAt time.Time
	// orderedAt is when the last order ended, and checkedAt when the worker was
	// last suspected and asked for a report because of that.
	orderedAt time.Time
	checkedAt time.Time
	// unansweredReports counts the reports in a row that a silent worker left
	// unanswered.
	unansweredReports int
	// unreachable says that the worker's last report could not be read. Its
	// adapters are not published until one is.
	unreachable   bool
	sequence      int64
	orderInFlight bool
	slots         map[string]*slot
	// cached holds the adapters that the worker keeps a copy of, with the time
	// of their last load or unload.
	cached map[string]time.Time
	models map[string]bool
	// modelLoadSeenAt is when the worker last accepted or reported a base model
	// load in flight; zero without one. modelFromStore reports whether the
	// model comes from the weight store.
	modelLoadSeenAt time.Time
	modelFromStore  bool
	waitingTokens   int64
	running         int
	// recentAssignments is the weight, as of assignedAt, of the requests
	// recently assigned to the worker, which its reported server load may not
	// include yet.
	recentAssignments float64
	assignedAt        time.Time
	// version is the table's revision at the last change of the worker's
	// residency. published holds all changes since revision completeSince.
	version       int64
	completeSince int64
	published     map[string]published
}

type slot struct {
	version int64
	// orderedAt is zero for adapters that were found in a worker's report.
	orderedAt time.Time
	readyAt   time.Time
	lastUsed  time.Time
	users     int
	cold      bool
	// slowed says that the load took longer than at full speed, or was expected to.
	slowed bool
	// replacing says that the worker may hold an older version too, until calls on that
	// one have ended.
	replacing bool
}

// NewPlacementTable returns a table without workers.
func NewPlacementTable() *PlacementTable {
	return &PlacementTable{
		domains:         1,
		fullSpeedTime:   minFullSpeedTime,
		slowdown:        1,
		RecentUseWindow: defaultRecentUseWindow,
		workers:         map[string]*worker{},
		newestVersion:   map[string]int64{},
		modelsOnDisk:    map[string]bool{},
		holders:         adapterIndex{},
		copies:          adapterIndex{},
	}
}

// SetServers replaces the list of model workers. A worker that is new or has
// restarted is unsynced until its first report. domains is the number of
// domains that share the weight store.
func (t *PlacementTable) SetServers(servers []pomelospring.FleetServer, limits map[string]pomelospring.EngineLimits, domains int) {
	t.domains = domains
	listed := map[string]bool{}
	for _, server := range servers {
		if _, engine := limits[server.Service]; !engine {
			continue
		}
		listed[server.ID] = true
		known := t.workers[server.ID]
		if known == nil || !known.server.Started.Equal(server.Started) || known.server.Address != server.Address {
			if known != nil {
				t.forget(known)
			}
			known = &worker{
				slots:  map[string]*slot{},
				cached: map[string]time.Time{},
				models: map[string]bool{},
			}
			t.workers[server.ID] = known
			t.recordChanges(known, time.Time{})
		}
		known.server = server
		known.limits = limits[server.Service]
	}
	for id, w := range t.workers {
		if !listed[id] {
			t.forget(w)
			delete(t.workers, id)
		}
	}
	t.sortWorkers()
	t.window.initialize(len(t.workers), domains)
}

// sortWorkers lists the workers by ID.
func (t *PlacementTable) sortWorkers() {
	t.sorted = t.sorted[:0]
	for _, w := range t.workers {
		t.sorted = append(t.sorted, w)
	}
	slices.SortFunc(t.sorted, func(x, y *worker) int { return strings.Compare(x.server.ID, y.server.ID) })
}

// DeclareVersion records the newest declared version of an adapter.
func (t *PlacementTable) DeclareVersion(adapter string, version int64) {
	t.newestVersion[adapter] = max(t.newestVersion[adapter], version)
}

// Invalidate marks every worker as unsynced until its next report. A new leader
// calls it, as it does not know its predecessor's orders.
func (t *PlacementTable) Invalidate(now time.Time) {
	for _, w := range t.workers {
		w.synced = false
		w.nextReportAt = now
	}
}

// SetServerLoad updates the calls that all instances have in flight at a
// worker.
func (t *PlacementTable) SetServerLoad(server string, running int, waitingTokens int64, adapters map[string]int, now time.Time) {
	w := t.workers[server]
	if w == nil {
		return
	}
	w.running = running
	w.waitingTokens = waitingTokens
	for name, s := range w.slots {
		s.users = adapters[name]
		if s.users > 0 {
			s.lastUsed = now
		}
	}
}

// DueReports lists the workers whose report is to be requested now.
func (t *PlacementTable) DueReports(now time.Time) (servers []pomelospring.FleetServer) {
	if t.Evacuated {
		return nil
	}
	for _, w := range t.workers {
		if w.synced && !w.orderInFlight && w.hasReplaced(now) {
			// Only a report shows that the older version is gone.
			w.synced = false
		}
		if !w.synced && !w.orderInFlight && !now.Before(w.nextReportAt) && !t.paused(w, now) {
			w.nextReportAt = now.Add(reportRetryDelay)
			servers = append(servers, w.server)
		}
	}
	return servers
}

// paused reports whether a worker wants nothing from the leader's instance now.
func (t *PlacementTable) paused(w *worker, now time.Time) bool {
	return now.Before(t.Pauses[w.server.ID])
}

// ApplyReport updates the state of a worker from its report.
func (t *PlacementTable) ApplyReport(server string, report pomelospring.EngineReport, now time.Time) {
	w := t.workers[server]
	if w == nil || w.synced || w.orderInFlight {
		return
	}
	w.unansweredReports = 0
	if !report.Started.Equal(w.server.Started) {
		// The report comes from another incarnation than the listed one.
		w.nextReportAt = now.Add(reportRetryDelay)
		return
	}
	if report.Busy && len(report.Models) == 0 {
		// A base model load is in flight; a second order would not speed it up.
		w.modelLoadSeenAt = now
		w.nextReportAt = now.Add(modelPollInterval)
		return
	}
	w.modelLoadSeenAt = time.Time{}
	w.sequence = report.Sequence
	w.models = map[string]bool{}
	for _, model := range report.Models {
		w.models[model] = true
		t.recordOnDisk(w.server.Address, model)
	}
	before := w.slots
	for name := range before {
		t.holders.remove(name, w)
	}
	w.slots = map[string]*slot{}
	for _, resident := range report.Resident {
		t.setSlot(w, resident.Adapter, newResidentSlot(before[resident.Adapter], resident.Version, now))
	}
	for _, loading := range report.Loading {
		s := newResidentSlot(before[loading.Adapter], loading.Version, now)
		s.readyAt = now.Add(t.fullSpeedTime)
		s.replacing = w.slots[loading.Adapter] != nil
		t.setSlot(w, loading.Adapter, s)
	}
	w.synced = true
	w.unreachable = false
	t.recordChanges(w, now)
}

func newResidentSlot(before *slot, version int64, now time.Time) *slot {
	s := &slot{
		version:  version,
		readyAt:  now,
		lastUsed: now.Add(-optionalEvictionIdle),
	}
	if before != nil {
		s.lastUsed = before.lastUsed
		s.users = before.users
	}
	return s
}

// suspect handles the failure of a call on a worker: its report shows whether it
// is still there, before other instances send their calls to it.
func (t *PlacementTable) suspect(server string, now time.Time) {
	w := t.workers[server]
	if w == nil || !w.synced || w.orderInFlight || now.Sub(w.checkedAt) < suspicionInterval {
		return
	}
	w.checkedAt = now
	w.synced = false
	w.nextReportAt = now
	if newer := w.orderedAt.Add(maxReportAge); newer.After(now) {
		w.nextReportAt = newer
	}
}

// RecordUnreachable records that a worker's report could not be read.
func (t *PlacementTable) RecordUnreachable(server string, now time.Time) {
	w := t.workers[server]
	if w == nil || w.synced || w.unreachable {
		return
	}
	w.unreachable = true
	t.recordChanges(w, now)
}

// RecordSilence records that a worker accepted the request for its report and did
// not answer in time. It counts as unreachable only if that happens again: a sound
// worker may pause, and moving all its adapters takes longer than the pause.
func (t *PlacementTable) RecordSilence(server string, now time.Time) {
	w := t.workers[server]
	if w == nil || w.synced {
		return
	}
	if w.unansweredReports++; w.unansweredReports >= maxUnansweredReports {
		t.RecordUnreachable(server, now)
	}
}

// markUnsynced marks a worker as unsynced until its next report. The delay
// ensures that the report is newer than the last order.
func (w *worker) markUnsynced(now time.Time) {
	w.synced = false
	w.nextReportAt = now.Add(maxReportAge)
}

// coldLoadsInFlight counts the loads from the weight store that are in flight.
func (t *PlacementTable) coldLoadsInFlight(now time.Time) int {
	t.coldLoads = t.endedLoadsRemoved(now)
	return len(t.coldLoads)
}

// endedLoadsRemoved returns coldLoads without those that have ended.
func (t *PlacementTable) endedLoadsRemoved(now time.Time) []*slot {
	return slices.DeleteFunc(t.coldLoads, func(s *slot) bool { return !now.Before(s.readyAt) })
}

// setSlot records that an adapter occupies a slot of a worker.
func (t *PlacementTable) setSlot(w *worker, adapter string, s *slot) {
	w.slots[adapter] = s
	t.holders.add(adapter, w)
}

// removeSlot records that an adapter no longer occupies a slot of a worker.
func (t *PlacementTable) removeSlot(w *worker, adapter string) {
	delete(w.slots, adapter)
	t.holders.remove(adapter, w)
}

// forget removes a worker from the indexes.
func (t *PlacementTable) forget(w *worker) {
	for name := range w.slots {
		t.holders.remove(name, w)
	}
	for name := range w.cached {
		t.copies.remove(name, w)
	}
}

// recordAssignment records that a request is assigned to the worker.
func (w *worker) recordAssignment(now time.Time) {
	w.recentAssignments = w.assignmentWeight(now) + 1
	w.assignedAt = now
}

// assignmentWeight returns the decayed number of recent assignments.
func (w *worker) assignmentWeight(now time.Time) float64 {
	if w.recentAssignments == 0 {
		return 0
	}
	return w.recentAssignments * math.Exp2(-now.Sub(w.assignedAt).Seconds()/assignmentHalfLife.Seconds())
}

// maxColdLoads is how many loads from the weight store this domain may have in
// flight.
func (t *PlacementTable) maxColdLoads() float64 {
	return t.window.limit(t.domains, t.ActiveLeaders)
}
