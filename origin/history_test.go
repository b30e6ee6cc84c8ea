package origin_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/origin"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// linkBytes is what the link to the store carries, in bytes a second.
	linkBytes = 10_000_000 / 8
	// historyRecords is how many starts the store holds.
	historyRecords = 20_000
	// maxLookups is how many calls may ask until the start is found.
	maxLookups = 8
)

// TestLongHistoryIsNeverReadToItsEnd guards against lookups that each begin to read the
// store's history anew, over a link that does not carry it in the time of one.
func TestLongHistoryIsNeverReadToItsEnd(t *testing.T) {
	store := standin.NewStore()
	for n := range historyRecords {
		store.Put(platform.StartTopic, fmt.Sprintf("r%d", n), []byte(`{"service":"llm","software":"v1","server":"i-v1","startedMs":1000,"atMs":2000}`))
	}
	server := httptest.NewServer(store)
	defer server.Close()
	link, err := standin.NewSlowLink(strings.TrimPrefix(server.URL, "http://"), linkBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	client := platform.NewStore(link.Address)
	defer client.Close()
	k := &origin.Keeper{
		Store:     client,
		Register:  origin.NewRegister(),
		Directory: noDirectory{},
		Board:     fleet.NewBoard("north"),
		LeadsAny:  func() bool { return false },
		Instances: func() int { return 79 },
		Logger:    &log.Logger{Handler: discard.New()},
		Clock:     time.Now,
	}
	for lookup := 1; lookup <= maxLookups; lookup++ {
		if k.Origin(t.Context(), "llm", fmt.Sprintf("r%d", historyRecords-1)).Known {
			return
		}
	}
	t.Errorf("the newest of %d starts is not found after %d lookups", historyRecords, maxLookups)
}

// TestStartIsWrittenAgainAfterItsDeadline guards against a store full of starts that no
// caller can ask for.
func TestStartIsWrittenAgainAfterItsDeadline(t *testing.T) {
	scenarios := []struct {
		name string
		// callerWaits is how long the stream's caller waits.
		callerWaits time.Duration
		writes      int
	}{
		{name: "five seconds", callerWaits: 5 * time.Second, writes: 1},
		{name: "15 seconds", callerWaits: 15 * time.Second, writes: 2},
		{name: "a minute", callerWaits: time.Minute, writes: 7},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store := &originStore{versions: map[string][]string{}}
			i := newInstance(store, "v1", "v2")
			i.Begin(pomelospring.StreamStart{
				Call:          "r1",
				Service:       "llm",
				Software:      "v1",
				Server:        "i-v1",
				ServerStarted: time.UnixMilli(1000),
				At:            i.now,
				Deadline:      i.now.Add(scenario.callerWaits),
			})
			for range 59 {
				i.keep()
				i.now = i.now.Add(time.Second)
			}
			if diff := cmp.Diff(scenario.writes, len(store.starts)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
