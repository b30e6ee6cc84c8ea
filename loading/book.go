// Package loading decides which adapters model workers hold. It is pure: the
// book is told what was ordered, reported and used, and says what to order.
package loading

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// coldLoad is how long an adapter takes from the weight store, by the
	// users' sheet.
	coldLoad = 250 * time.Millisecond
	// warmLoad is the same for an adapter that the worker held recently: a
	// tenth.
	warmLoad = 25 * time.Millisecond
	// loadMargin covers timers and the way of the order.
	loadMargin = 20 * time.Millisecond
	// heldAdapters is how many adapters a worker keeps at hand after they made way.
	heldAdapters = 40
	// transitLimit is how many adapters may be under way to one worker.
	transitLimit = 4
	// defaultUseMemory stands in until the leader knows how often instances
	// tell their use.
	defaultUseMemory = 700 * time.Millisecond
	// replicaIdle is how long an adapter must have been unused to make way for
	// one more copy of another.
	replicaIdle = 3 * time.Second
	// fullSpeedLeast and fullSpeedPart bound the loads from the weight store
	// that run at full speed: 8 at a dozen workers, 24 at 60.
	fullSpeedLeast = 8.0
	fullSpeedPart  = 0.4
	// othersPart is what another book is taken to load for each load of this
	// one: wishes come to them unevenly.
	othersPart = 0.5
	// lateMemory is how long after an adapter should have been there a worker's
	// word that it lacks it is taken for a load that takes longer.
	lateMemory = time.Second
	// lateLeast is the least time that such a load is given on top.
	lateLeast = 60 * time.Millisecond
	// slowdownMost bounds, and slowdownDecay lets fade with each load, what was
	// learned of the weight store's speed.
	slowdownMost  = 6
	slowdownDecay = 0.97
	// grantCost is the wait that a wish which was just sent to a worker adds
	// there, about half a prompt, and grantHalfLife the time until the use that
	// instances tell shows it.
	grantCost     = 120 * time.Millisecond
	grantHalfLife = 400 * time.Millisecond
	// retryPlan is when to look again after nothing could be planned.
	retryPlan = 20 * time.Millisecond
	// reportLag is how old a worker's report may be.
	reportLag = 350 * time.Millisecond
	// retryReport is when to ask again for a report that did not come.
	retryReport = time.Second
	// distanceCost prefers workers of the domain that asks.
	distanceCost = 10 * time.Millisecond
)

// PlacementTable is what the giver of orders knows of the model workers. It is not safe
// for concurrent use.
type PlacementTable struct {
	workers map[string]*worker
	// newest are the versions that operators declared.
	newest map[string]int64
	// onDisk are addresses of workers that were seen with a base model: one that
	// starts again there has a copy.
	onDisk map[string]bool
	// domains is how many books share the weight store.
	domains int
	// slowdown is how much longer than at full speed loads were seen to take.
	slowdown float64
	// RecentUseWindow protects an adapter that was used so lately that a request for
	// it may be under way.
	RecentUseWindow time.Duration
	// ActiveLeaders is how many of the books can give orders at the moment; 0 for all.
	ActiveLeaders int
	// Revision rises with each change of what workers hold.
	Revision int64
}

type worker struct {
	server pomelospring.FleetServer
	limits pomelospring.EngineLimits
	// synced says that sequence and slots are exact.
	synced   bool
	reportAt time.Time
	sequence int64
	ordering bool
	slots    map[string]*slot
	// held are adapters that made way, with the time when.
	held   map[string]time.Time
	models map[string]bool
	// modelHeardAt is the last sign of a base model on its way; zero without
	// one. modelFromStore says that it comes from the weight store.
	modelHeardAt   time.Time
	modelFromStore bool
	waitingTokens  int64
	running        int
	// granted weighs wishes that were sent to the worker since its use was
	// heard of, at grantedAt.
	granted   float64
	grantedAt time.Time
	// version is the book's at the last change of what the worker holds, and
	// wholeAt that from which on told has all changes.
	version int64
	wholeAt int64
	told    map[string]told
}

type slot struct {
	version int64
	// orderedAt is zero for adapters that were found at the worker.
	orderedAt time.Time
	readyAt   time.Time
	lastUsed  time.Time
	users     int
	cold      bool
}

// NewPlacementTable makes a book of no workers.
func NewPlacementTable() *PlacementTable {
	return &PlacementTable{
		domains:         1,
		slowdown:        1,
		RecentUseWindow: defaultUseMemory,
		workers:         map[string]*worker{},
		newest:          map[string]int64{},
		onDisk:          map[string]bool{},
	}
}

