package pomelospring

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// ErrTruncated means that the log no longer retains the first records of a read.
var ErrTruncated = errors.New("records before the first retained offset were deleted")

// Record is an entry that a writer appends to the log.
type Record struct {
	// ID is unique to one append. A repeated ID means that the append was
	// retried.
	ID string `json:"id"`
	// Kind selects the type of Body.
	Kind string `json:"kind"`
	// Stamp is the writer's time when the record was made. Folds use no other
	// clock, so that each reader arrives at the same state.
	Stamp time.Time `json:"stamp"`
	// Body is the JSON form of the kind's struct.
	Body json.RawMessage `json:"body"`
}

// StoredRecord is a record with its offset in the log.
type StoredRecord struct {
	Record
	// Offset is the record's position in its stream, from 0.
	Offset int64 `json:"offset"`
}

// Batch is the result of a read.
type Batch struct {
	// Records are in offset order without gaps.
	Records []StoredRecord `json:"records"`
	// First is the lowest offset that the log still retains.
	First int64 `json:"first"`
	// Next is the offset of the next append, at the time of the read.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores records in one stream, in order, and returns the offset of
	// the first. After an error the records may or may not be stored.
	Append(ctx context.Context, stream string, records []Record) (offset int64, err error)
	// Read returns up to limit records from an offset on. It waits for the
	// first of them until the deadline. If from is no longer retained, it
	// returns ErrTruncated and a batch with First set.
	Read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (batch Batch, err error)
}

// NewRecord encodes body as JSON into a record; id must be unique to this
// append.
func NewRecord(id, kind string, stamp time.Time, body any) (record Record, err error) {
	defer Annotate(&err, "make record %s", kind)
	encoded, err := json.Marshal(body)
	if err != nil {
		return Record{}, err
	}
	return Record{
		ID:    id,
		Kind:  kind,
		Stamp: stamp,
		Body:  encoded,
	}, nil
}
