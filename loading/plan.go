package loading

import (
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

// PlanKind says what to do about a wish.
type PlanKind string

// The kinds of plan.
const (
	// PlanReady: the adapter is at the server, or is there from At on.
	PlanReady PlanKind = "ready"
	// PlanLoad: evict, where set, then load.
	PlanLoad PlanKind = "load"
	// PlanWait: look again at At.
	PlanWait PlanKind = "wait"
	// PlanRetry: plan anew at once, as the worker was ordered otherwise.
	PlanRetry PlanKind = "again"
	// PlanNone: no worker can take the adapter.
	PlanNone PlanKind = "none"
)

// Plan is what to do about a wish.
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

// firstVersion is that of an adapter of which operators declared none. It is
// ordered by number: a worker asked for the newest may know of a newer one
// sooner than this book.
const firstVersion = 1

// Plan decides about a wish for an adapter.
func (b *PlacementTable) Plan(wish pomelospring.PlacementRequest, now time.Time) Plan {
	version := max(firstVersion, wish.Version, b.newest[wish.Adapter])
	avoid := map[string]bool{}
	for _, id := range wish.Avoid {
		avoid[id] = !b.late(id, wish.Adapter, now)
	}
	if ready, found := b.resident(wish, version, avoid, now); found {
		return ready
	}
	if b.saturated(wish.Adapter, now) {
		return Plan{
			Kind:   PlanWait,
			At:     now.Add(retryPlan),
			Reason: "the weight store is busy",
		}
	}
	idle := b.RecentUseWindow
	if wish.Replica {
		idle = max(idle, replicaIdle)
	}
	var best *worker
	var bestEvict string
	var bestCost time.Duration
	busy := false
	for _, w := range b.workers {
		usable, momentary := w.takes(wish.Adapter, avoid, now)
		busy = busy || momentary
		if !usable {
			continue
		}
		evict, room := w.room(now, idle)
		if !room {
			busy = true
			continue
		}
		cost := b.cost(w, wish, now)
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = w, evict, cost
		}
	}
	switch {
	case best != nil:
		best.grant(now)
		return Plan{
			Kind:    PlanLoad,
			Server:  best.server,
			Evict:   bestEvict,
			Adapter: wish.Adapter,
			Version: version,
			Reason:  "cheapest",
		}
	case busy:
		return Plan{
			Kind:   PlanWait,
			At:     now.Add(retryPlan),
			Reason: "all slots in use",
		}
	default:
		return Plan{
			Kind:   PlanNone,
			Reason: "no worker with the base model",
		}
	}
}

// late takes in that a worker lacks an adapter, and reports whether its load
// just takes longer than was thought.
func (b *PlacementTable) late(server, adapter string, now time.Time) bool {
	w := b.workers[server]
	if w == nil || w.slots[adapter] == nil {
		return false
	}
	s := w.slots[adapter]
	if s.orderedAt.IsZero() || now.Sub(s.readyAt) > lateMemory {
		return false
	}
	took := now.Sub(s.orderedAt)
	if s.cold {
		b.slowdown = min(slowdownMost, max(b.slowdown, took.Seconds()/coldLoad.Seconds()))
	}
	if !now.Before(s.readyAt) {
		s.readyAt = now.Add(max(lateLeast, took/2))
		b.touch(w, now)
	}
	return true
}

// saturated reports whether one more load from the weight store would slow
// down those under way; an adapter that some worker keeps at hand needs none.
func (b *PlacementTable) saturated(adapter string, now time.Time) bool {
	if float64(b.coldLoads(now)) < b.ownLoads() {
		return false
	}
	for _, w := range b.workers {
		if _, held := w.held[adapter]; held && w.synced {
			return false
		}
	}
	return true
}

// resident finds a worker that holds the adapter or will soon.
func (b *PlacementTable) resident(wish pomelospring.PlacementRequest, version int64, avoid map[string]bool, now time.Time) (plan Plan, found bool) {
	for id, w := range b.workers {
		s := w.slots[wish.Adapter]
		if s == nil || avoid[id] || w.server.Draining || s.version < version {
			continue
		}
		if wish.Replica && !now.Before(s.readyAt) {
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
			Adapter: wish.Adapter,
			Version: s.version,
			At:      s.readyAt,
			Reason:  "resident",
		}
	}
	return plan, found
}

