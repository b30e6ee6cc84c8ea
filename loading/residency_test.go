package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// TestChangesAddUpToWhatWorkersHold follows the book by changes, with gaps, and
// compares that with the whole word of the moment.
func TestChangesAddUpToWhatWorkersHold(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		s := newShop(seed)
		held := map[string]map[string]int64{}
		known, settled := int64(0), start
		compared := 0
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
			s.report(now)
			s.carryOut(now)
			if plan := s.book.Plan(wish(fmt.Sprintf("m/%d", s.random.IntN(12))), now); plan.Kind == loading.PlanLoad {
				s.load(t, plan, now)
			}
			s.book.MarkReady(settled, now)
			settled = now
			if s.random.IntN(10) > 0 {
				continue
			}
			follow(held, s.book.Residency(known))
			known = s.book.Revision
			whole := map[string]map[string]int64{}
			follow(whole, s.book.Residency(0))
			if diff := cmp.Diff(whole, held); diff != "" {
				t.Fatalf("seed %d after %s: %s", seed, now.Sub(start), diff)
			}
			compared++
		}
		if compared < 100 {
			t.Fatalf("seed %d: compared %d times only", seed, compared)
		}
	}
}

func follow(held map[string]map[string]int64, changes map[string]pomelospring.Residency) {
	for id, change := range changes {
		if held[id] == nil || change.Whole {
			held[id] = map[string]int64{}
		}
		for _, adapter := range change.Ready {
			held[id][adapter.Adapter] = adapter.Version
		}
		for _, name := range change.Gone {
			delete(held[id], name)
		}
	}
}
