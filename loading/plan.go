package loading

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// PlanKind is the kind of decision on a placement request.
type PlanKind string

// The kinds of plan.
const (
	// PlanReady: the adapter is resident on the server, or will be at At.
	PlanReady PlanKind = "ready"
	// PlanLoad: unload the adapter in Evict, if set, then load.
	PlanLoad PlanKind = "load"
	// PlanWait: plan again at At.
	PlanWait PlanKind = "wait"
	// PlanRetry: plan again at once, as the worker received another order.
	PlanRetry PlanKind = "again"
	// PlanNone: no worker can take the adapter.
	PlanNone PlanKind = "none"
)

// Plan is the decision on a placement request.
type Plan struct {
	Kind   PlanKind
	Server pomelospring.FleetServer
	// Evict is the adapter to unload first; empty for none.
	Evict   string
	Adapter string
	Version int64
	At      time.Time
	Reason  string
}

// firstVersion is the version of an adapter for which operators declared none.
// Orders name it by number, as a worker that is asked for the newest version
// may know of a newer one before this table does.
const firstVersion = 1

// Plan decides where the adapter of a placement request is served: on a worker
// where it is resident, or else on the worker with the lowest cost that can
// load it.
func (t *PlacementTable) Plan(request pomelospring.PlacementRequest, now time.Time) Plan {
	if t.Evacuated {
		return Plan{
			Kind:   PlanNone,
			Reason: "the failure domain is evacuated",
		}
	}
	version := max(firstVersion, request.Version, t.newestVersion[request.Adapter])
	avoid := map[string]bool{}
	for _, id := range request.Avoid {
		avoid[id] = true
		t.suspect(id, now)
	}
	for _, id := range request.Missing {
		avoid[id] = !t.extendDelayedLoad(id, request.Adapter, now)
	}
	for _, id := range request.Unusable {
		avoid[id] = true
	}
	if ready, found := t.findResident(request, version, avoid, now); found {
		return ready
	}
	if t.saturated(request.Adapter, now) {
		return Plan{
			Kind:   PlanWait,
			At:     now.Add(planRetryDelay),
			Reason: "the weight store is busy",
		}
	}
	best, evict, busy := t.cheapestWorker(request, avoid, now)
	switch {
	case best != nil:
		best.recordAssignment(now)
		return Plan{
			Kind:    PlanLoad,
			Server:  best.server,
			Evict:   evict,
			Adapter: request.Adapter,
			Version: version,
			Reason:  "cheapest",
		}
	case busy:
		return Plan{
			Kind:   PlanWait,
			At:     now.Add(planRetryDelay),
			Reason: "all slots in use",
		}
	default:
		return Plan{
			Kind:   PlanNone,
			Reason: "no worker with the base model accepts orders",
		}
	}
}

// maxCandidates bounds how many workers that can load an adapter are compared
// for one placement request. The cheapest of so many is about as good as the
// cheapest of all.
const maxCandidates = 64

// cheapestWorker finds the worker with the lowest cost that can load an adapter,
// and the adapter to evict there. Those with a cached copy are compared first,
// then others, from a different start each time. busy reports whether a worker
// that can't load it now may soon.
func (t *PlacementTable) cheapestWorker(request pomelospring.PlacementRequest, avoid map[string]bool, now time.Time) (best *worker, bestEvict string, busy bool) {
	idle := t.RecentUseWindow
	if request.Optional {
		idle = max(idle, optionalEvictionIdle)
	}
	candidates := 0
	var bestCost time.Duration
	consider := func(w *worker) {
		if t.paused(w, now) || request.Replica && w.slots[request.Adapter] != nil {
			return
		}
		usable, retryable := w.canLoad(request.Adapter, avoid, now)
		busy = busy || retryable
		if !usable {
			return
		}
		evict, freeSlot := w.freeSlot(now, idle)
		if !freeSlot {
			busy = true
			return
		}
		candidates++
		cost := t.cost(w, request, now)
		if best == nil || cost < bestCost || cost == bestCost && w.server.ID < best.server.ID {
			best, bestEvict, bestCost = w, evict, cost
		}
	}
	for w := range t.copies[request.Adapter] {
		consider(w)
	}
	for i := range t.sorted {
		if candidates >= maxCandidates {
			t.cursor += i
			break
		}
		consider(t.sorted[(t.cursor+i)%len(t.sorted)])
	}
	return best, bestEvict, busy
}

