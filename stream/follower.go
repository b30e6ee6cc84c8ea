package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// readLimit bounds one read, in records.
	readLimit = 512
	// readWait is how long one read waits for news.
	readWait = 2 * time.Second
	// retryWait is the pause after a failed read.
	retryWait = 200 * time.Millisecond
	// kept is how many records are kept for peers, per stream.
	kept = 2048
)

// PeerBatch is what a peer has of a stream.
type PeerBatch struct {
	Records []pomelospring.StoredRecord
	// Snapshot stands in for Records that the peer no longer keeps; nil
	// without one.
	Snapshot []byte
	// Fresh is when the peer's reading was current by its clock.
	Fresh time.Time
}

// Peers reads a stream from other instances.
type Peers interface {
	ReadRecords(ctx context.Context, stream string, from int64) (reading PeerBatch, err error)
}

// Follower keeps the fold of one stream current.
type Follower struct {
	Log    pomelospring.Log
	Peers  Peers
	Stream string
	Clock  pomelospring.Clock
	// Publish gets every new state that is started, and when it was current.
	Publish func(fold Fold, fresh time.Time)
	// OnReadError is told of each failed read.
	OnReadError func(err error)

	mu      sync.Mutex
	fold    Fold
	recent  []pomelospring.StoredRecord
	fresh   time.Time
	waiters map[string]chan int64
	// pending are records read without a state to fold them into.
	pending []pomelospring.StoredRecord
	// since counts records after the last snapshot seen.
	since        int
	lastSnapshot time.Time
}

// NewFollower makes a follower that starts from an empty fold.
func NewFollower(log pomelospring.Log, peers Peers, stream string, clock pomelospring.Clock, empty Fold, publish func(Fold, time.Time), failed func(error)) *Follower {
	return &Follower{
		Log:         log,
		Peers:       peers,
		Stream:      stream,
		Clock:       clock,
		Publish:     publish,
		OnReadError: failed,
		fold:        empty,
		waiters:     map[string]chan int64{},
	}
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.OnReadError(err)
			f.readPeer(ctx)
			pause(ctx, retryWait)
		}
	}
	return nil
}

func (f *Follower) readOnce(ctx context.Context) (err error) {
	asked := f.Clock()
	batch, err := f.Log.Read(ctx, f.Stream, f.position(), readLimit, asked.Add(readWait))
	if errors.Is(err, pomelospring.ErrTruncated) {
		f.restart(batch.First)
		return nil
	}
	if err != nil {
		return err
	}
	f.take(batch.Records)
	if f.position() < batch.Next {
		return nil
	}
	f.current(asked, batch.Next == 0)
	return nil
}

// position is the next offset to read, whether or not it can be folded yet.
func (f *Follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) > 0 {
		return f.pending[len(f.pending)-1].Offset + 1
	}
	return f.fold.Next()
}

// restart begins again at the first retained record. The state published
// stays until a snapshot with a higher offset takes its place.
func (f *Follower) restart(first int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fold = beginning{
		Fold: f.fold.Empty(),
		next: first,
	}
	f.pending = nil
}

// take folds records, or keeps them until a snapshot gives them a footing.
func (f *Follower) take(records []pomelospring.StoredRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		f.takeOne(record)
	}
}

func (f *Follower) takeOne(record pomelospring.StoredRecord) {
	f.remember(record)
	if !f.fold.Started() && record.Offset > 0 {
		f.pending = append(f.pending, record)
		f.adopt(record)
		return
	}
	f.fold = f.fold.Apply(record)
	f.notify(record)
}

// adopt starts from a snapshot when every record since it was made is here.
func (f *Follower) adopt(record pomelospring.StoredRecord) {
	if record.Kind != KindSnapshot {
		return
	}
	decoded, err := f.fold.Decode(record.Body)
	if err != nil || decoded.Next() < f.pending[0].Offset {
		return
	}
	f.fold = decoded
	for _, held := range f.pending {
		f.fold = f.fold.Apply(held)
		f.notify(held)
	}
	f.pending = nil
}

func (f *Follower) remember(record pomelospring.StoredRecord) {
	f.since++
	if record.Kind == KindSnapshot {
		f.since = 0
		f.lastSnapshot = record.Stamp
	}
	f.recent = append(f.recent, record)
	if len(f.recent) > 2*kept {
		f.recent = append([]pomelospring.StoredRecord{}, f.recent[kept:]...)
	}
}

func (f *Follower) notify(record pomelospring.StoredRecord) {
	waiter, waits := f.waiters[record.ID]
	if !waits {
		return
	}
	delete(f.waiters, record.ID)
	waiter <- record.Offset
}

// current marks the state as up to date at a time and publishes it.
func (f *Follower) current(at time.Time, empty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() && !empty {
		return
	}
	if at.After(f.fresh) {
		f.fresh = at
	}
	f.Publish(f.fold, f.fresh)
}

// readPeer takes news from another instance.
func (f *Follower) readPeer(ctx context.Context) {
	reading, err := f.Peers.ReadRecords(ctx, f.Stream, f.position())
	if err != nil {
		return
	}
	if reading.Snapshot != nil {
		f.adoptFromPeer(reading.Snapshot)
	}
	f.takeFromPeer(reading.Records)
	if !reading.Fresh.IsZero() {
		f.current(reading.Fresh, false)
	}
}

func (f *Follower) adoptFromPeer(body []byte) {
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

// takeFromPeer skips what is already here: a peer's word never goes back.
func (f *Follower) takeFromPeer(records []pomelospring.StoredRecord) {
	for _, record := range records {
		if record.Offset == f.position() {
			f.take([]pomelospring.StoredRecord{record})
		}
	}
}

// Read serves a peer from what is kept here.
func (f *Follower) Read(from int64) (reading PeerBatch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s for a peer", f.Stream)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() {
		return PeerBatch{}, errors.New("there is no state yet")
	}
	reading.Fresh = f.fresh
	if from >= f.fold.Next() {
		return reading, nil
	}
	if len(f.recent) > 0 && f.recent[0].Offset <= from {
		reading.Records = append(reading.Records, f.recent[from-f.recent[0].Offset:]...)
		return reading, nil
	}
	reading.Snapshot, err = f.fold.Snapshot()
	return reading, err
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// beginning is an empty fold that starts reading at a later offset.
type beginning struct {
	Fold
	next int64
}

// Next implements Fold.
func (b beginning) Next() int64 { return b.next }
