package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/origin"
)

// maxKeptStarts is how many starts a register keeps.
const maxKeptStarts = 200_000

// TestNewStartIsDroppedByAFullRegister guards against forgetting the newest starts in favor
// of old ones that other instances wrote, and against walking all of them for each.
func TestNewStartIsDroppedByAFullRegister(t *testing.T) {
	r := origin.NewRegister()
	now := time.UnixMilli(1_000_000)
	starts := make([]pomelospring.StreamStart, 2*maxKeptStarts)
	for n := range starts {
		starts[n] = pomelospring.StreamStart{Call: fmt.Sprint("other", n), Service: "llm", Software: "v1"}
	}
	r.Merge(starts, now)
	r.Begin(pomelospring.StreamStart{Call: "r1", Service: "llm", Software: "v1"}, now)
	for _, call := range []string{"r1", fmt.Sprint("other", len(starts)-1)} {
		if _, found := r.Find(call); !found {
			t.Errorf("the start of %s is not known", call)
		}
	}
	if _, found := r.Find("other0"); found {
		t.Error("the oldest start is still known")
	}
}