// extendDelayedLoad handles a request that found an adapter missing on a
// worker. It reports whether the load of the adapter is delayed, and then
// postpones the expected end of the load.
func (t *PlacementTable) extendDelayedLoad(server, adapter string, now time.Time) bool {
	w := t.workers[server]
	if w == nil || w.slots[adapter] == nil {
		return false
	}
	s := w.slots[adapter]
	if s.orderedAt.IsZero() || now.Sub(s.readyAt) > delayedLoadWindow {
		return false
	}
	took := now.Sub(s.orderedAt)
	if s.cold {
		// The request was sent at the expected end or later, and may have taken long to
		// come back.
		t.recordLateLoad(s, min(took, s.readyAt.Sub(s.orderedAt)), now)
	}
	if !now.Before(s.readyAt) {
		if s.cold {
			t.coldLoads = append(t.endedLoadsRemoved(now), s)
		}
		s.readyAt = now.Add(max(minLoadExtension, took/2))
		t.recordChanges(w, now)
	}
	return true
}

// FullSpeedTime returns how long an adapter is expected to take to load from the weight
// store at full speed.
func (t *PlacementTable) FullSpeedTime() time.Duration { return t.fullSpeedTime }

// recordLateLoad records that a load from the weight store takes longer than expected.
// If it is a little late although few enough are in flight for any store, that is how
// long loads take at full speed.
func (t *PlacementTable) recordLateLoad(s *slot, took time.Duration, now time.Time) {
	if took <= maxFullSpeedTime && t.window.isSafe() {
		t.fullSpeedTime = min(maxFullSpeedTime, max(t.fullSpeedTime, took))
		t.window.relearn(now)
		s.slowed = true
		return
	}
	t.window.recordLate(s.orderedAt, now, t.fullSpeedTime)
	s.slowed = true
	t.slowdown = min(maxSlowdown, max(t.slowdown, took.Seconds()/t.fullSpeedTime.Seconds()))
}

// saturated reports whether one more load from the weight store would slow down
// the loads in flight. An adapter that is cached on some worker needs no load
// from the store.
func (t *PlacementTable) saturated(adapter string, now time.Time) bool {
	if float64(t.coldLoadsInFlight(now)) < t.maxColdLoads() {
		return false
	}
	for w := range t.copies[adapter] {
		if w.synced {
			return false
		}
	}
	t.window.fullAt = now
	return true
}

// findResident finds the worker on which the adapter is resident or will be
// soonest.
func (t *PlacementTable) findResident(request pomelospring.PlacementRequest, version int64, avoid map[string]bool, now time.Time) (plan Plan, found bool) {
	for w := range t.holders[request.Adapter] {
		s := w.slots[request.Adapter]
		if avoid[w.server.ID] || w.unreachable || w.server.Draining || s.version < version {
			continue
		}
		if request.Replica && !now.Before(s.readyAt) {
			continue
		}
		if found && !s.readyAt.Before(plan.At) {
			continue
		}
		s.lastUsed = now
		found = true
		plan = Plan{
			Kind:    PlanReady,
			Server:  w.server,
			Adapter: request.Adapter,
			Version: s.version,
			At:      s.readyAt,
			Reason:  "resident",
		}
	}
	return plan, found
}

// canLoad reports whether a worker may be ordered to load an adapter now, or
// else whether that may change soon.
func (w *worker) canLoad(adapter string, avoid map[string]bool, now time.Time) (usable, retryable bool) {
	model := baseModelOf(adapter)
	if w.server.Draining || avoid[w.server.ID] {
		return false, false
	}
	if !w.modelLoadSeenAt.IsZero() {
		return false, false
	}
	if !w.synced || w.orderInFlight {
		return false, true
	}
	if !w.models[model] {
		return false, false
	}
	if s := w.slots[adapter]; s != nil && now.Before(s.readyAt) {
		return false, true
	}
	inFlight := 0
	for _, s := range w.slots {
		if now.Before(s.readyAt) {
			inFlight++
		}
	}
	return inFlight < maxLoadsPerWorker, true
}

// freeSlot finds a free slot on the worker, or the adapter to evict: the least
// recently used one that has been unused for at least the idle time.
func (w *worker) freeSlot(now time.Time, idle time.Duration) (evict string, found bool) {
	replacing := w.replacedVersions()
	occupied := len(w.slots) + replacing
	if occupied < w.limits.AdapterSlots {
		return "", true
	}
	if replacing > 0 && occupied > w.limits.AdapterSlots {
		return "", false
	}
	var oldest time.Time
	for name, s := range w.slots {
		if s.users > 0 || now.Before(s.readyAt) || now.Sub(s.lastUsed) < idle {
			continue
		}
		if evict == "" || s.lastUsed.Before(oldest) || s.lastUsed.Equal(oldest) && name < evict {
			evict, oldest = name, s.lastUsed
		}
	}
	return evict, evict != ""
}

