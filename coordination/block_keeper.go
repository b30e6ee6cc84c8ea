package coordination

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/quarantine"
)

const (
	// keepInterval is the time between comparisons of the blocks and their records.
	keepInterval = time.Second
	// keepSeenInterval is how much later than recorded a block's calls must have come
	// for its record to be written again. It is half of a crash's lifetime.
	keepSeenInterval = 5 * time.Minute
)

// BlockKeeper keeps records of the blocks in the store, so that they outlast a start of
// all instances. The leader of the domain that grants a block's trials writes its record;
// each new leader reads all of them.
type BlockKeeper struct {
	Store       pomelospring.BlockStore
	Quarantine  *quarantine.Register
	Coordinator *PlacementCoordinator
	Eras        *StoreEras
	Logger      log.Interface
	Clock       pomelospring.Clock
	// FirstFleetStart says that the whole fleet is starting for the first time, so that
	// there are no records yet. Otherwise every instance reads them when it starts.
	FirstFleetStart bool

	// led has the domains that this instance led, and era is the store's era, when the
	// records were read.
	led []string
	era int64
	// records has what is recorded, by key; nil until it was read.
	records map[string]blockRecord
	// failing is set from the first failed call to the store until the next success.
	failing bool
}

// blockRecord is the record of a block. Times are in milliseconds since 1970.
type blockRecord struct {
	Block   string         `json:"block"`
	Crashes []crashOfBlock `json:"crashes"`
}

type crashOfBlock struct {
	Server   string              `json:"server"`
	AtMs     int64               `json:"atMs"`
	SeenAtMs int64               `json:"seenAtMs"`
	Suspects map[string][]string `json:"suspects"`
	Resent   []string            `json:"resent,omitempty"`
}

// Run keeps the records up to date until the context ends.
func (k *BlockKeeper) Run(ctx context.Context) error {
	if k.FirstFleetStart {
		k.records = map[string]blockRecord{}
	}
	for ; ctx.Err() == nil; _ = pomelospring.Sleep(ctx, keepInterval) {
		err := k.keep(ctx)
		if err != nil && !k.failing && ctx.Err() == nil {
			events.Log(k.Logger, events.BlocksNotKept, log.Fields{
				"error": err.Error(),
			})
		}
		k.failing = err != nil
	}
	return nil
}

// keep reads the records if it has not read them, if this instance leads other domains than
// then, or if the store was restored from a copy; it then writes those that are out of date.
func (k *BlockKeeper) keep(ctx context.Context) error {
	led := k.Coordinator.ledDomains()
	era, _ := k.Eras.Current()
	if len(led) > 0 && (!slices.Equal(led, k.led) || era != k.era) {
		k.records = nil
	}
	k.led, k.era = led, era
	if k.records == nil {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	return k.write(ctx)
}

// read adds the crashes of all records to the register.
func (k *BlockKeeper) read(ctx context.Context) error {
	stored, _, err := k.Store.BlockRecords(ctx)
	if err != nil {
		return err
	}
	now := k.Clock()
	records := make(map[string]blockRecord, len(stored))
	var crashes []quarantine.Crash
	for i := range stored {
		var record blockRecord
		if err := json.Unmarshal(stored[i].Value, &record); err != nil {
			// The record stays in the map without crashes, so that it is removed.
			events.Log(k.Logger, events.BlocksNotKept, log.Fields{
				"key":   stored[i].Key,
				"error": err.Error(),
			})
		}
		records[stored[i].Key] = record
		crashes = append(crashes, record.decode(now)...)
	}
	k.records = records
	if len(records) > 0 {
		events.Log(k.Logger, events.BlocksRead, log.Fields{
			"blocks": len(records),
		})
	}
	k.Quarantine.Merge(crashes, nil, now)
	return nil
}

// write records the blocks of the domains that this instance leads, and removes the
// records of those that are no longer in force.
func (k *BlockKeeper) write(ctx context.Context) error {
	current := map[string]blockRecord{}
	for block, crashes := range k.Quarantine.Evidence(k.Clock()) {
		if k.Coordinator.leadsBlock(block) {
			current[blockKey(block)] = encodeBlock(block, crashes)
		}
	}
	for key, record := range current {
		if recorded := k.records[key]; recorded.covers(&record) {
			continue
		}
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		if err = k.put(ctx, key, value, &record); err != nil {
			return err
		}
		k.records[key] = record
	}
	for key, record := range k.records {
		if _, inForce := current[key]; inForce || !k.Coordinator.leadsBlock(record.Block) {
			continue
		}
		if err := k.put(ctx, key, nil, &blockRecord{Block: record.Block}); err != nil {
			return err
		}
		delete(k.records, key)
	}
	return nil
}

func (k *BlockKeeper) put(ctx context.Context, key string, value []byte, record *blockRecord) error {
	if err := k.Store.WriteBlockRecord(ctx, key, value); err != nil {
		return err
	}
	events.Log(k.Logger, events.BlockRecorded, log.Fields{
		"block":   record.Block,
		"servers": record.servers(),
	})
	return nil
}

// blockKey returns the key of a block's record. The block's first part may be longer than
// a key.
func blockKey(block string) string {
	return strconv.FormatUint(xxhash.Sum64String(block), 16)
}

func encodeBlock(block string, crashes []quarantine.Crash) blockRecord {
	record := blockRecord{Block: block}
	for i := range crashes {
		suspects := make(map[string][]string, len(crashes[i].Suspects))
		for part, teams := range crashes[i].Suspects {
			suspects[part] = slices.Sorted(maps.Keys(teams))
		}
		record.Crashes = append(record.Crashes, crashOfBlock{
			Server:   crashes[i].Server,
			AtMs:     crashes[i].At.UnixMilli(),
			SeenAtMs: crashes[i].SeenAt.UnixMilli(),
			Suspects: suspects,
			Resent:   slices.Sorted(maps.Keys(crashes[i].Resent)),
		})
	}
	return record
}

// decode returns the crashes of a record. The clock of the instance that wrote it may have
// been ahead.
func (b *blockRecord) decode(now time.Time) (crashes []quarantine.Crash) {
	for _, entry := range b.Crashes {
		crash := quarantine.Crash{
			Server:   entry.Server,
			At:       earlier(time.UnixMilli(entry.AtMs), now),
			SeenAt:   earlier(time.UnixMilli(entry.SeenAtMs), now),
			Suspects: map[string]map[string]bool{},
			Resent:   map[string]bool{},
		}
		for part, teams := range entry.Suspects {
			crash.Suspects[part] = map[string]bool{}
			for _, team := range teams {
				crash.Suspects[part][team] = true
			}
		}
		for _, request := range entry.Resent {
			crash.Resent[request] = true
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

func (b *blockRecord) servers() (servers []string) {
	for i := range b.Crashes {
		servers = append(servers, b.Crashes[i].Server)
	}
	slices.Sort(servers)
	return servers
}

// covers reports whether this record need not be replaced by a current one.
func (b *blockRecord) covers(current *blockRecord) bool {
	return slices.Equal(b.servers(), current.servers()) && current.seenAtMs()-b.seenAtMs() < keepSeenInterval.Milliseconds()
}

func (b *blockRecord) seenAtMs() (latest int64) {
	for i := range b.Crashes {
		latest = max(latest, b.Crashes[i].SeenAtMs)
	}
	return latest
}
