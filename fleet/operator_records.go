package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/quota"
)

// OperatorRecords applies operators' records, from the store or relayed by other
// instances, to the board and the ledger.
type OperatorRecords struct {
	Board  *Board
	Ledger *quota.Ledger
	Logger log.Interface
	Clock  pomelospring.Clock
	// PolicyKey is the key of the configuration record.
	PolicyKey string
	// DecodePolicy decodes a configuration.
	DecodePolicy func(value []byte) (policy *pomelospring.Policy, err error)
	// DecodeVersion decodes a declared adapter version; declared is false for
	// records of other kinds.
	DecodeVersion func(record pomelospring.KeyedRecord) (adapter string, version int64, declared bool, err error)
	// DecodeEvacuation decodes whether a failure domain is evacuated; declared is false for
	// records of other kinds. Without it no record is taken as an evacuation.
	DecodeEvacuation func(record pomelospring.KeyedRecord) (domain string, evacuated, declared bool, err error)
	// Domains lists the failure domains of the fleet; evacuations of others are ignored.
	Domains []string
	// Gauges shows operators which domains are evacuated; it may be nil.
	Gauges EvacuationGauges
	// OnReturned is called once each time that an evacuated failure domain is taken back,
	// at the time when this instance learned of it; it may be nil.
	OnReturned func(domain string, at time.Time)

	// mu keeps the active configuration consistent with its teams' rates when
	// records arrive from the store and from other instances concurrently.
	mu sync.Mutex
}

// ApplyRead applies records read from the store; next is the position up to which
// the store was read, age the time since it was the end of the records.
func (o *OperatorRecords) ApplyRead(records []pomelospring.KeyedRecord, full bool, next pomelospring.TopicPosition, age time.Duration) {
	now := o.Clock()
	before := o.Board.OperatorPosition()
	if full {
		records = append(records, o.missedReturns(records, next)...)
	}
	o.add(records, sourceStore)
	o.Board.ConfirmOperatorPosition(next, now.Add(-age))
	o.Board.operatorReadAt.Store(&now)
	if before.Offset > 0 && before.Era < next.Era {
		o.logRestored(before, next)
	}
}

// logRestored logs which records the restored store lost.
func (o *OperatorRecords) logRestored(before, next pomelospring.TopicPosition) {
	retained := o.Board.RetainedRecords()
	kept := make([]string, 0, len(retained))
	for _, record := range retained {
		kept = append(kept, record.Key)
	}
	slices.Sort(kept)
	fields := log.Fields{
		"eraBefore":    before.Era,
		"eraAfter":     next.Era,
		"offsetBefore": before.Offset,
		"offsetAfter":  next.Offset,
		"keptCount":    len(kept),
		"kept":         kept[:min(len(kept), maxLoggedKeys)],
	}
	if policy := o.Board.Policy(); policy != nil {
		fields["version"] = policy.Version
	}
	events.Log(o.Logger, events.OperatorRecordsKept, fields)
}

// maxLoggedKeys bounds the keys in one log line.
const maxLoggedKeys = 20

// Sources of records in log lines.
const (
	sourceStore     = "store"
	sourceInstances = "instances"
)

// AddRecords applies records from other instances; records that are not newer than the
// known ones are ignored.
func (o *OperatorRecords) AddRecords(records []pomelospring.KeyedRecord) {
	o.add(records, sourceInstances)
}

// AddRange applies records of a range that another instance told.
func (o *OperatorRecords) AddRange(records []pomelospring.KeyedRecord, within RecordRange) {
	o.AddRecords(records)
	o.Board.AddRange(within)
}

func (o *OperatorRecords) add(records []pomelospring.KeyedRecord, source string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var policies []pomelospring.KeyedRecord
	for _, record := range records {
		switch {
		case record.Key == o.PolicyKey:
			policies = append(policies, record)
		case !o.evacuation(record):
			o.version(record)
		}
	}
	// An instance serves from its first configuration on, and then knows what is evacuated.
	for _, record := range policies {
		o.policy(record, source)
	}
}

// policy activates the configuration of a record; a malformed one leaves the
// active configuration unchanged.
func (o *OperatorRecords) policy(record pomelospring.KeyedRecord, source string) {
	policy, err := o.DecodePolicy(record.Value)
	if err != nil {
		o.Board.StoreRecord(record, 0)
		o.logMalformed(record, err)
		return
	}
	if !o.Board.StoreRecord(record, policy.Version) {
		return
	}
	before := o.Board.Policy()
	if !o.Board.SetPolicy(policy) {
		return
	}
	o.logRates(before, policy)
	if len(policy.Ignored) > 0 {
		events.Log(o.Logger, events.PolicyPartsIgnored, log.Fields{
			"version": policy.Version,
			"ignored": policy.Ignored,
		})
	}
	o.logUnknownHomes(policy)
	o.Ledger.Configure(policy.Teams, o.Clock())
	events.Log(o.Logger, events.PolicyInForce, log.Fields{
		"version": policy.Version,
		"offset":  record.Offset,
		"routes":  len(policy.Routes),
		"teams":   len(policy.Teams),
		"keys":    len(policy.KeyTeams),
		"bytes":   len(record.Value),
		"source":  source,
	})
}

// logRates logs each team whose rate differs from the previous configuration.
func (o *OperatorRecords) logRates(before, policy *pomelospring.Policy) {
	for name, team := range policy.Teams {
		if before != nil && before.Teams[name].TokensPerSecond == team.TokensPerSecond && before.Teams[name].Burst == team.Burst {
			continue
		}
		events.Log(o.Logger, events.TeamRateChanged, log.Fields{
			"team":            name,
			"tokensPerSecond": team.TokensPerSecond,
			"burst":           team.Burst,
			"version":         policy.Version,
		})
	}
}

// version records the adapter version that a record declares, if it declares one.
func (o *OperatorRecords) version(record pomelospring.KeyedRecord) {
	adapter, version, declared, err := o.DecodeVersion(record)
	if err != nil {
		o.logMalformed(record, err)
	}
	if !o.Board.StoreRecord(record, version) || !declared {
		return
	}
	if !o.Board.DeclareVersion(adapter, version, o.Board.graceBeginsAt(o.Clock())) {
		return
	}
	events.Log(o.Logger, events.VersionDeclared, log.Fields{
		"adapter": adapter,
		"version": version,
		"offset":  record.Offset,
	})
}

func (o *OperatorRecords) logMalformed(record pomelospring.KeyedRecord, err error) {
	events.Log(o.Logger, events.PolicyMalformed, log.Fields{
		"key":    record.Key,
		"offset": record.Offset,
		"error":  err.Error(),
	})
}
