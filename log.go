package pomelospring

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// ErrTruncated says that the first records asked for are no longer retained.
var ErrTruncated = errors.New("records before the first retained offset are gone")

// Record is what a writer hands to the log.
type Record struct {
	// ID is unique to one append; a repeated ID is the same append.
	ID string `json:"id"`
	// Kind selects the type of Body.
	Kind string `json:"kind"`
	// Stamp is the writer's clock when the record was made. Folds take time
	// from here and from nowhere else.
	Stamp time.Time `json:"stamp"`
	// Body is the JSON form of the kind's struct.
	Body json.RawMessage `json:"body"`
}

// StoredRecord is a record with the offset that the log gave it.
type StoredRecord struct {
	Record
	// Offset counts records of one stream from 0.
	Offset int64 `json:"offset"`
}

// Batch is one answer to a read.
type Batch struct {
	// Records are in offset order without gaps.
	Records []StoredRecord `json:"records"`
	// First is the first offset that the log still retains.
	First int64 `json:"first"`
	// Next is the offset that the next append would get when this was read.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores records in one stream, in order, and returns the offset
	// of the first. After an error the records may or may not be stored.
	Append(ctx context.Context, stream string, records []Record) (offset int64, err error)
	// Read returns records from an offset on, at most limit of them, and waits
	// for the first one until the deadline. It returns ErrTruncated, with
	// First set, when from is no longer retained.
	Read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (batch Batch, err error)
}

// NewRecord makes a record of a body; id must be unique to this append.
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
