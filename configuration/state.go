// Package configuration folds the configuration stream. The fold is pure:
// every instance reaches the same state at the same offset.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pomelospring/pomelospring"
)

// Stream is the name of the log stream that carries configuration changes.
const Stream = "configuration"

// State is the configuration at one offset. It is never changed in place: a fold
// copies the maps that it changes.
type State struct {
	// Next is the offset of the first record that is not folded yet.
	Next int64 `json:"next"`
	// Started is set once the state is based on a snapshot or on offset 0.
	Started        bool                                  `json:"started"`
	Teams          map[string]pomelospring.Team          `json:"teams"`
	Keys           map[string]pomelospring.Key           `json:"keys"`
	Adapters       map[string]pomelospring.Adapter       `json:"adapters"`
	Routes         map[string]pomelospring.Route         `json:"routes"`
	BackendServers map[string]pomelospring.BackendServer `json:"backendServers"`
	// Modified maps an object, as kind/name, to the offset after its last
	// change.
	Modified map[string]int64 `json:"modified"`
	// Results maps the ID of a recent change to its result.
	Results map[string]Result `json:"results"`
	// KeysByHash maps the hash of a key's secret to the ID of the key. It is
	// derived from Keys.
	KeysByHash map[[sha256.Size]byte]string `json:"-"`
}

// decodeHash reads a hash in hex form. It returns the zero hash, which no secret
// has, if the text is not a valid hash.
func decodeHash(text string) (hash [sha256.Size]byte) {
	decoded, err := hex.DecodeString(text)
	if err == nil && len(decoded) == len(hash) {
		copy(hash[:], decoded)
	}
	return hash
}

// Result says whether a change was accepted, and why not.
type Result struct {
	Accepted bool `json:"accepted"`
	// Offset is the offset of the change in the stream.
	Offset int64 `json:"offset"`
	// Reason says why the change was rejected.
	Reason string `json:"reason,omitempty"`
	// ConflictOffset is the offset of the earlier change that this one
	// conflicts with; -1 without a conflict.
	ConflictOffset int64 `json:"winner"`
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Teams:          map[string]pomelospring.Team{},
		Keys:           map[string]pomelospring.Key{},
		Adapters:       map[string]pomelospring.Adapter{},
		Routes:         map[string]pomelospring.Route{},
		BackendServers: map[string]pomelospring.BackendServer{},
		Modified:       map[string]int64{},
		Results:        map[string]Result{},
		KeysByHash:     map[[sha256.Size]byte]string{},
	}
}