// SetServers takes over the list of model workers; one that began anew is
// unknown until it reports. domains is how many books share the weight store.
func (b *PlacementTable) SetServers(servers []pomelospring.FleetServer, limits map[string]pomelospring.EngineLimits, domains int) {
	b.domains = domains
	listed := map[string]bool{}
	for _, server := range servers {
		if _, engine := limits[server.Service]; !engine {
			continue
		}
		listed[server.ID] = true
		known := b.workers[server.ID]
		if known == nil || !known.server.Started.Equal(server.Started) || known.server.Address != server.Address {
			known = &worker{
				slots:  map[string]*slot{},
				held:   map[string]time.Time{},
				models: map[string]bool{},
			}
			b.workers[server.ID] = known
			b.touch(known, time.Time{})
		}
		known.server = server
		known.limits = limits[server.Service]
	}
	for id := range b.workers {
		if !listed[id] {
			delete(b.workers, id)
		}
	}
}

// DeclareVersion takes in the newest version of an adapter.
func (b *PlacementTable) DeclareVersion(adapter string, version int64) {
	b.newest[adapter] = max(b.newest[adapter], version)
}

// Invalidate makes every worker unknown until it reports; a new giver of orders
// knows nothing of its predecessor's.
func (b *PlacementTable) Invalidate(now time.Time) {
	for _, w := range b.workers {
		w.synced = false
		w.reportAt = now
	}
}

// SetServerLoad takes in what all instances have in progress at a worker.
func (b *PlacementTable) SetServerLoad(server string, running int, waitingTokens int64, adapters map[string]int, now time.Time) {
	w := b.workers[server]
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

// DueReports lists the workers whose report is due.
func (b *PlacementTable) DueReports(now time.Time) (servers []pomelospring.FleetServer) {
	for _, w := range b.workers {
		if !w.synced && !w.ordering && !now.Before(w.reportAt) {
			w.reportAt = now.Add(retryReport)
			servers = append(servers, w.server)
		}
	}
	return servers
}

// ApplyReport takes over what a worker says of itself.
func (b *PlacementTable) ApplyReport(server string, report pomelospring.EngineReport, now time.Time) {
	w := b.workers[server]
	if w == nil || w.synced || w.ordering {
		return
	}
	if !report.Started.Equal(w.server.Started) {
		// Another incarnation answers than the list names.
		w.reportAt = now.Add(retryReport)
		return
	}
	if report.Busy && len(report.Models) == 0 {
		// A base model is on its way; ordering it again would not speed it up.
		w.modelHeardAt = now
		w.reportAt = now.Add(modelPoll)
		return
	}
	w.modelHeardAt = time.Time{}
	w.sequence = report.Sequence
	w.models = map[string]bool{}
	for _, model := range report.Models {
		w.models[model] = true
		b.keepOnDisk(w.server.Address, model)
	}
	before := w.slots
	w.slots = map[string]*slot{}
	for _, resident := range report.Resident {
		w.slots[resident.Adapter] = carried(before[resident.Adapter], resident.Version, now)
	}
	for _, loading := range report.Loading {
		s := carried(before[loading.Adapter], loading.Version, now)
		s.readyAt = now.Add(coldLoad)
		w.slots[loading.Adapter] = s
	}
	w.synced = true
	b.touch(w, now)
}

func carried(before *slot, version int64, now time.Time) *slot {
	s := &slot{
		version:  version,
		readyAt:  now,
		lastUsed: now.Add(-replicaIdle),
	}
	if before != nil {
		s.lastUsed = before.lastUsed
		s.users = before.users
	}
	return s
}

// unsync makes a worker unknown until its next report, which must be younger
// than the last order.
func (w *worker) unsync(now time.Time) {
	w.synced = false
	w.reportAt = now.Add(reportLag)
}

// coldLoads counts the loads from the weight store that are under way.
func (b *PlacementTable) coldLoads(now time.Time) (count int) {
	for _, w := range b.workers {
		for _, s := range w.slots {
			if s.cold && now.Before(s.readyAt) {
				count++
			}
		}
	}
	return count
}

// grant notes that a wish is sent to a worker.
func (w *worker) grant(now time.Time) {
	w.granted = w.grants(now) + 1
	w.grantedAt = now
}

// grants weighs the wishes sent to a worker lately.
func (w *worker) grants(now time.Time) float64 {
	if w.granted == 0 {
		return 0
	}
	return w.granted * math.Exp2(-now.Sub(w.grantedAt).Seconds()/grantHalfLife.Seconds())
}

// fleetLoads estimates the loads from the weight store of all books from those
// of this one.
func (b *PlacementTable) fleetLoads(own int) float64 {
	return float64(own) * (1 + othersPart*float64(b.domains-1))
}

// ownLoads is this book's part of the loads at full speed.
func (b *PlacementTable) ownLoads() float64 {
	loaders := b.domains
	if b.ActiveLeaders > 0 {
		loaders = min(b.ActiveLeaders, b.domains)
	}
	return max(1, math.Ceil(b.fullSpeed()/float64(loaders)))
}

// fullSpeed is how many loads the weight store serves at full speed.
func (b *PlacementTable) fullSpeed() float64 {
	return max(fullSpeedLeast, fullSpeedPart*float64(len(b.workers)*b.domains))
}
