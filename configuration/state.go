// Package configuration folds the configuration stream. The fold is pure:
// every instance reaches the same state at the same offset.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pomelospring/pomelospring"
)

// Stream is the log stream that carries changes of configuration.
const Stream = "configuration"

// State is the configuration at one offset. It is never changed in place:
// a fold copies the map that it touches.
type State struct {
	// Next is the offset of the first record that is not folded in.
	Next int64 `json:"next"`
	// Started is set once the state rests on a snapshot or on offset 0.
	Started        bool                                  `json:"started"`
	Teams          map[string]pomelospring.Team          `json:"teams"`
	Keys           map[string]pomelospring.Key           `json:"keys"`
	Adapters       map[string]pomelospring.Adapter       `json:"adapters"`
	Routes         map[string]pomelospring.Route         `json:"routes"`
	BackendServers map[string]pomelospring.BackendServer `json:"backendServers"`
	// Modified maps an object, as kind/name, to the offset after the change
	// that touched it last.
	Modified map[string]int64 `json:"modified"`
	// Results maps the ID of a recent change to its outcome.
	Results map[string]Result `json:"results"`
	// KeysByHash finds a key by the hash of its secret; derived from Keys.
	KeysByHash map[[sha256.Size]byte]string `json:"-"`
}

// hashOf reads the hex form of a hash; what is not one gives the zero hash,
// which no secret has.
func hashOf(text string) (hash [sha256.Size]byte) {
	decoded, err := hex.DecodeString(text)
	if err == nil && len(decoded) == len(hash) {
		copy(hash[:], decoded)
	}
	return hash
}

// Result is what became of one change.
type Result struct {
	Accepted bool `json:"accepted"`
	// Offset is where the change stands in the stream.
	Offset int64 `json:"offset"`
	// Reason says why a change lost or was bad.
	Reason string `json:"reason,omitempty"`
	// ConflictOffset is the offset of the change that it lost to, -1 without one.
	ConflictOffset int64 `json:"winner"`
}

// NewState gives the state before the first record.
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
