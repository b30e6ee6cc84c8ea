// Package standin simulates the outside systems for tests and local runs: the
// platform's log, instance list, metadata store and weight store, model workers
// and application workers. Each simulated service implements the HTTP API of
// the real one; most also record what they receive and inject faults on request.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// errUnavailable is the answer of a simulated service during an outage.
var errUnavailable = errors.New("service unavailable")

// Faults are the faults that a simulated service injects until they are replaced.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers executes every request other than GET and then drops the
	// connection instead of answering.
	LoseAnswers bool `json:"loseAnswers"`
	// DropBefore drops the connection before the request is executed.
	DropBefore bool `json:"dropBefore"`
	// DropAfterTokens drops the connection of a streamed answer after this many
	// tokens; 0 disables it.
	DropAfterTokens int `json:"dropAfterTokens"`
	// DelayMilliseconds delays every request before it is executed.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// FailLoads refuses every adapter load.
	FailLoads bool `json:"failLoads"`
}

// faultInjector holds the active faults and applies them to HTTP handlers.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the active faults.
func (f *faultInjector) Get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the active faults.
func (f *faultInjector) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// ServeHTTP replaces the active faults by those in the JSON body.
func (f *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(faults)
	w.WriteHeader(http.StatusNoContent)
}

// delay waits for the configured delay or until ctx ends.
func (f *faultInjector) delay(ctx context.Context) {
	wait := time.Duration(f.Get().DelayMilliseconds) * time.Millisecond
	if wait == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// wrap returns a handler that injects the active outages, delays and dropped
// connections around next.
func (f *faultInjector) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.delay(r.Context())
		faults := f.Get()
		if faults.Down {
			http.Error(w, errUnavailable.Error(), http.StatusServiceUnavailable)
			return
		}
		if faults.DropBefore {
			panic(http.ErrAbortHandler)
		}
		if faults.LoseAnswers && r.Method != http.MethodGet {
			next(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardWriter is a response writer that discards the answer, for LoseAnswers.
type discardWriter struct{}

// Header implements http.ResponseWriter.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// writeJSON answers with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