// replacedVersions counts the older versions that the worker may hold beside the newer ones.
func (w *worker) replacedVersions() (count int) {
	for _, s := range w.slots {
		if s.replacing {
			count++
		}
	}
	return count
}

// hasReplaced reports whether a version that was being replaced may be gone by now.
func (w *worker) hasReplaced(now time.Time) bool {
	for _, s := range w.slots {
		if s.replacing && !now.Before(s.readyAt) {
			return true
		}
	}
	return false
}

// cost estimates the time until the first output of the adapter on a worker.
func (t *PlacementTable) cost(w *worker, request pomelospring.PlacementRequest, now time.Time) time.Duration {
	cost := t.loadTime(w, request.Adapter)
	work := t.Speeds.PrefillTime(w.waitingTokens)
	work += time.Duration(w.running) * time.Millisecond
	work += time.Duration(w.assignmentWeight(now) * float64(assignmentCost))
	if pace, found := t.Paces[w.server.ID]; found {
		work = time.Duration(float64(work+ownWorkCost)*pace) - ownWorkCost
	}
	cost += work
	if w.server.Domain != request.Domain {
		cost += remoteDomainCost
	}
	return cost
}

func (t *PlacementTable) loadTime(w *worker, adapter string) time.Duration {
	if _, cached := w.cached[adapter]; cached {
		return warmLoadTime
	}
	return time.Duration(float64(t.fullSpeedTime) * t.slowdown)
}

// BeginOrder reserves a worker while orders are sent to it, and returns the
// sequence number of the next order.
func (t *PlacementTable) BeginOrder(server string) (sequence int64, ok bool) {
	w := t.workers[server]
	if w == nil || w.orderInFlight || !w.synced || w.server.Draining {
		return 0, false
	}
	w.orderInFlight = true
	return w.sequence, true
}

// EndOrder releases the worker after its orders.
func (t *PlacementTable) EndOrder(server string) {
	if w := t.workers[server]; w != nil {
		w.orderInFlight = false
	}
}

// ApplyUnload applies the result of an unload order and reports whether the
// slot is free.
func (t *PlacementTable) ApplyUnload(server, adapter string, result pomelospring.OrderResult, now time.Time) bool {
	w := t.workers[server]
	if w == nil {
		return false
	}
	w.orderedAt = now
	switch result {
	case pomelospring.OrderDone:
		w.sequence++
		t.removeSlot(w, adapter)
		t.markCached(w, adapter, now)
		t.recordChanges(w, now)
		return true
	default:
		// The unload waits for running requests, or its result is unknown: the
		// next report shows which adapters are resident.
		t.removeSlot(w, adapter)
		w.markUnsynced(now)
		t.recordChanges(w, now)
		return false
	}
}

// ApplyLoad applies the result of a load order and returns when the adapter is
// expected to be ready.
func (t *PlacementTable) ApplyLoad(server, adapter string, version int64, result pomelospring.OrderResult, now time.Time) (readyAt time.Time, ok bool) {
	w := t.workers[server]
	if w == nil {
		return time.Time{}, false
	}
	w.orderedAt = now
	if result != pomelospring.OrderAccepted && result != pomelospring.OrderDone {
		w.markUnsynced(now)
		return time.Time{}, false
	}
	readyAt = now
	cold := false
	if result == pomelospring.OrderAccepted {
		w.sequence++
		_, cached := w.cached[adapter]
		cold = !cached
		readyAt = now.Add(t.loadTime(w, adapter) + loadMargin)
	}
	loaded := &slot{
		version:   version,
		orderedAt: now,
		readyAt:   readyAt,
		lastUsed:  readyAt,
		cold:      cold,
		slowed:    t.slowdown > 1,
	}
	if before := w.slots[adapter]; before != nil && result == pomelospring.OrderAccepted {
		loaded.replacing = before.version != version
	}
	t.setSlot(w, adapter, loaded)
	if cold {
		t.coldLoads = append(t.coldLoads, loaded)
	}
	t.slowdown = max(1, t.slowdown*slowdownDecay)
	t.markCached(w, adapter, now)
	t.recordChanges(w, now)
	return readyAt, true
}

// markCached records that the worker has a cached copy of the adapter.
func (t *PlacementTable) markCached(w *worker, adapter string, now time.Time) {
	w.cached[adapter] = now
	t.copies.add(adapter, w)
	if len(w.cached) <= maxCachedAdapters {
		return
	}
	var oldest string
	for name, at := range w.cached {
		if oldest == "" || at.Before(w.cached[oldest]) {
			oldest = name
		}
	}
	delete(w.cached, oldest)
	t.copies.remove(oldest, w)
}

func baseModelOf(adapter string) string {
	for i := range adapter {
		if adapter[i] == '/' {
			return adapter[:i]
		}
	}
	return adapter
}