// takes reports whether a worker may be ordered to load an adapter now, or
// else whether that may change in a moment.
func (w *worker) takes(adapter string, avoid map[string]bool, now time.Time) (usable, momentary bool) {
	model := modelOf(adapter)
	if w.server.Draining || avoid[w.server.ID] {
		return false, false
	}
	if !w.modelHeardAt.IsZero() {
		return false, false
	}
	if !w.synced || w.ordering {
		return false, true
	}
	if !w.models[model] {
		return false, false
	}
	if s := w.slots[adapter]; s != nil && now.Before(s.readyAt) {
		return false, true
	}
	transit := 0
	for _, s := range w.slots {
		if now.Before(s.readyAt) {
			transit++
		}
	}
	return transit < transitLimit, true
}

// room finds a free slot or the adapter that makes way: the one unused for the
// longest time, idle at least.
func (w *worker) room(now time.Time, idle time.Duration) (evict string, found bool) {
	if len(w.slots) < w.limits.AdapterSlots {
		return "", true
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

// cost estimates the time until a first output of the adapter on a worker.
func (b *PlacementTable) cost(w *worker, wish pomelospring.PlacementRequest, now time.Time) time.Duration {
	cost := b.loadTime(w, wish.Adapter, now)
	cost += dispatch.PrefillTime(w.waitingTokens)
	cost += time.Duration(w.running) * time.Millisecond
	cost += time.Duration(w.grants(now) * float64(grantCost))
	if w.server.Domain != wish.Domain {
		cost += distanceCost
	}
	return cost
}

func (b *PlacementTable) loadTime(w *worker, adapter string, now time.Time) time.Duration {
	if _, held := w.held[adapter]; held {
		return warmLoad
	}
	slowdown := max(b.slowdown, b.fleetLoads(b.coldLoads(now)+1)/b.fullSpeed())
	return time.Duration(float64(coldLoad) * slowdown)
}

// BeginOrder reserves the worker of a plan while orders are sent to it.
func (b *PlacementTable) BeginOrder(server string) (sequence int64, ok bool) {
	w := b.workers[server]
	if w == nil || w.ordering || !w.synced {
		return 0, false
	}
	w.ordering = true
	return w.sequence, true
}

// EndOrder frees the worker after orders.
func (b *PlacementTable) EndOrder(server string) {
	if w := b.workers[server]; w != nil {
		w.ordering = false
	}
}

// ApplyUnload takes in the answer to an unload and reports whether the slot is free.
func (b *PlacementTable) ApplyUnload(server, adapter string, result pomelospring.OrderResult, now time.Time) bool {
	w := b.workers[server]
	if w == nil {
		return false
	}
	switch result {
	case pomelospring.OrderDone:
		w.sequence++
		delete(w.slots, adapter)
		w.hold(adapter, now)
		b.touch(w, now)
		return true
	default:
		// The unload waits for runs, or its fate is unknown: the next report
		// tells what the worker holds.
		delete(w.slots, adapter)
		w.unsync(now)
		b.touch(w, now)
		return false
	}
}

// ApplyLoad takes in the answer to a load and says when the adapter is ready.
func (b *PlacementTable) ApplyLoad(server, adapter string, version int64, result pomelospring.OrderResult, now time.Time) (readyAt time.Time, ok bool) {
	w := b.workers[server]
	if w == nil {
		return time.Time{}, false
	}
	if result != pomelospring.OrderAccepted && result != pomelospring.OrderDone {
		w.unsync(now)
		return time.Time{}, false
	}
	readyAt = now
	cold := false
	if result == pomelospring.OrderAccepted {
		w.sequence++
		_, held := w.held[adapter]
		cold = !held
		readyAt = now.Add(b.loadTime(w, adapter, now) + loadMargin)
	}
	w.slots[adapter] = &slot{
		version:   version,
		orderedAt: now,
		readyAt:   readyAt,
		lastUsed:  readyAt,
		cold:      cold,
	}
	b.slowdown = max(1, b.slowdown*slowdownDecay)
	w.hold(adapter, now)
	b.touch(w, now)
	return readyAt, true
}

// hold notes that the worker keeps a copy of the adapter at hand.
func (w *worker) hold(adapter string, now time.Time) {
	w.held[adapter] = now
	if len(w.held) <= heldAdapters {
		return
	}
	var oldest string
	for name, at := range w.held {
		if oldest == "" || at.Before(w.held[oldest]) {
			oldest = name
		}
	}
	delete(w.held, oldest)
}

func modelOf(adapter string) string {
	for i := range adapter {
		if adapter[i] == '/' {
			return adapter[:i]
		}
	}
	return adapter
}
