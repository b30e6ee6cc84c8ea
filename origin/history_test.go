package origin_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
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
