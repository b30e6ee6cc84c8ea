// Package standin holds small stand-ins for the outside systems: the
// platform's log, instance list and weight store, model workers and
// application workers. Each speaks the outside system's HTTP API, keeps what
// it was asked, and fails on order.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// errDown is what a stand-in answers during an outage.
var errDown = errors.New("the service is out")

// Faults is what a stand-in does wrong until told otherwise.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers does what was asked and then drops the connection.
	LoseAnswers bool `json:"loseAnswers"`
	// DropBefore drops the connection before anything is done.
	DropBefore bool `json:"dropBefore"`
	// DropAfterTokens cuts a streamed answer after as many tokens; 0 never.
	DropAfterTokens int `json:"dropAfterTokens"`
	// DelayMilliseconds holds back every answer.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// FailLoads refuses every adapter load.
	FailLoads bool `json:"failLoads"`
}

// faultBox holds the faults in force.
type faultBox struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the faults in force.
func (f *faultBox) Get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the faults in force.
func (f *faultBox) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// ServeHTTP replaces the faults by a JSON body.
func (f *faultBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (f *faultBox) delay(ctx context.Context) {
	wait := time.Duration(f.Get().DelayMilliseconds) * time.Millisecond
	if wait == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// wrap applies outages, delays and dropped connections to a handler.
func (f *faultBox) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.delay(r.Context())
		faults := f.Get()
		if faults.Down {
			http.Error(w, errDown.Error(), http.StatusServiceUnavailable)
			return
		}
		if faults.DropBefore {
			panic(http.ErrAbortHandler)
		}
		if faults.LoseAnswers && r.Method != http.MethodGet {
			next(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discard is a response writer for answers that get lost.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
