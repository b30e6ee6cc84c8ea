package fleet

import (
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// RecordRange is a part of the operators' records that another instance told in full.
type RecordRange struct {
	From    pomelospring.TopicPosition
	Through pomelospring.TopicPosition
	// At is a time at which there was no record at or after Through; zero if unknown.
	At time.Time
	// Awaited are the records of the range that were named and are still to arrive.
	Awaited []AwaitedRecord
}

// AwaitedRecord is a record by its name; a newer one of the same key replaces it.
type AwaitedRecord struct {
	Key      string
	Position pomelospring.TopicPosition
	// Revision is the version that the record's content states, or 0.
	Revision int64
}

// maxPendingRanges bounds the ranges that wait for records.
const maxPendingRanges = 8

// AddRange raises the position up to which no record is missing to the end of a range, once
// its records are known. A range that begins after that position has no effect.
func (b *Board) AddRange(records RecordRange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.operators.pending = append(b.operators.pending, records)
	b.completeRanges()
	// The oldest ranges are kept, because the newest ones end with the newest records, of
	// which there may always be another one on its way.
	if len(b.operators.pending) > maxPendingRanges {
		b.operators.pending = slices.Delete(b.operators.pending, maxPendingRanges-1, len(b.operators.pending)-1)
	}
}

// completeRanges applies the ranges whose records are known. The lock is held.
func (b *Board) completeRanges() {
	o := &b.operators
	for progressing := true; progressing; {
		progressing = false
		o.pending = slices.DeleteFunc(o.pending, func(r RecordRange) bool {
			if o.position.Before(r.From) {
				return true
			}
			if slices.ContainsFunc(r.Awaited, func(a AwaitedRecord) bool { return !o.covers(a.Key, a.Position, a.Revision) }) {
				return false
			}
			progressing = progressing || o.position.Before(r.Through)
			o.advance(r.Through)
			if !r.At.IsZero() {
				b.confirmOperators(r.At)
			}
			return true
		})
	}
}

// confirmOperators records that the operators' records were complete at a time.
func (b *Board) confirmOperators(at time.Time) {
	if confirmedAt := b.operatorConfirmedAt.Load(); confirmedAt == nil || confirmedAt.Before(at) {
		b.operatorConfirmedAt.Store(&at)
	}
}
