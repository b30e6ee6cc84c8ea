package blackboard

import (
	"context"
	"sync"
)

// Running holds the requests in progress, so that a withdrawn key ends them
// and a planned stop waits for them.
type Running struct {
	mu       sync.Mutex
	requests map[string]runningRequest
	empty    chan struct{}
}

type runningRequest struct {
	key    string
	cancel context.CancelCauseFunc
}

// NewRunning makes an empty set.
func NewRunning() *Running {
	return &Running{
		requests: map[string]runningRequest{},
		empty:    make(chan struct{}),
	}
}

// Add enters a request with the ID of its key, empty without one.
func (r *Running) Add(id, key string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = runningRequest{
		key:    key,
		cancel: cancel,
	}
}

// Remove takes a request out.
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

// Wait returns once no request is in progress.
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

// CancelInvalidKeys ends every request whose key is not valid any more and returns the
// IDs of those requests.
func (r *Running) CancelInvalidKeys(valid func(key string) bool, cause error) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut []string
	for id, request := range r.requests {
		if request.key == "" || valid(request.key) {
			continue
		}
		request.cancel(cause)
		cut = append(cut, id)
	}
	return cut
}
