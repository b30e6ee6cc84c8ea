package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
)

// pausingBackend rejects calls at some servers, which ask for a pause each time. The
// others answer.
type pausingBackend struct {
	mu     sync.Mutex
	pauses map[string]time.Duration
	// arrivals has the arrival times of calls by server.
	arrivals map[string][]time.Time
}

func (b *pausingBackend) Send(_ context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals == nil {
		b.arrivals = map[string][]time.Time{}
	}
	now := time.Now()
	b.arrivals[dispatch.Server.ID] = append(b.arrivals[dispatch.Server.ID], now)
	answer := &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events3)), Signed: true, Length: -1}
	if pause := b.pauses[dispatch.Server.ID]; pause > 0 {
		answer.Status, answer.NotRun = http.StatusServiceUnavailable, true
		answer.Notice.PausedUntil = now.Add(pause)
	}
	return answer, nil
}

// sent returns how long after a time calls were sent to a server.
func (b *pausingBackend) sent(server string, after time.Time) (times []time.Duration) {
	for _, at := range b.arrivals[server] {
		if at.After(after) {
			times = append(times, at.Sub(after))
		}
	}
	return times
}

// refusedResponder keeps the refusal that the caller got.
type refusedResponder struct {
	responder
	refusal *pomelospring.Refusal
}

func (r *refusedResponder) Refuse(refusal *pomelospring.Refusal) {
	r.responder.Refuse(refusal)
	r.refusal = refusal
}

// serveAll serves a call of a path every 20 ms until a time.
func serveAll(t *testing.T, service *entry.Service, path string, until time.Time) {
	t.Helper()
	for time.Now().Before(until) {
		service.Serve(t.Context(), call(path), &responder{})
		time.Sleep(20 * time.Millisecond)
	}
}

// TestServerGetsCallsDuringItsPause guards against calls and retries at a server that
// asked for a pause, where the load and the failures of the others would make it the
// best choice.
func TestServerGetsCallsDuringItsPause(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 1300 * time.Millisecond, 30 * time.Second} {
		for _, path := range []string{"/order/1", "/lookup/1", "/proof/1", "/brief/1"} {
			t.Run(fmt.Sprint(pause, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := &pausingBackend{pauses: map[string]time.Duration{"a": pause, "app-a": pause}}
					service := newService(nil, true)
					service.Backend = b
					// All but the pausing servers are busy.
					for _, id := range []string{"b", "app-b", "app-c"} {
						for range 20 {
							service.Board.BeginCall(id, "", 500)
						}
					}
					began := time.Now()
					server := "a"
					if path == "/order/1" || path == "/lookup/1" {
						server = "app-a"
					}
					service.Serve(t.Context(), call(path), &responder{})
					if len(b.arrivals[server]) == 0 {
						t.Fatal("the server got no call to reject")
					}
					serveAll(t, service, path, began.Add(pause))
					if sent := b.sent(server, began); len(sent) > 0 {
						t.Errorf("calls during the pause of %s after %v", pause, sent)
					}
					b.pauses = nil
					serveAll(t, service, path, began.Add(pause+5*time.Second))
					if len(b.sent(server, began)) == 0 {
						t.Error("the server got no calls after its pause")
					}
				})
			})
		}
	}
}

