package coordination_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/quarantine"
)

// blockStore is a store that holds records of blocks and counts the calls.
type blockStore struct {
	mu      sync.Mutex
	records map[string][]byte
	down    bool
	reads   int
	writes  int
	removes int
}

func (b *blockStore) BlockRecords(context.Context) (records []pomelospring.KeyedRecord, end pomelospring.TopicPosition, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, end, errors.New("the store is down")
	}
	b.reads++
	for key, value := range b.records {
		records = append(records, pomelospring.KeyedRecord{Key: key, Value: slices.Clone(value)})
	}
	return records, end, nil
}

func (b *blockStore) WriteBlockRecord(_ context.Context, key string, value []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.down:
		return errors.New("the store is down")
	case len(value) == 0:
		b.removes++
		delete(b.records, key)
	default:
		b.writes++
		b.records[key] = value
	}
	return nil
}

// calls returns the calls since the last one of it.
func (b *blockStore) calls() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer func() { b.reads, b.writes, b.removes = 0, 0, 0 }()
	return fmt.Sprintf("%d reads, %d writes, %d removed, %d held", b.reads, b.writes, b.removes, len(b.records))
}

func (b *blockStore) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// TestBlockIsRecordedWhileItIsInForce guards against blocks that are lost with the
// instances, records that outlast their blocks, and calls to the store without a need.
func TestBlockIsRecordedWhileItIsInForce(t *testing.T) {
	const request = "request:1"
	var store *blockStore
	var register *quarantine.Register
	var eras *coordination.StoreEras
	endServers := func() {
		for n := range 3 {
			time.Sleep(time.Second)
			register.RecordCrash(fmt.Sprint(n), []quarantine.Call{{Team: "shop", Request: request, Parts: []string{"part"}}}, time.Now(), time.Now())
		}
		register.RecordOutput([]string{"part"}, time.Now())
	}
	scenarios := []struct {
		name       string
		firstStart bool
		follows    bool
		// before is done before the instance starts, and then 1.5 s after that.
		before, then func()
		expected     []string
		blocked      bool
		failures     int
	}{
		{
			name:     "no server ends",
			then:     func() { time.Sleep(time.Hour) },
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 0 writes, 0 removed, 0 held"},
		},
		{
			name:       "the whole fleet starts for the first time",
			firstStart: true,
			then:       endServers,
			expected:   []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 1 writes, 0 removed, 1 held"},
			blocked:    true,
		},
		{
			name:     "another instance leads",
			follows:  true,
			then:     endServers,
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 0 writes, 0 removed, 0 held"},
			blocked:  true,
		},
		{
			name:       "another instance leads at the first start of the whole fleet",
			firstStart: true,
			follows:    true,
			then:       endServers,
			expected:   []string{"0 reads, 0 writes, 0 removed, 0 held", "0 reads, 0 writes, 0 removed, 0 held"},
			blocked:    true,
		},
		{
			name: "the calls still come",
			then: func() {
				endServers()
				for range 12 * 60 {
					time.Sleep(time.Second)
					register.Judge("shop", []string{request}, time.Now())
				}
			},
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 3 writes, 0 removed, 1 held"},
			blocked:  true,
		},
		{
			name: "the calls no longer come",
			then: func() {
				endServers()
				time.Sleep(11 * time.Minute)
			},
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 1 writes, 1 removed, 0 held"},
		},
		{
			name: "the request is answered",
			then: func() {
				endServers()
				time.Sleep(2 * time.Second)
				register.RecordOutput([]string{request}, time.Now())
			},
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 1 writes, 1 removed, 0 held"},
		},
		{
			name: "the store is restored from a copy",
			then: func() {
				endServers()
				time.Sleep(2 * time.Second)
				store.update(func() { clear(store.records) })
				eras.Answered(1)
			},
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "1 reads, 2 writes, 0 removed, 1 held"},
			blocked:  true,
		},
		{
			name: "the store is down for a minute",
			then: func() {
				store.update(func() { store.down = true })
				endServers()
				time.Sleep(time.Minute)
				store.update(func() { store.down = false })
			},
			expected: []string{"1 reads, 0 writes, 0 removed, 0 held", "0 reads, 1 writes, 0 removed, 1 held"},
			blocked:  true,
			failures: 1,
		},
		{
			name: "an instance whose clock was ahead recorded the block",
			before: func() {
				entry := fmt.Sprintf(`{"server":"%%d","atMs":%d,"seenAtMs":%d,"suspects":{%q:["shop"]},"resent":[%q]}`,
					time.Now().Add(time.Hour).UnixMilli(), time.Now().Add(time.Hour).UnixMilli(), request, request)
				crashes := []string{fmt.Sprintf(entry, 1), fmt.Sprintf(entry, 2), fmt.Sprintf(entry, 3)}
				store.records["0123"] = fmt.Appendf(nil, `{"block":%q,"crashes":[%s]}`, request, strings.Join(crashes, ","))
			},
			then:     func() {},
			expected: []string{"1 reads, 1 writes, 1 removed, 1 held", "0 reads, 0 writes, 0 removed, 1 held"},
			blocked:  true,
		},
		{
			name:     "a record can't be read",
			before:   func() { store.records["0123"] = []byte("{") },
			then:     func() {},
			expected: []string{"1 reads, 0 writes, 1 removed, 0 held", "0 reads, 0 writes, 0 removed, 0 held"},
			failures: 1,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store = &blockStore{records: map[string][]byte{}}
				register = quarantine.NewRegister()
				if scenario.before != nil {
					scenario.before()
				}
				lines := memory.New()
				logger := &log.Logger{Handler: lines}
				var leader *coordination.Leader
				if scenario.follows {
					leader = coordination.NewLeader(0, groupParts)
					leader.Uptime = func() time.Duration { return 0 }
				} else {
					leader = startLeader(ctx, &singleWorker{})
				}
				eras = &coordination.StoreEras{Logger: logger, Uptime: func() time.Duration { return 0 }}
				keeper := &coordination.BlockKeeper{
					Store:      store,
					Quarantine: register,
					Coordinator: &coordination.PlacementCoordinator{
						Members: []*coordination.Member{{Domain: "north", Leader: leader}},
					},
					Eras:   eras,
					Logger: logger,
					Clock:  time.Now,

					FirstFleetStart: scenario.firstStart,
				}
				go func() { _ = keeper.Run(ctx) }()
				time.Sleep(1500 * time.Millisecond)
				before := store.calls()
				scenario.then()
				time.Sleep(2 * time.Second)
				got := []string{before, store.calls()}
				if diff := cmp.Diff(scenario.expected, got); diff != "" {
					t.Error(diff)
				}
				if blocked := register.Blocked("shop", []string{request}, time.Now()); blocked != scenario.blocked {
					t.Errorf("blocked = %v", blocked)
				}
				cancel()
				synctest.Wait()
				failures := 0
				for _, line := range lines.Entries {
					if line.Level == log.WarnLevel {
						failures++
					}
				}
				if failures != scenario.failures {
					t.Errorf("%d warnings, expected %d", failures, scenario.failures)
				}
			})
		})
	}
}
