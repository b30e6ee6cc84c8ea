package loading

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// tombstones bounds the adapters that are remembered as gone from one worker;
// beyond it the worker is told anew as a whole.
const tombstones = 64

// told is what the book says of an adapter on a worker.
type told struct {
	// ready is false once the adapter has gone.
	ready   bool
	version int64
	// changed is the book's version at the last change.
	changed int64
}

// touch notes what changed on a worker.
func (b *PlacementTable) touch(w *worker, now time.Time) {
	b.Revision++
	w.version = b.Revision
	if w.told == nil || len(w.told) > w.limits.AdapterSlots+tombstones {
		w.told = map[string]told{}
		w.wholeAt = b.Revision
	}
	for name, s := range w.slots {
		before := w.told[name]
		ready := !now.Before(s.readyAt)
		if before.ready != ready || ready && before.version != s.version {
			w.told[name] = told{
				ready:   ready,
				version: s.version,
				changed: b.Revision,
			}
		}
	}
	for name, before := range w.told {
		if w.slots[name] == nil && before.ready {
			w.told[name] = told{
				changed: b.Revision,
			}
		}
	}
}

// Residency lists what changed on the workers since a version of the book.
func (b *PlacementTable) Residency(since int64) map[string]pomelospring.Residency {
	changes := map[string]pomelospring.Residency{}
	for id, w := range b.workers {
		if w.version <= since {
			continue
		}
		change := pomelospring.Residency{
			Whole: since < w.wholeAt,
		}
		for name, t := range w.told {
			switch {
			case t.changed <= since && !change.Whole:
			case t.ready:
				change.Ready = append(change.Ready, pomelospring.ResidentAdapter{
					Adapter: name,
					Version: t.version,
				})
			case !change.Whole:
				change.Gone = append(change.Gone, name)
			}
		}
		changes[id] = change
	}
	return changes
}
