package origin_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
)

// silentStore answers no read before its context ends.
type silentStore struct{ *originStore }

func (silentStore) Starts(ctx context.Context, from pomelospring.TopicPosition) ([]pomelospring.StreamStart, pomelospring.TopicPosition, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

// TestLookupsQueueBehindASilentStore guards against calls that wait for the lookups of
// others, one after the other, while the store does not answer.
func TestLookupsQueueBehindASilentStore(t *testing.T) {
	// A lookup waits for one that began before it, and then for its own.
	const lookups, longestWait = 10, 1500 * time.Millisecond
	i := newInstance(&originStore{versions: map[string][]string{}}, "v1", "v2")
	i.Store = silentStore{}
	i.Clock = time.Now
	var group sync.WaitGroup
	for range lookups {
		group.Go(func() {
			began := time.Now()
			i.Origin(t.Context(), "llm", "r1")
			if took := time.Since(began); took > longestWait {
				t.Errorf("a lookup took %s", took)
			}
		})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
}
