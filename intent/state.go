// Package intent folds the stream of intents of one failure domain. An intent
// records which attempt may run the request of a caller's idempotency key, and
// its outcome. The first claim in offset order wins. The fold is a pure
// function.
package intent

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Stream returns the name of the intents stream of one failure domain.
func Stream(domain string) string {
	return "intents-" + domain
}

// The kinds of record in an intents stream.
const (
	// KindClaims carries Claims.
	KindClaims = "claims"
	// KindOutcome carries Outcome.
	KindOutcome = "outcome"
)

// Status is the state of an intent.
type Status string

// The statuses of an intent.
const (
	// Open: an attempt may be running.
	Open Status = "open"
	// Done: the request ran, and its answer is known.
	Done Status = "done"
	// Unknown: the request may have run.
	Unknown Status = "unknown"
	// NotRun: the attempt ended before anything was sent; another attempt may
	// claim the request.
	NotRun Status = "notRun"
)

// Claim asks for the right of one attempt to run a request.
type Claim struct {
	// Key is the hash of team, route and idempotency key.
	Key string `json:"key"`
	// Request is the hash of the request itself.
	Request string `json:"request"`
	// Attempt is unique to one attempt of one instance.
	Attempt string `json:"attempt"`
	// Deadline is when the intent expires.
	Deadline time.Time `json:"deadline"`
}

// Claims is a batch of claims that are committed in one record.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// Outcome is the result of an attempt.
type Outcome struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	Status  Status `json:"status"`
	Answer  Answer `json:"answer"`
}

// Answer is what the backend server answered.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body,omitempty"`
	// BodyKept is false when the body was too large to store.
	BodyKept bool `json:"bodyKept"`
}

// Intent is the state of one idempotency key.
type Intent struct {
	Claim  Claim  `json:"claim"`
	Status Status `json:"status"`
	Answer Answer `json:"answer"`
}

// State is all intents of a domain at one offset. It is immutable; Fold returns
// a changed copy.
type State struct {
	// Next is the offset of the next record to fold.
	Next int64 `json:"next"`
	// Started is true once the first record of the stream or a snapshot was
	// read.
	Started bool `json:"started"`
	// Intents are by idempotency key, as in Claim.Key.
	Intents map[string]Intent `json:"intents"`
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Intents: map[string]Intent{},
	}
}

// Decode decodes a state from a snapshot.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode intents snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	return state, nil
}

// Fold returns the state after one record. A record that the state already
// contains has no effect. A state that neither starts at the first record of the
// stream nor comes from a snapshot only advances its offset.
func Fold(state *State, record pomelospring.StoredRecord) *State {
	if record.Offset < state.Next {
		return state
	}
	next := *state
	next.Next = record.Offset + 1
	if record.Offset == 0 {
		next.Started = true
	}
	if !next.Started {
		return &next
	}
	switch record.Kind {
	case KindClaims:
		foldClaims(&next, record)
	case KindOutcome:
		foldOutcome(&next, record)
	}
	return &next
}

// foldClaims removes expired intents and opens an intent for each claim whose key
// has none or one that did not run.
func foldClaims(state *State, record pomelospring.StoredRecord) {
	var claims Claims
	if json.Unmarshal(record.Body, &claims) != nil {
		return
	}
	state.Intents = maps.Clone(state.Intents)
	for key, existing := range state.Intents {
		if existing.Claim.Deadline.Before(record.Stamp) {
			delete(state.Intents, key)
		}
	}
	for _, claim := range claims.Claims {
		existing, known := state.Intents[claim.Key]
		if known && existing.Status != NotRun {
			continue
		}
		state.Intents[claim.Key] = Intent{
			Claim:  claim,
			Status: Open,
		}
	}
}

// foldOutcome records the outcome of an open intent, if it belongs to the attempt
// that won.
func foldOutcome(state *State, record pomelospring.StoredRecord) {
	var outcome Outcome
	if json.Unmarshal(record.Body, &outcome) != nil {
		return
	}
	existing, known := state.Intents[outcome.Key]
	if !known || existing.Claim.Attempt != outcome.Attempt || existing.Status != Open {
		return
	}
	existing.Status = outcome.Status
	existing.Answer = outcome.Answer
	state.Intents = maps.Clone(state.Intents)
	state.Intents[outcome.Key] = existing
}
