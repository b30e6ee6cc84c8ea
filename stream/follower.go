package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// maxRecordsPerRead limits one read from the log.
	maxRecordsPerRead = 512
	// readWait is how long one read waits for new records.
	readWait = 2 * time.Second
	// retryDelay is the wait after a failed read.
	retryDelay = 200 * time.Millisecond
	// retainedRecords is the number of recent records that a follower keeps for
	// peers when it discards older ones, which it does above twice that number.
	retainedRecords = 2048
)

// PeerBatch is the result of reading a stream from another instance.
type PeerBatch struct {
	Records []pomelospring.StoredRecord
	// Snapshot replaces Records if the peer no longer retains them; otherwise it is
	// nil.
	Snapshot []byte
	// Fresh is when the peer's state was current, by the peer's clock.
	Fresh time.Time
}

// Peers reads a stream from other instances.
type Peers interface {
	ReadRecords(ctx context.Context, stream string, from int64) (batch PeerBatch, err error)
}

// Follower reads a stream continuously and keeps its fold up to date.
type Follower struct {
	Log    pomelospring.Log
	Peers  Peers
	Stream string
	Clock  pomelospring.Clock
	// Publish receives the state and the time at which it was current, after each
	// read that reaches the end of the stream. It gets only states that are started,
	// or the empty state of an empty stream.
	Publish func(fold Fold, freshAt time.Time)
	// OnReadError is called after each failed read from the log.
	OnReadError func(err error)

	mu      sync.Mutex
	fold    Fold
	recent  []pomelospring.StoredRecord
	freshAt time.Time
	waiters map[string]chan int64
	// pending are records that were read before a snapshot to apply them to.
	pending []pomelospring.StoredRecord
	// recordsSinceSnapshot counts the records read since the last snapshot record.
	recordsSinceSnapshot int
	lastSnapshot         time.Time
}

// NewFollower returns a follower that starts from an empty fold.
func NewFollower(log pomelospring.Log, peers Peers, stream string, clock pomelospring.Clock, empty Fold, publish func(Fold, time.Time), onReadError func(error)) *Follower {
	return &Follower{
		Log:         log,
		Peers:       peers,
		Stream:      stream,
		Clock:       clock,
		Publish:     publish,
		OnReadError: onReadError,
		fold:        empty,
		waiters:     map[string]chan int64{},
	}
}

// Run reads the stream until the context is canceled. While the log can't be
// read, it reads from peers.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.OnReadError(err)
			f.readPeer(ctx)
			_ = pomelospring.Sleep(ctx, retryDelay)
		}
	}
	return nil
}

// readOnce reads from the log and publishes the state if it reached the end of
// the stream. If the log no longer has the next record, it restarts at the first
// one that the log has.
func (f *Follower) readOnce(ctx context.Context) (err error) {
	startedAt := f.Clock()
	batch, err := f.Log.Read(ctx, f.Stream, f.nextOffset(), maxRecordsPerRead, startedAt.Add(readWait))
	if errors.Is(err, pomelospring.ErrTruncated) {
		f.restartAt(batch.First)
		return nil
	}
	if err != nil {
		return err
	}
	f.applyAll(batch.Records)
	if f.nextOffset() < batch.Next {
		return nil
	}
	f.publishFresh(startedAt, batch.Next == 0)
	return nil
}

// nextOffset returns the next offset to read. Pending records count as read.
func (f *Follower) nextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) > 0 {
		return f.pending[len(f.pending)-1].Offset + 1
	}
	return f.fold.Next()
}

// restartAt discards the fold and restarts at the first record that the log
// retains. The published state stays until a snapshot with a higher offset
// replaces it.
func (f *Follower) restartAt(first int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fold = emptyAt{
		Fold: f.fold.Empty(),
		next: first,
	}
	f.pending = nil
}

// applyAll applies records in order, or holds them as pending until a snapshot
// arrives to apply them to.
func (f *Follower) applyAll(records []pomelospring.StoredRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		f.apply(record)
	}
}

func (f *Follower) apply(record pomelospring.StoredRecord) {
	f.retain(record)
	if !f.fold.Started() && record.Offset > 0 {
		f.pending = append(f.pending, record)
		f.restoreSnapshot(record)
		return
	}
	f.fold = f.fold.Apply(record)
	f.notifyWaiter(record)
}

