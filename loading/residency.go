package loading

import (
	"time"

	"github.com/pomelospring/pomelospring"
)

// maxTombstones limits the removed adapters that are remembered for one worker;
// beyond it the worker's residency is published in full.
const maxTombstones = 64

// published is the last published state of an adapter on a worker.
type published struct {
	// ready is false once the adapter is removed or a new version of it loads.
	ready   bool
	version int64
	// revision is the table's revision at the last change.
	revision int64
}

// recordChanges starts a new revision of the table and updates the published
// state of a worker.
func (t *PlacementTable) recordChanges(w *worker, now time.Time) {
	t.Revision++
	w.version = t.Revision
	if w.published == nil || len(w.published) > w.limits.AdapterSlots+maxTombstones {
		w.published = map[string]published{}
		w.completeSince = t.Revision
	}
	for name, s := range w.slots {
		before := w.published[name]
		ready := !now.Before(s.readyAt) && !w.unreachable
		if before.ready != ready || ready && before.version != s.version {
			w.published[name] = published{
				ready:    ready,
				version:  s.version,
				revision: t.Revision,
			}
		}
	}
	for name, before := range w.published {
		if w.slots[name] == nil && before.ready {
			w.published[name] = published{
				revision: t.Revision,
			}
		}
	}
}

// Residency lists the changes on all workers after a revision of the table.
func (t *PlacementTable) Residency(since int64) map[string]pomelospring.Residency {
	changes := map[string]pomelospring.Residency{}
	for id, w := range t.workers {
		if w.version <= since {
			continue
		}
		change := pomelospring.Residency{
			Whole: since < w.completeSince,
		}
		for name, state := range w.published {
			switch {
			case state.revision <= since && !change.Whole:
			case state.ready:
				change.Ready = append(change.Ready, pomelospring.ResidentAdapter{
					Adapter: name,
					Version: state.version,
				})
			case !change.Whole:
				change.Gone = append(change.Gone, name)
			}
		}
		changes[id] = change
	}
	return changes
}
