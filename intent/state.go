// Package intent folds the stream of intents of one failure domain: which
// attempt may run the request that a caller's idempotency key stands for, and
// what became of it. The first attempt in offset order wins. The fold is pure.
package intent

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Stream names the intents stream of one failure domain.
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

// Status is where an intent stands.
type Status string

// The statuses of an intent.
const (
	// Open: an attempt may be running.
	Open Status = "open"
	// Done: it ran, and its answer is known.
	Done Status = "done"
	// Unknown: it may have run.
	Unknown Status = "unknown"
	// NotRun: the attempt ended before anything was sent; the next may win.
	NotRun Status = "notRun"
)

// Claim is one attempt's wish to run a request.
type Claim struct {
	// Key is the hash of team, route and idempotency key.
	Key string `json:"key"`
	// Request is the hash of the request itself.
	Request string `json:"request"`
	// Attempt is unique to one attempt of one instance.
	Attempt string `json:"attempt"`
	// Deadline is how long the intent is kept.
	Deadline time.Time `json:"deadline"`
}

// Claims are committed together.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// Outcome is what became of an attempt.
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
	// BodyKept is false when the body was too large to keep.
	BodyKept bool `json:"bodyKept"`
}

// Intent is the state of one idempotency key.
type Intent struct {
	Claim  Claim  `json:"claim"`
	Status Status `json:"status"`
	Answer Answer `json:"answer"`
}

// State is all intents of a domain at one offset. It is never changed in
// place.
type State struct {
	Next    int64             `json:"next"`
	Started bool              `json:"started"`
	Intents map[string]Intent `json:"intents"`
}

// NewState gives the state before the first record.
func NewState() *State {
	return &State{
		Intents: map[string]Intent{},
	}
}

// Decode reads a state from its snapshot form.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode intents snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	return state, nil
}

// Fold returns the state after one record.
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

func foldClaims(state *State, record pomelospring.StoredRecord) {
	var claims Claims
	if json.Unmarshal(record.Body, &claims) != nil {
		return
	}
	state.Intents = maps.Clone(state.Intents)
	for key, held := range state.Intents {
		if held.Claim.Deadline.Before(record.Stamp) {
			delete(state.Intents, key)
		}
	}
	for _, claim := range claims.Claims {
		held, known := state.Intents[claim.Key]
		if known && held.Status != NotRun {
			continue
		}
		state.Intents[claim.Key] = Intent{
			Claim:  claim,
			Status: Open,
		}
	}
}

func foldOutcome(state *State, record pomelospring.StoredRecord) {
	var outcome Outcome
	if json.Unmarshal(record.Body, &outcome) != nil {
		return
	}
	held, known := state.Intents[outcome.Key]
	if !known || held.Claim.Attempt != outcome.Attempt || held.Status != Open {
		return
	}
	held.Status = outcome.Status
	held.Answer = outcome.Answer
	state.Intents = maps.Clone(state.Intents)
	state.Intents[outcome.Key] = held
}
