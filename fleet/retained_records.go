package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// operatorRecords holds the newest operators' record of each key. A copy from which
// the store is restored is older than what is in force, so the version that a record
// states goes before its position. The result doesn't depend on the order of arrival.
type operatorRecords struct {
	records map[string]pomelospring.KeyedRecord
	// newest is the position after the newest known record, and position the one up to
	// which no record is missing.
	newest   pomelospring.TopicPosition
	position pomelospring.TopicPosition
	// pending are the ranges that lack records.
	pending []RecordRange
	// digest is that of the retained records unless outdated is set.
	digest   uint64
	outdated bool
}

func newOperatorRecords() operatorRecords {
	return operatorRecords{
		records: map[string]pomelospring.KeyedRecord{},
	}
}

// advance raises the position up to which no record is missing.
func (o *operatorRecords) advance(position pomelospring.TopicPosition) {
	if o.position.Era < position.Era {
		o.outdated = true
	}
	o.position = o.position.Later(position)
}

// store stores a record if it is newer than the known one of its key.
func (o *operatorRecords) store(record pomelospring.KeyedRecord, revision int64) bool {
	if o.covers(record.Key, record.Position(), revision) {
		return false
	}
	o.newest = o.newest.Later(pomelospring.TopicPosition{
		Era:    record.Era,
		Offset: record.Offset + 1,
	})
	record.Revision = revision
	o.records[record.Key] = record
	o.outdated = true
	return true
}

// covers reports whether a record, or a newer one of its key, is known.
func (o *operatorRecords) covers(key string, position pomelospring.TopicPosition, revision int64) bool {
	known, found := o.records[key]
	if !found || known.Revision != revision {
		return found && known.Revision > revision
	}
	return !known.Position().Before(position)
}

// from lists the records at or after a position.
func (o *operatorRecords) from(position pomelospring.TopicPosition) (records []pomelospring.KeyedRecord) {
	if !position.Before(o.newest) {
		return nil
	}
	for _, record := range o.records {
		if !record.Position().Before(position) {
			records = append(records, record)
		}
	}
	return records
}

// retained lists the records of earlier eras, which the restored store lacks or has in
// an older version.
func (o *operatorRecords) retained() (records []pomelospring.KeyedRecord) {
	for _, record := range o.records {
		if record.Era < o.position.Era {
			records = append(records, record)
		}
	}
	return records
}

// retainedDigest returns a digest of the retained records in any order.
func (o *operatorRecords) retainedDigest() uint64 {
	if !o.outdated {
		return o.digest
	}
	o.outdated = false
	o.digest = 0
	for _, record := range o.retained() {
		text := binary.BigEndian.AppendUint64([]byte(record.Key), uint64(record.Era))
		o.digest ^= xxhash.Sum64(binary.BigEndian.AppendUint64(text, uint64(record.Offset)))
	}
	return o.digest
}
