// Package stream follows log streams: it folds their records in offset order,
// confirms appends by reading them back, starts from snapshots, and reads from
// other instances while the log is unreachable.
package stream

import (
	"encoding/json"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/intent"
)

// KindSnapshot is the kind of a record with a snapshot of the stream's state. All
// streams use it.
const KindSnapshot = "snapshot"

// Fold is the state of a stream at one offset, as an immutable value.
type Fold interface {
	// Next is the offset of the next record to apply.
	Next() int64
	// Started reports whether the state is complete: it was built from a snapshot
	// or from offset 0.
	Started() bool
	// Apply returns the state after the next record.
	Apply(record pomelospring.StoredRecord) Fold
	// Snapshot encodes the state as the body of a record.
	Snapshot() (body []byte, err error)
	// Decode decodes a state from the body of a snapshot record.
	Decode(body []byte) (fold Fold, err error)
	// Empty is the state before the first record.
	Empty() Fold
}

// ConfigurationFold is the state of the configuration stream.
type ConfigurationFold struct {
	State *configuration.State
}

// Next implements Fold.
func (c ConfigurationFold) Next() int64 { return c.State.Next }

// Started implements Fold.
func (c ConfigurationFold) Started() bool { return c.State.Started }

// Apply implements Fold.
func (c ConfigurationFold) Apply(record pomelospring.StoredRecord) Fold {
	return ConfigurationFold{
		State: configuration.Fold(c.State, record),
	}
}

// Snapshot implements Fold.
func (c ConfigurationFold) Snapshot() (body []byte, err error) { return json.Marshal(c.State) }

// Decode implements Fold.
func (c ConfigurationFold) Decode(body []byte) (fold Fold, err error) {
	state, err := configuration.Decode(body)
	return ConfigurationFold{
		State: state,
	}, err
}

// Empty implements Fold.
func (c ConfigurationFold) Empty() Fold {
	return ConfigurationFold{
		State: configuration.NewState(),
	}
}

// BudgetFold is the state of the budget stream.
type BudgetFold struct {
	State *budget.State
	// ClockBound is the maximum difference between two instances' clocks.
	ClockBound time.Duration
}

// NewBudgetFold returns the state before the first record of the budget stream.
func NewBudgetFold(clockBound time.Duration) Fold {
	return BudgetFold{
		ClockBound: clockBound,
	}.Empty()
}

// Next implements Fold.
func (b BudgetFold) Next() int64 { return b.State.Next }

// Started implements Fold.
func (b BudgetFold) Started() bool { return b.State.Started }

// Apply implements Fold.
func (b BudgetFold) Apply(record pomelospring.StoredRecord) Fold {
	return BudgetFold{
		State:      budget.Fold(b.State, record, b.ClockBound),
		ClockBound: b.ClockBound,
	}
}

// Snapshot implements Fold.
func (b BudgetFold) Snapshot() (body []byte, err error) { return json.Marshal(b.State) }

// Decode implements Fold.
func (b BudgetFold) Decode(body []byte) (fold Fold, err error) {
	state, err := budget.Decode(body)
	return BudgetFold{
		State:      state,
		ClockBound: b.ClockBound,
	}, err
}

// Empty implements Fold.
func (b BudgetFold) Empty() Fold {
	return BudgetFold{
		State:      budget.NewState(),
		ClockBound: b.ClockBound,
	}
}

// DomainFold is the state of a failure domain's stream.
type DomainFold struct {
	State *failuredomain.State
	// ClockBound is the maximum difference between two instances' clocks.
	ClockBound time.Duration
}

// NewDomainFold returns the state before the first record of a failure domain's
// stream.
func NewDomainFold(clockBound time.Duration) Fold {
	return DomainFold{
		ClockBound: clockBound,
	}.Empty()
}

// Next implements Fold.
func (d DomainFold) Next() int64 { return d.State.Next }

// Started implements Fold.
func (d DomainFold) Started() bool { return d.State.Started }

// Apply implements Fold.
func (d DomainFold) Apply(record pomelospring.StoredRecord) Fold {
	return DomainFold{
		State:      failuredomain.Fold(d.State, record, d.ClockBound),
		ClockBound: d.ClockBound,
	}
}

// Snapshot implements Fold.
func (d DomainFold) Snapshot() (body []byte, err error) { return json.Marshal(d.State) }

// Decode implements Fold.
func (d DomainFold) Decode(body []byte) (fold Fold, err error) {
	state, err := failuredomain.Decode(body)
	return DomainFold{
		State:      state,
		ClockBound: d.ClockBound,
	}, err
}

// Empty implements Fold.
func (d DomainFold) Empty() Fold {
	return DomainFold{
		State:      failuredomain.NewState(),
		ClockBound: d.ClockBound,
	}
}

// IntentFold is the state of a failure domain's intents stream.
type IntentFold struct {
	State *intent.State
}

// Next implements Fold.
func (i IntentFold) Next() int64 { return i.State.Next }

// Started implements Fold.
func (i IntentFold) Started() bool { return i.State.Started }

// Apply implements Fold.
func (i IntentFold) Apply(record pomelospring.StoredRecord) Fold {
	return IntentFold{
		State: intent.Fold(i.State, record),
	}
}

// Snapshot implements Fold.
func (i IntentFold) Snapshot() (body []byte, err error) { return json.Marshal(i.State) }

// Decode implements Fold.
func (i IntentFold) Decode(body []byte) (fold Fold, err error) {
	state, err := intent.Decode(body)
	return IntentFold{
		State: state,
	}, err
}

// Empty implements Fold.
func (i IntentFold) Empty() Fold {
	return IntentFold{
		State: intent.NewState(),
	}
}