// restoreSnapshot starts from a snapshot record and applies the pending records
// after it. A snapshot record comes later in the stream than the state that it
// holds, so the snapshot is skipped if records between the two are missing.
func (f *Follower) restoreSnapshot(record pomelospring.StoredRecord) {
	if record.Kind != KindSnapshot {
		return
	}
	decoded, err := f.fold.Decode(record.Body)
	if err != nil || decoded.Next() < f.pending[0].Offset {
		return
	}
	f.fold = decoded
	for _, pendingRecord := range f.pending {
		f.fold = f.fold.Apply(pendingRecord)
		f.notifyWaiter(pendingRecord)
	}
	f.pending = nil
}

// retain stores a record for peers and updates the number of records since the
// last snapshot and its time.
func (f *Follower) retain(record pomelospring.StoredRecord) {
	f.recordsSinceSnapshot++
	if record.Kind == KindSnapshot {
		f.recordsSinceSnapshot = 0
		f.lastSnapshot = record.Stamp
	}
	f.recent = append(f.recent, record)
	if len(f.recent) > 2*retainedRecords {
		f.recent = append([]pomelospring.StoredRecord{}, f.recent[retainedRecords:]...)
	}
}

// notifyWaiter reports the offset of a record to the Append that waits for it.
func (f *Follower) notifyWaiter(record pomelospring.StoredRecord) {
	waiter, found := f.waiters[record.ID]
	if !found {
		return
	}
	delete(f.waiters, record.ID)
	waiter <- record.Offset
}

// publishFresh records that the state was up to date at a time and publishes it,
// unless it is not started and the stream is not empty.
func (f *Follower) publishFresh(at time.Time, empty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() && !empty {
		return
	}
	if at.After(f.freshAt) {
		f.freshAt = at
	}
	f.Publish(f.fold, f.freshAt)
}

// readPeer reads new records or a snapshot from other instances.
func (f *Follower) readPeer(ctx context.Context) {
	batch, err := f.Peers.ReadRecords(ctx, f.Stream, f.nextOffset())
	if err != nil {
		return
	}
	if batch.Snapshot != nil {
		f.restorePeerSnapshot(batch.Snapshot)
	}
	f.applyPeerRecords(batch.Records)
	if !batch.Fresh.IsZero() {
		f.publishFresh(batch.Fresh, false)
	}
}

// restorePeerSnapshot replaces the fold by a peer's snapshot if the snapshot is
// newer, or has the same offset and the fold is not started.
func (f *Follower) restorePeerSnapshot(body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decoded, err := f.fold.Decode(body)
	if err != nil || decoded.Next() < f.fold.Next() {
		return
	}
	if f.fold.Started() && decoded.Next() == f.fold.Next() {
		return
	}
	f.fold = decoded
	f.pending = nil
	f.recent = nil
}

// applyPeerRecords applies a peer's records in order and skips each one that is not
// the next, so that a peer can neither move the fold back nor leave a gap.
func (f *Follower) applyPeerRecords(records []pomelospring.StoredRecord) {
	for _, record := range records {
		if record.Offset == f.nextOffset() {
			f.applyAll([]pomelospring.StoredRecord{record})
		}
	}
}

// Read returns the records from an offset on for a peer, or a snapshot if the
// follower no longer retains them.
func (f *Follower) Read(from int64) (batch PeerBatch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s for a peer", f.Stream)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() {
		return PeerBatch{}, errors.New("no state has been read yet")
	}
	batch.Fresh = f.freshAt
	if from >= f.fold.Next() {
		return batch, nil
	}
	if len(f.recent) > 0 && f.recent[0].Offset <= from {
		batch.Records = append(batch.Records, f.recent[from-f.recent[0].Offset:]...)
		return batch, nil
	}
	batch.Snapshot, err = f.fold.Snapshot()
	return batch, err
}

// emptyAt is an empty fold whose next record is not at offset 0.
type emptyAt struct {
	Fold
	next int64
}

// Next implements Fold.
func (e emptyAt) Next() int64 { return e.next }
