package loading

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// hotUseWindow is how recently an outdated adapter must have been used to
	// be replaced in place by its new version. Others are unloaded, and loaded
	// again on demand.
	hotUseWindow = 4 * time.Second
	// modelPollInterval is the time between requests for the report of a worker
	// that loads its base model. A load takes from 0.3 s to several seconds,
	// and every request has a cost.
	modelPollInterval = 700 * time.Millisecond
	// modelLoadTimeout is how long a base model load counts as in flight
	// without a sign of progress from the worker.
	modelLoadTimeout = 3 * time.Second
	// modelLoadsPerWorker limits the concurrent base model loads from the
	// weight store. As documented by the platform, 1 for a dozen workers and 3
	// for 60 run at full speed.
	modelLoadsPerWorker = 0.05
	// confirmationDelay is how long after its expected end a load counts as on time:
	// by then the first request for a late one has come back.
	confirmationDelay = 60 * time.Millisecond
	// maxModelsOnDisk limits the remembered addresses.
	maxModelsOnDisk = 4000
)

// Maintenance is an order that no request waits for.
type Maintenance struct {
	Kind    pomelospring.OrderKind
	Server  pomelospring.FleetServer
	Adapter string
	Version int64
	Reason  string
}

// Maintenance lists the orders that keep workers ready to serve: base models
// for empty workers, and new versions in place of outdated ones. It gives each
// worker one order at a time. When many workers start empty at once, their base
// models load from the weight store a few at a time, so that the first workers
// can serve while others wait.
func (t *PlacementTable) Maintenance(now time.Time) (orders []Maintenance) {
	if t.Evacuated {
		return nil
	}
	storeLoads := t.modelLoadsInFlight(now)
	for _, w := range t.sorted {
		if !w.synced || w.orderInFlight || w.server.Draining || !w.modelLoadSeenAt.IsZero() || t.paused(w, now) {
			continue
		}
		if order, found := t.baseModelOrder(w); found {
			if !t.modelsOnDisk[w.server.Address+"|"+order.Adapter] {
				if storeLoads >= t.maxModelLoads() {
					continue
				}
				storeLoads++
			}
			orders = append(orders, order)
			continue
		}
		if order, found := t.outdatedAdapterOrder(w, now); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// baseModelOrder picks for an empty worker the base model that the fewest
// workers have.
func (t *PlacementTable) baseModelOrder(w *worker) (order Maintenance, found bool) {
	if len(w.models) > 0 {
		return Maintenance{}, false
	}
	fewest := 0
	for name := range w.limits.Models {
		workerCount := t.workerCount(name)
		if found && (workerCount > fewest || workerCount == fewest && name > order.Adapter) {
			continue
		}
		found = true
		fewest = workerCount
		order = Maintenance{
			Kind:    pomelospring.LoadModel,
			Server:  w.server,
			Adapter: name,
			Reason:  "the worker holds no base model",
		}
	}
	return order, found
}

func (t *PlacementTable) workerCount(model string) (count int) {
	for _, w := range t.workers {
		if w.models[model] {
			count++
		}
	}
	return count
}

func (t *PlacementTable) outdatedAdapterOrder(w *worker, now time.Time) (order Maintenance, found bool) {
	for name, s := range w.slots {
		newestVersion := t.newestVersion[name]
		if s.version >= newestVersion || now.Before(s.readyAt) {
			continue
		}
		order = Maintenance{
			Kind:    pomelospring.UnloadAdapter,
			Server:  w.server,
			Adapter: name,
			Version: newestVersion,
			Reason:  "a newer version was declared",
		}
		if now.Sub(s.lastUsed) < hotUseWindow {
			order.Kind = pomelospring.LoadAdapter
		}
		return order, true
	}
	return Maintenance{}, false
}

// EstimateBacklog estimates how long the loads of a number of adapters take at
// this domain's share of the weight store.
func (t *PlacementTable) EstimateBacklog(adapters int) time.Duration {
	return time.Duration(float64(adapters) / t.maxColdLoads() * float64(t.fullSpeedTime))
}

// ApplyModelLoad applies the result of a base model load order.
func (t *PlacementTable) ApplyModelLoad(server, model string, result pomelospring.OrderResult, now time.Time) {
	w := t.workers[server]
	if w == nil {
		return
	}
	if result != pomelospring.OrderAccepted {
		w.markUnsynced(now)
		return
	}
	w.sequence++
	w.modelLoadSeenAt = now
	w.modelFromStore = !t.modelsOnDisk[w.server.Address+"|"+model]
	w.synced = false
	w.nextReportAt = now.Add(modelPollInterval)
}

// modelLoadsInFlight counts the base model loads from the weight store that are
// in flight.
func (t *PlacementTable) modelLoadsInFlight(now time.Time) (count int) {
	for _, w := range t.workers {
		if w.modelFromStore && !w.modelLoadSeenAt.IsZero() && now.Sub(w.modelLoadSeenAt) < modelLoadTimeout {
			count++
		}
	}
	return count
}

// maxModelLoads is how many base models this domain may load from the weight
// store at once, so that they load at full speed.
func (t *PlacementTable) maxModelLoads() int {
	return max(1, int(modelLoadsPerWorker*float64(len(t.workers))))
}

func (t *PlacementTable) recordOnDisk(address, model string) {
	if len(t.modelsOnDisk) > maxModelsOnDisk {
		clear(t.modelsOnDisk)
	}
	t.modelsOnDisk[address+"|"+model] = true
}

// isWithin reports whether a time is after from and not after until.
func isWithin(at, from, until time.Time) bool { return at.After(from) && !at.After(until) }

// MarkReady records the changes on workers where an adapter became ready after
// from and up to now.
func (t *PlacementTable) MarkReady(from, now time.Time) {
	for _, w := range t.workers {
		changed := false
		for _, s := range w.slots {
			changed = changed || isWithin(s.readyAt, from, now)
			if s.cold && !s.slowed && isWithin(s.readyAt.Add(confirmationDelay), from, now) {
				t.window.recordOnTime(s.orderedAt)
			}
		}
		if changed {
			t.recordChanges(w, now)
		}
	}
}
