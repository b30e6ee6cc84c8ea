package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/peer"
)

const (
	// maxInlineBytes is the longest value that exchanges carry; longer ones are named, and
	// fetched in blocks.
	maxInlineBytes = 4 << 10
	// fetchPartTimeout limits one call for blocks, whose number is bounded.
	fetchPartTimeout = time.Second
	// minFetchRetryPause and maxFetchRetryPause bound the pause after failed fetches, which
	// doubles with each.
	minFetchRetryPause = 100 * time.Millisecond
	maxFetchRetryPause = 2 * time.Second
	// maxFetchStall is the time without a block after which a fetch has stalled.
	maxFetchStall = time.Second
	// maxFetchSources bounds the instances that a record is fetched from.
	maxFetchSources = 4
)

// Reasons for which the value of a source is of no use.
var (
	errRecordMoved    = errors.New("the record was replaced")
	errRecordOlder    = errors.New("the source has an older record")
	errRecordRejected = errors.New("the record was not applied")
)

// RecordFetcher fetches values of operators' records that other instances named, one at a
// time and from one source at a time. Blocks that arrived are kept when a source fails or
// the record is replaced.
type RecordFetcher struct {
	Blocks *RecordBlocks
	Board  *fleet.Board
	Peers  *peer.Client
	// Address is where other instances reach this one.
	Address string
	// Apply applies a record once it is whole.
	Apply  func(records []pomelospring.KeyedRecord)
	Logger log.Interface
	Clock  pomelospring.Clock

	fetchedBytes atomic.Int64
	failures     atomic.Int64

	mu     sync.Mutex
	wanted map[string]*wantedRecord
	// progressAt is when the last block arrived, or the first record was named after none.
	progressAt time.Time
	woken      chan struct{}
}

// wantedRecord is a record to fetch.
type wantedRecord struct {
	fleet.AwaitedRecord
	// sources named the record; the first one is asked.
	sources []string
	// arrived holds blocks of the value, by hash.
	arrived map[uint64][]byte
}

func (w *wantedRecord) olderThan(record fleet.AwaitedRecord) bool {
	if w.Revision != record.Revision {
		return w.Revision < record.Revision
	}
	return w.Position.Before(record.Position)
}

// Want has a record fetched, unless it or a newer one is known.
func (f *RecordFetcher) Want(record fleet.AwaitedRecord, source string) {
	if source == f.Address || f.Board.CoversRecord(record) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.wanted) == 0 {
		f.progressAt = f.Clock()
	}
	if f.wanted == nil {
		f.wanted = map[string]*wantedRecord{}
	}
	w := f.wanted[record.Key]
	if w == nil {
		w = &wantedRecord{
			arrived: map[uint64][]byte{},
		}
		f.wanted[record.Key] = w
	}
	switch {
	case len(w.sources) == 0 || w.olderThan(record):
		w.AwaitedRecord, w.sources = record, []string{source}
	case w.AwaitedRecord == record && !slices.Contains(w.sources, source) && len(w.sources) < maxFetchSources:
		w.sources = append(w.sources, source)
	}
	select {
	case f.wake() <- struct{}{}:
	default:
	}
}

// wake returns the channel that is signalled when a record is wanted. The lock is held.
func (f *RecordFetcher) wake() chan struct{} {
	if f.woken == nil {
		f.woken = make(chan struct{}, 1)
	}
	return f.woken
}

// Stalled reports whether a record is wanted of which no block has arrived for a while.
func (f *RecordFetcher) Stalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.wanted) > 0 && f.Clock().Sub(f.progressAt) > maxFetchStall
}

// FetchedBytes returns the number of bytes that were fetched.
func (f *RecordFetcher) FetchedBytes() int64 { return f.fetchedBytes.Load() }

// Failures returns the number of fetches that failed.
func (f *RecordFetcher) Failures() int64 { return f.failures.Load() }

// Run fetches the wanted records until the context ends.
func (f *RecordFetcher) Run(ctx context.Context) error {
	pause := minFetchRetryPause
	for ctx.Err() == nil {
		key, source := f.next()
		if key == "" {
			f.mu.Lock()
			woken := f.wake()
			f.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-woken:
			}
			continue
		}
		err := f.fetch(ctx, key, source)
		if err == nil || ctx.Err() != nil {
			pause = minFetchRetryPause
			continue
		}
		f.failures.Add(1)
		events.Log(f.Logger, events.RecordFetchFailed, log.Fields{
			"key":     key,
			"address": source,
			"error":   err.Error(),
		})
		f.askLast(key, source)
		_ = pomelospring.Sleep(ctx, pause)
		pause = min(2*pause, maxFetchRetryPause)
	}
	return nil
}

// next returns a record that is still wanted, and whom to ask for it.
func (f *RecordFetcher) next() (key, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, w := range f.wanted {
		if f.Board.CoversRecord(w.AwaitedRecord) {
			delete(f.wanted, key)
			continue
		}
		return key, w.sources[0]
	}
	return "", ""
}

