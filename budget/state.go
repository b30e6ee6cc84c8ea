package budget

import (
	"encoding/json"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Stream is the log stream that divides the pools among failure domains.
const Stream = "budget"

// KindClaim is the kind of a record that carries a Claim.
const KindClaim = "claim"

// State is the ledger among failure domains at one offset of the stream.
type State struct {
	// Next is the offset of the first record that is not folded in.
	Next int64 `json:"next"`
	// Started is set once the state is based on a snapshot or on offset 0.
	Started bool   `json:"started"`
	Ledger  Ledger `json:"ledger"`
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Ledger: Ledger{},
	}
}

// Fold returns the state after one record of the budget stream.
func Fold(state *State, record pomelospring.StoredRecord, clockBound time.Duration) *State {
	if record.Offset < state.Next {
		return state
	}
	next := *state
	next.Next = record.Offset + 1
	if record.Offset == 0 {
		next.Started = true
	}
	var claim Claim
	if record.Kind != KindClaim || !next.Started || json.Unmarshal(record.Body, &claim) != nil {
		return &next
	}
	next.Ledger = next.Ledger.Fold(claim, record.Stamp, clockBound, Unlimited)
	return &next
}

// Decode decodes a state from a snapshot.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode budget snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	return state, nil
}
