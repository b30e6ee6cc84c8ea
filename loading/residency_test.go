package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// TestResidencyChangesAddUpToFullSnapshot applies the changes since the last
// known revision at irregular intervals, and compares the result with a full
// snapshot.
func TestResidencyChangesAddUpToFullSnapshot(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		s := newSimulation(seed)
		resident := map[string]map[string]int64{}
		known, markedUntil := int64(0), start
		compared := 0
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
			s.report(now)
			s.executeDelayed(now)
			if plan := s.table.Plan(request(fmt.Sprintf("m/%d", s.random.IntN(12))), now); plan.Kind == loading.PlanLoad {
				s.load(t, plan, now)
			}
			s.table.MarkReady(markedUntil, now)
			markedUntil = now
			if s.random.IntN(10) > 0 {
				continue
			}
			applyChanges(resident, s.table.Residency(known))
			known = s.table.Revision
			full := map[string]map[string]int64{}
			applyChanges(full, s.table.Residency(0))
			if diff := cmp.Diff(full, resident); diff != "" {
				t.Fatalf("seed %d after %s: %s", seed, now.Sub(start), diff)
			}
			compared++
		}
		if compared < 100 {
			t.Fatalf("seed %d: only %d comparisons", seed, compared)
		}
	}
}

func applyChanges(resident map[string]map[string]int64, changes map[string]pomelospring.Residency) {
	for id, change := range changes {
		if resident[id] == nil || change.Whole {
			resident[id] = map[string]int64{}
		}
		for _, adapter := range change.Ready {
			resident[id][adapter.Adapter] = adapter.Version
		}
		for _, name := range change.Gone {
			delete(resident[id], name)
		}
	}
}
