package loading

import (
	"sort"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// hotUse is how lately an adapter must have been used to be replaced by
	// its new version in place; others make way and are loaded on demand.
	hotUse = 4 * time.Second
	// modelPoll is the time between questions whether a base model is there: it
	// takes 0.3 to some seconds, and every question is paid for.
	modelPoll = 700 * time.Millisecond
	// modelSilence is how long a worker without a sign of its base model counts
	// among those that load one.
	modelSilence = 3 * time.Second
	// modelPart bounds the base models that come from the weight store at once:
	// by the users' sheets 1 at a dozen workers and 3 at 60 run at full speed.
	modelPart = 0.05
	// diskMemory bounds the addresses that are remembered.
	diskMemory = 4000
)

// Maintenance is an order that no request waits for.
type Maintenance struct {
	Kind    pomelospring.OrderKind
	Server  pomelospring.FleetServer
	Adapter string
	Version int64
	Reason  string
}

// Maintenance lists orders that keep workers fit to serve: base models for workers
// that came up empty, and new versions in place of old ones. It gives one
// order a worker at a time. For load: when many workers come up empty at once,
// their base models come from the weight store one after the other, so that the
// first can serve while the last still waits.
func (b *PlacementTable) Maintenance(now time.Time) (orders []Maintenance) {
	fromStore := b.modelLoads(now)
	for _, id := range b.sorted() {
		w := b.workers[id]
		if !w.synced || w.ordering || w.server.Draining || !w.modelHeardAt.IsZero() {
			continue
		}
		if order, found := b.modelFor(w); found {
			if !b.onDisk[w.server.Address+"|"+order.Adapter] {
				if fromStore >= b.modelsAtOnce() {
					continue
				}
				fromStore++
			}
			orders = append(orders, order)
			continue
		}
		if order, found := b.outdated(w, now); found {
			orders = append(orders, order)
		}
	}
	return orders
}

func (b *PlacementTable) sorted() []string {
	ids := make([]string, 0, len(b.workers))
	for id := range b.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// modelFor picks the base model that the fewest workers hold for an empty one.
func (b *PlacementTable) modelFor(w *worker) (order Maintenance, found bool) {
	if len(w.models) > 0 {
		return Maintenance{}, false
	}
	least := 0
	for name := range w.limits.Models {
		holders := b.holders(name)
		if found && (holders > least || holders == least && name > order.Adapter) {
			continue
		}
		found = true
		least = holders
		order = Maintenance{
			Kind:    pomelospring.LoadModel,
			Server:  w.server,
			Adapter: name,
			Reason:  "the worker holds no base model",
		}
	}
	return order, found
}

func (b *PlacementTable) holders(model string) (count int) {
	for _, w := range b.workers {
		if w.models[model] {
			count++
		}
	}
	return count
}

func (b *PlacementTable) outdated(w *worker, now time.Time) (order Maintenance, found bool) {
	for name, s := range w.slots {
		newest := b.newest[name]
		if s.version >= newest || now.Before(s.readyAt) {
			continue
		}
		order = Maintenance{
			Kind:    pomelospring.UnloadAdapter,
			Server:  w.server,
			Adapter: name,
			Version: newest,
			Reason:  "a newer version was declared",
		}
		if now.Sub(s.lastUsed) < hotUse {
			order.Kind = pomelospring.LoadAdapter
		}
		return order, true
	}
	return Maintenance{}, false
}

// EstimateBacklog estimates how long the loads of some adapters take one after the
// other, as far as the weight store allows.
func (b *PlacementTable) EstimateBacklog(adapters int) time.Duration {
	return time.Duration(float64(adapters) / b.ownLoads() * float64(coldLoad))
}

// ApplyModelLoad takes in the answer to a load of a base model.
func (b *PlacementTable) ApplyModelLoad(server, model string, result pomelospring.OrderResult, now time.Time) {
	w := b.workers[server]
	if w == nil {
		return
	}
	if result != pomelospring.OrderAccepted {
		w.unsync(now)
		return
	}
	w.sequence++
	w.modelHeardAt = now
	w.modelFromStore = !b.onDisk[w.server.Address+"|"+model]
	w.synced = false
	w.reportAt = now.Add(modelPoll)
}

// modelLoads counts the base models on their way from the weight store.
func (b *PlacementTable) modelLoads(now time.Time) (count int) {
	for _, w := range b.workers {
		if w.modelFromStore && !w.modelHeardAt.IsZero() && now.Sub(w.modelHeardAt) < modelSilence {
			count++
		}
	}
	return count
}

// modelsAtOnce is this book's part of the base models that come from the weight
// store at full speed.
func (b *PlacementTable) modelsAtOnce() int {
	return max(1, int(modelPart*float64(len(b.workers))))
}

func (b *PlacementTable) keepOnDisk(address, model string) {
	if len(b.onDisk) > diskMemory {
		clear(b.onDisk)
	}
	b.onDisk[address+"|"+model] = true
}

// MarkReady notes the workers on which an adapter became ready between two times.
func (b *PlacementTable) MarkReady(from, now time.Time) {
	for _, w := range b.workers {
		for _, s := range w.slots {
			if s.readyAt.After(from) && !s.readyAt.After(now) {
				b.touch(w, now)
				break
			}
		}
	}
}
