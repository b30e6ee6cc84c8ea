package blackboard

import (
	"context"
	"sync"
)

// Running tracks the requests in progress, so that they can be canceled when
// their key is withdrawn and a planned stop can wait for them.
type Running struct {
	mu       sync.Mutex
	requests map[string]runningRequest
	empty    chan struct{}
}

type runningRequest struct {
	key    string
	cancel context.CancelCauseFunc
}

// NewRunning returns an empty set.
func NewRunning() *Running {
	return &Running{
		requests: map[string]runningRequest{},
		empty:    make(chan struct{}),
	}
}

// Add adds a request with the ID of its key, which is empty for a request
// without a key.
func (r *Running) Add(id, key string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = runningRequest{
		key:    key,
		cancel: cancel,
	}
}

// Remove removes a request that has ended.
func (r *Running) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
	if len(r.requests) == 0 {
		close(r.empty)
		r.empty = make(chan struct{})
	}
}

// Len counts the requests in progress.
func (r *Running) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Wait blocks until no request is in progress or the context ends.
func (r *Running) Wait(ctx context.Context) {
	for {
		r.mu.Lock()
		count, empty := len(r.requests), r.empty
		r.mu.Unlock()
		if count == 0 {
			return
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return
		}
	}
}

// CancelInvalidKeys cancels every request whose key is no longer valid and
// returns the IDs of those requests.
func (r *Running) CancelInvalidKeys(valid func(key string) bool, cause error) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var canceled []string
	for id, request := range r.requests {
		if request.key == "" || valid(request.key) {
			continue
		}
		request.cancel(cause)
		canceled = append(canceled, id)
	}
	return canceled
}
