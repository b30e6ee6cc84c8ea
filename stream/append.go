package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pomelospring/pomelospring"
)

// lostAnswerTimeout limits how long Append waits to read a record back after the
// log's answer was lost. It is short because the caller waits for the result.
const lostAnswerTimeout = 500 * time.Millisecond

// ErrUnconfirmed means that an append was not read back in time: the record may be
// in the log or may never have reached it.
var ErrUnconfirmed = errors.New("the append was not read back in time")

// Append appends one record and returns its offset once the record was read back.
// If the log's answer is lost, Append waits to read the record from the stream and
// never appends it again, so that it can't be stored twice. It returns
// ErrUnconfirmed if the result is not known in time.
func (f *Follower) Append(ctx context.Context, kind string, body any) (id string, offset int64, err error) {
	defer pomelospring.Annotate(&err, "append %s to %s", kind, f.Stream)
	id = uuid.NewString()
	record, err := pomelospring.NewRecord(id, kind, f.Clock(), body)
	if err != nil {
		return id, 0, err
	}
	confirmed := f.addWaiter(id)
	defer f.removeWaiter(id)
	_, appendErr := f.Log.Append(ctx, f.Stream, []pomelospring.Record{record})
	if appendErr != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostAnswerTimeout)
		defer cancel()
	}
	select {
	case offset = <-confirmed:
		return id, offset, nil
	case <-ctx.Done():
		if appendErr != nil {
			return id, 0, fmt.Errorf("%w: %w", ErrUnconfirmed, appendErr)
		}
		return id, 0, ErrUnconfirmed
	}
}

// Post appends one record without waiting to read it back. The fold shows whether
// it took effect.
func (f *Follower) Post(ctx context.Context, kind string, body any) (err error) {
	defer pomelospring.Annotate(&err, "post %s to %s", kind, f.Stream)
	record, err := pomelospring.NewRecord(uuid.NewString(), kind, f.Clock(), body)
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, f.Stream, []pomelospring.Record{record})
	return err
}

// addWaiter returns a channel that receives the record's offset once it is read.
func (f *Follower) addWaiter(id string) chan int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmed := make(chan int64, 1)
	f.waiters[id] = confirmed
	return confirmed
}

func (f *Follower) removeWaiter(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// SnapshotDue reports whether records were read since the last snapshot, and
// either at least the given number of them, or the last snapshot is older than
// before.
func (f *Follower) SnapshotDue(records int, before time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Started() || f.recordsSinceSnapshot == 0 {
		return false
	}
	return f.recordsSinceSnapshot >= records || f.lastSnapshot.Before(before)
}

// PostSnapshot appends a snapshot of the current state. Instances may do so at the
// same time: a second snapshot does no harm.
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