// TestCallsAreSentWhileAllServersPause guards against calls that go to servers that all
// asked for a pause, that are held, or whose caller is told to come back before the
// first pause ends.
func TestCallsAreSentWhileAllServersPause(t *testing.T) {
	scenarios := []struct {
		path   string
		pauses map[string]time.Duration
	}{
		{path: "/order/1", pauses: map[string]time.Duration{"app-a": 30 * time.Second, "app-b": 2 * time.Second, "app-c": 9 * time.Second}},
		{path: "/lookup/1", pauses: map[string]time.Duration{"app-a": 500 * time.Millisecond, "app-b": 400 * time.Millisecond, "app-c": time.Second}},
		{path: "/brief/1", pauses: map[string]time.Duration{"a": 3 * time.Second, "b": 4 * time.Second, "c": 5 * time.Second}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(nil, true)
				b := &pausingBackend{pauses: scenario.pauses}
				service.Backend = b
				leader := &coordinator{none: true}
				service.Coordinator = leader
				first := time.Hour
				for id, pause := range scenario.pauses {
					first = min(first, pause)
					service.Board.RecordPause(id, time.Now().Add(pause), time.Now())
				}
				out := &refusedResponder{}
				began := time.Now()
				service.Serve(t.Context(), call(scenario.path), out)
				if diff := cmp.Diff(outcome{Code: pomelospring.CodeOverloaded, Outcome: pomelospring.NotRun}, out.outcome); diff != "" {
					t.Fatal(diff)
				}
				if len(b.arrivals) > 0 || len(leader.requests) > 0 || time.Since(began) > 0 {
					t.Errorf("%d servers got calls, %d placement requests, held for %s", len(b.arrivals), len(leader.requests), time.Since(began))
				}
				if wait := out.refusal.RetryAt.Sub(began); wait < first || wait > first+first/10+time.Second {
					t.Errorf("retry after %s, the first pause ends after %s", wait, first)
				}
				time.Sleep(time.Until(out.refusal.RetryAt))
				b.pauses = nil
				again := &responder{}
				service.Serve(t.Context(), call(scenario.path), again)
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, again.outcome); diff != "" {
					t.Errorf("at the time to retry: %s", diff)
				}
			})
		})
	}
}

// TestPauseOfLastServerTakesARetry guards against a retry taken from the budget, and a
// time to retry that is too early, when a rejection leaves no server that takes calls.
func TestPauseOfLastServerTakesARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, true)
		service.RetrySlack = 2
		b := &pausingBackend{pauses: map[string]time.Duration{"app-a": 9 * time.Second, "app-b": 9 * time.Second}}
		service.Backend = b
		service.Board.SetServers(map[string]pomelospring.FleetServer{
			"app-a": {ID: "app-a", Service: "app", Domain: "north", Slots: 4},
			"app-b": {ID: "app-b", Service: "app", Domain: "north", Slots: 4},
		}, time.Now())
		out := &refusedResponder{}
		began := time.Now()
		service.Serve(t.Context(), call("/order/1"), out)
		if diff := cmp.Diff(2, len(b.arrivals)); diff != "" {
			t.Error(diff)
		}
		if wait := out.refusal.RetryAt.Sub(began); out.Outcome != pomelospring.NotRun || wait < 9*time.Second {
			t.Errorf("%s, retry after %s", out.Outcome, wait)
		}
		time.Sleep(time.Minute)
		delete(b.pauses, "app-b")
		for range 20 {
			service.Board.BeginCall("app-b", "", 0)
		}
		again := &responder{}
		service.Serve(t.Context(), call("/order/1"), again)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, again.outcome); diff != "" {
			t.Errorf("with one retry left: %s", diff)
		}
	})
}

// TestOnlyHolderOfAdapterPauses guards against calls that are refused while another
// worker could load the adapter of the one that pauses.
func TestOnlyHolderOfAdapterPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		b := &pausingBackend{pauses: map[string]time.Duration{"b": 10 * time.Second}}
		service.Backend = b
		placed := &coordinator{board: service.Board}
		service.Coordinator = placed
		service.Board.SetResidency("north", map[string]pomelospring.Residency{
			"b": {Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}},
		}, true, 2)
		for range 2 {
			out := &responder{}
			service.Serve(t.Context(), call("/brief/1"), out)
			if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
				t.Error(diff)
			}
		}
		if diff := cmp.Diff([]int{1, 2}, []int{len(b.arrivals["b"]), len(b.arrivals["a"])}); diff != "" {
			t.Error(diff)
		}
		// A worker that pauses has not failed, so no report is to be asked of it.
		if diff := cmp.Diff([][]string{{"b"}, nil}, [][]string{placed.requests[0].Unusable, placed.requests[0].Avoid}); diff != "" {
			t.Error(diff)
		}
	})
}

// TestPausingServerTakesCallOver guards against takeovers by a server that asked for
// a pause.
func TestPausingServerTakesCallOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &backend{replies: []reply{{unresponsive: true}, {status: 200, body: "done"}}}
		service := newService(b, true)
		service.Board.RecordPause("app-a", time.Now().Add(time.Minute), time.Now())
		out := &responder{}
		service.Serve(t.Context(), call("/lookup/1"), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: "done"}, out.outcome); diff != "" {
			t.Error(diff)
		}
		for _, server := range b.servers {
			if server == "app-a" {
				t.Error("the server that pauses got the call")
			}
		}
	})
}
