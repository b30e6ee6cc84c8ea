package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pomelospring/pomelospring"
)

// lostAnswerWait is how long a record is looked for after the log's answer was
// lost; whoever waits for it is to be told soon.
const lostAnswerWait = 500 * time.Millisecond

// ErrUnconfirmed says that an append was neither read back nor ruled out in time.
var ErrUnconfirmed = errors.New("the append was not read back in time")

// Append appends one record and returns its offset once it was read back. When
// the log's answer is lost the record is looked for in the stream and never
// appended again; ErrUnsettled says that its fate is not known.
func (f *Follower) Append(ctx context.Context, kind string, body any) (id string, offset int64, err error) {
	defer pomelospring.Annotate(&err, "append %s to %s", kind, f.Stream)
	id = uuid.NewString()
	record, err := pomelospring.NewRecord(id, kind, f.Clock(), body)
	if err != nil {
		return id, 0, err
	}
	settled := f.await(id)
	defer f.forget(id)
	_, appendErr := f.Log.Append(ctx, f.Stream, []pomelospring.Record{record})
	if appendErr != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostAnswerWait)
		defer cancel()
	}
	select {
	case offset = <-settled:
		return id, offset, nil
	case <-ctx.Done():
		if appendErr != nil {
			return id, 0, fmt.Errorf("%w: %w", ErrUnconfirmed, appendErr)
		}
		return id, 0, ErrUnconfirmed
	}
}

// Post appends one record without waiting for it; its fate shows in the fold.
func (f *Follower) Post(ctx context.Context, kind string, body any) (err error) {
	defer pomelospring.Annotate(&err, "post %s to %s", kind, f.Stream)
	record, err := pomelospring.NewRecord(uuid.NewString(), kind, f.Clock(), body)
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, f.Stream, []pomelospring.Record{record})
	return err
}

func (f *Follower) await(id string) chan int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	settled := make(chan int64, 1)
	f.waiters[id] = settled
	return settled
}

func (f *Follower) forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// SnapshotDue says whether a snapshot is due by count or by age.
func (f *Follower) SnapshotDue(records int, before time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() || f.since == 0 {
		return false
	}
	return f.since >= records || f.lastSnapshot.Before(before)
}

// PostSnapshot appends the state as it is; a second one is harmless.
func (f *Follower) PostSnapshot(ctx context.Context) (err error) {
	defer pomelospring.Annotate(&err, "snapshot %s", f.Stream)
	f.mu.Lock()
	body, err := f.fold.Snapshot()
	stamp := f.Clock()
	f.mu.Unlock()
	if err != nil {
		return err
	}
	record := pomelospring.Record{
		ID:    uuid.NewString(),
		Kind:  KindSnapshot,
		Stamp: stamp,
		Body:  body,
	}
	_, err = f.Log.Append(ctx, f.Stream, []pomelospring.Record{record})
	return err
}