// askLast has a source that failed asked again only after the others.
func (f *RecordFetcher) askLast(key, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.wanted[key]
	if w == nil || w.sources[0] != source {
		return
	}
	w.sources = append(w.sources[1:], source)
}

// fetch fetches the newest record of a key from a source and applies it.
func (f *RecordFetcher) fetch(ctx context.Context, key, source string) (err error) {
	defer pomelospring.Annotate(&err, "fetch record %s", key)
	began := f.Clock()
	list, err := f.call(ctx, source, key, nil)
	if err != nil {
		return err
	}
	offered := recordOf(key, list)
	newest := offered
	f.mu.Lock()
	w := f.wanted[key]
	older := w != nil && f.Board.CoversRecord(offered)
	f.mu.Unlock()
	switch {
	case w == nil:
		return nil
	case older || len(list.Blocks) == 0:
		return errRecordOlder
	}
	known := f.Blocks.of(key)
	lacking := f.lacking(w, known, list.Blocks)
	fetched := 0
	for part := range slices.Chunk(lacking, maxBlocksAsked) {
		reply, err := f.call(ctx, source, key, part)
		if err != nil {
			return err
		}
		for i, content := range reply.Contents[:min(len(part), len(reply.Contents))] {
			if xxhash.Sum64(content) == part[i] {
				w.arrived[part[i]] = content
				fetched += len(content)
			}
		}
		f.recordProgress(reply.Contents)
		newest = recordOf(key, reply)
	}
	value, whole := f.assemble(w, known, list.Blocks)
	if !whole || xxhash.Sum64(value) != list.Digest {
		if fetched == 0 {
			return errRecordMoved
		}
		// The blocks that arrived count; the source has had too many newer records since.
		return nil
	}
	f.Apply([]pomelospring.KeyedRecord{{
		Key:    key,
		Value:  value,
		Era:    list.Era,
		Offset: list.Offset,
	}})
	if !f.Board.CoversRecord(offered) {
		return errRecordRejected
	}
	w.arrived = map[uint64][]byte{}
	f.Want(newest, source)
	events.Log(f.Logger, events.RecordFetched, log.Fields{
		"key":     key,
		"offset":  list.Offset,
		"era":     list.Era,
		"address": source,
		"bytes":   len(value),
		"fetched": fetched,
		"blocks":  len(lacking),
		"of":      len(list.Blocks),
		"tookMs":  f.Clock().Sub(began).Milliseconds(),
	})
	return nil
}

// recordOf returns which record of a key an answer is about.
func recordOf(key string, reply *coordinationpb.FetchRecordReply) fleet.AwaitedRecord {
	return fleet.AwaitedRecord{
		Key: key,
		Position: pomelospring.TopicPosition{
			Era:    reply.Era,
			Offset: reply.Offset,
		},
		Revision: reply.Revision,
	}
}

// call asks a source for the contents of blocks, or for the list of all.
func (f *RecordFetcher) call(ctx context.Context, source, key string, blocks []uint64) (reply *coordinationpb.FetchRecordReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchPartTimeout)
	defer cancel()
	reply, err = coordinationpb.NewDRPCCoordinationClient(f.Peers.Conn(ctx, source)).FetchRecord(ctx, &coordinationpb.FetchRecordRequest{
		Key:    key,
		Blocks: blocks,
	})
	if err == nil && reply.Digest == 0 {
		return nil, fmt.Errorf("%s has no such record", source)
	}
	return reply, err
}

func (f *RecordFetcher) recordProgress(contents [][]byte) {
	bytes := 0
	for _, content := range contents {
		bytes += len(content)
	}
	f.fetchedBytes.Add(int64(bytes))
	if bytes == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt = f.Clock()
}

// lacking lists the blocks, each once, that neither arrived nor are part of the known value.
func (f *RecordFetcher) lacking(w *wantedRecord, known *recordBlocks, hashes []uint64) (lacking []uint64) {
	listed := make(map[uint64]bool, len(hashes))
	for _, hash := range hashes {
		if listed[hash] {
			continue
		}
		listed[hash] = true
		if blockContent(w, known, hash) == nil {
			lacking = append(lacking, hash)
		}
	}
	for hash := range w.arrived {
		if !listed[hash] {
			delete(w.arrived, hash)
		}
	}
	return lacking
}

// assemble joins blocks to a value; whole is false if one is lacking.
func (f *RecordFetcher) assemble(w *wantedRecord, known *recordBlocks, hashes []uint64) (value []byte, whole bool) {
	for _, hash := range hashes {
		content := blockContent(w, known, hash)
		if content == nil {
			return nil, false
		}
		value = append(value, content...)
	}
	return value, true
}

func blockContent(w *wantedRecord, known *recordBlocks, hash uint64) []byte {
	if content := w.arrived[hash]; content != nil {
		return content
	}
	if known == nil {
		return nil
	}
	return known.contents[hash]
}
