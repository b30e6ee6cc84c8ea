package entry_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/entry"
)

// newServiceWithAttempts returns a service whose routes allow some attempts within
// 15 s, and whose adapter is on all three model workers.
func newServiceWithAttempts(attempts int) *entry.Service {
	service := newService(nil, false)
	changed := policy()
	changed.Version = 2
	for i := range changed.Routes {
		changed.Routes[i].Attempts = attempts
		changed.Routes[i].Timeout = 15 * time.Second
	}
	service.Board.SetPolicy(changed)
	service.Board.AddResident("c", "m/x", 1)
	return service
}

// TestSilentTakeoverIsGivenUpForAThirdServer guards against calls that ended at their
// deadline because the server that was to take them over was silent as well.
func TestSilentTakeoverIsGivenUpForAThirdServer(t *testing.T) {
	silent := script{head: time.Hour}
	begun := func() script {
		return script{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: time.Hour, text: rest}}}
	}
	sound := func() script {
		return script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}}
	}
	broken := func() script {
		return script{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: 2 * time.Second, text: "id: 2"}}, bodyErr: io.ErrUnexpectedEOF}
	}
	late := func() script {
		return script{head: 6 * time.Second, status: http.StatusOK, chunks: []timedChunk{{text: rest}}}
	}
	lateWhole := func() script {
		return script{head: 6 * time.Second, status: http.StatusOK, chunks: []timedChunk{{text: events3}}}
	}
	scenarios := []struct {
		name     string
		attempts int
		// servers is how many of the three model workers have the adapter.
		servers int
		scripts []script
		within  time.Duration
		sends   int
	}{
		{name: "the first server is silent", attempts: 3, servers: 3, scripts: []script{begun(), silent, sound()}, within: 5 * time.Second, sends: 3},
		{name: "the first server breaks off", attempts: 3, servers: 3, scripts: []script{broken(), silent, sound()}, within: 5 * time.Second, sends: 3},
		{name: "no further attempt is allowed", attempts: 2, servers: 3, scripts: []script{begun(), late()}, within: 8 * time.Second, sends: 2},
		{name: "the first server ends without an event, after its caller's time for that", attempts: 3, servers: 3, scripts: []script{{head: 3 * time.Second, err: io.ErrUnexpectedEOF}, lateWhole()}, within: 9 * time.Second, sends: 2},
		{name: "no third server has room, and the first one broke off", attempts: 3, servers: 2, scripts: []script{broken(), late()}, within: 8 * time.Second, sends: 2},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newServiceWithAttempts(scenario.attempts)
				service.Coordinator = &coordinator{board: service.Board, none: true}
				if scenario.servers == 2 {
					service.Board.RemoveResident("c", "m/x")
				}
				backend := inOrder(scenario.scripts...)
				service.Backend = backend
				out, startedAt := &responder{}, time.Now()
				service.Serve(t.Context(), streamCall(), out)
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
					t.Error(diff)
				}
				if took := time.Since(startedAt); took > scenario.within {
					t.Errorf("the call took %v", took)
				}
				if len(backend.attempts) != scenario.sends {
					t.Errorf("%d attempts, want %d", len(backend.attempts), scenario.sends)
				}
				synctest.Wait()
			})
		})
	}
}

// TestFailedResumptionIsFollowedByAnother guards against streams that were closed with
// attempts left, because the server that was to go on with them failed.
func TestFailedResumptionIsFollowedByAnother(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newServiceWithAttempts(3)
				service.Backend = inOrder(
					script{status: http.StatusOK, chunks: []timedChunk{{text: event1}}, bodyErr: io.ErrUnexpectedEOF},
					script{status: status, chunks: []timedChunk{{text: "no"}}},
					script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
				)
				out := &responder{}
				service.Serve(t.Context(), streamCall(), out)
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
