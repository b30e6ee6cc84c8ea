package fleet

import (
	"maps"
	"slices"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// SetEvacuated sets whether nothing is to be sent to the backend servers of a failure
// domain, and reports whether that changed.
func (b *Board) SetEvacuated(domain string, evacuated bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		b.evacuated[domain] = true
	} else {
		delete(b.evacuated, domain)
	}
	b.index.rebuildPools(b.servers, b.Domain, b.evacuated)
	return true
}

// Evacuated reports whether nothing is to be sent to the backend servers of a failure
// domain.
func (b *Board) Evacuated(domain string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evacuated[domain]
}

// EvacuatedDomains lists the evacuated failure domains by name.
func (b *Board) EvacuatedDomains() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.evacuated))
}

// KnownRecords returns the newest operators' records by key.
func (b *Board) KnownRecords() map[string]pomelospring.KeyedRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.operators.records)
}

// EvacuationGauges shows which failure domains are evacuated.
type EvacuationGauges interface {
	SetEvacuated(domain string, evacuated bool)
}

// evacuation evacuates the failure domain that a record names or takes it back, and
// reports whether the record is of this kind.
func (o *OperatorRecords) evacuation(record pomelospring.KeyedRecord) (declared bool) {
	domain, evacuated, declared, err := o.decodeEvacuation(record)
	if !declared || !o.Board.StoreRecord(record, 0) {
		return declared
	}
	fields := log.Fields{
		"domain": domain,
		"key":    record.Key,
		"era":    record.Era,
		"offset": record.Offset,
	}
	if err != nil || !slices.Contains(o.Domains, domain) {
		if evacuated || err != nil {
			events.Log(o.Logger, events.EvacuationIgnored, fields)
		}
		return true
	}
	if !o.Board.SetEvacuated(domain, evacuated) {
		return true
	}
	if o.Gauges != nil {
		o.Gauges.SetEvacuated(domain, evacuated)
	}
	if evacuated {
		events.Log(o.Logger, events.DomainEvacuated, fields)
		return true
	}
	events.Log(o.Logger, events.DomainReturned, fields)
	if o.OnReturned != nil {
		o.OnReturned(domain, o.Clock())
	}
	return true
}

func (o *OperatorRecords) decodeEvacuation(record pomelospring.KeyedRecord) (domain string, evacuated, declared bool, err error) {
	if o.DecodeEvacuation == nil {
		return "", false, false, nil
	}
	return o.DecodeEvacuation(record)
}

// missedReturns returns records that take back the evacuations which a full read up to a
// position lacks: the records that removed them are no longer retained. A store that was
// restored from a copy may lack evacuations that still hold.
func (o *OperatorRecords) missedReturns(read []pomelospring.KeyedRecord, next pomelospring.TopicPosition) (removals []pomelospring.KeyedRecord) {
	known := o.Board.KnownRecords()
	for _, record := range read {
		delete(known, record.Key)
	}
	for key, record := range known {
		_, evacuated, declared, _ := o.decodeEvacuation(record)
		if !declared || !evacuated || record.Era != next.Era || record.Offset >= next.Offset {
			continue
		}
		removals = append(removals, pomelospring.KeyedRecord{
			Key:    key,
			Era:    next.Era,
			Offset: next.Offset - 1,
		})
	}
	return removals
}
