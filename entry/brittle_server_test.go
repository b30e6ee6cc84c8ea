package entry_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// permits gives out a number of permits for each server, and records how they ended.
type permits struct {
	mu       sync.Mutex
	free     map[string]int
	held     int
	outcomes []pomelospring.PermitOutcome
}

func (p *permits) AskPermit(_ context.Context, request pomelospring.PermitRequest) (permit pomelospring.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range request.Servers {
		if id := request.Servers[i].ID; p.free[id] > 0 {
			p.free[id]--
			p.held++
			return pomelospring.Permit{Granted: true, Server: id, Domain: request.Servers[i].Domain}
		}
	}
	return pomelospring.Permit{RetryAt: time.Now().Add(time.Second)}
}

func (p *permits) ReturnPermit(_ pomelospring.Permit, outcome pomelospring.PermitOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	p.outcomes = append(p.outcomes, outcome)
}

// TestBrittleServerGetsCallWithoutPermit guards against first sends, retries and resumed
// streams that reach brittle servers without a permit, and against permits that are kept.
func TestBrittleServerGetsCallWithoutPermit(t *testing.T) {
	const served, rejected, broken = pomelospring.PermitServed, pomelospring.PermitRejected, pomelospring.PermitBroken
	refused := outcome{Code: pomelospring.CodeOverloaded, Outcome: pomelospring.NotRun}
	done := outcome{Status: http.StatusOK, Body: "done"}
	full := reply{status: http.StatusServiceUnavailable, notRun: true}
	scenarios := []struct {
		name     string
		path     string
		free     map[string]int
		replies  []reply
		want     outcome
		servers  []string
		outcomes []pomelospring.PermitOutcome
	}{
		{name: "no permit", path: "/order/1", want: refused},
		{name: "one server has room", path: "/order/1", free: map[string]int{"app-b": 1}, replies: []reply{{status: 200, body: "done"}}, want: done, servers: []string{"app-b"}, outcomes: []pomelospring.PermitOutcome{served}},
		{name: "the only one with room rejects", path: "/order/1", free: map[string]int{"app-b": 2}, replies: []reply{full}, want: refused, servers: []string{"app-b"}, outcomes: []pomelospring.PermitOutcome{rejected}},
		{name: "a retry has a permit of its own", path: "/lookup/1", free: map[string]int{"app-a": 1, "app-b": 1}, replies: []reply{full, {status: 200, body: "done"}}, want: done, servers: []string{"", ""}, outcomes: []pomelospring.PermitOutcome{rejected, served}},
		{name: "a connection that is reset", path: "/order/1", free: map[string]int{"app-a": 1}, replies: []reply{{err: errors.New("connection reset")}}, want: outcome{Code: pomelospring.CodeBackendServerError, Outcome: pomelospring.OutcomeUnknown}, servers: []string{"app-a"}, outcomes: []pomelospring.PermitOutcome{broken}},
		{name: "a failed answer", path: "/order/1", free: map[string]int{"app-a": 1}, replies: []reply{{status: 500, body: "no"}}, want: outcome{Status: 500, Body: "no"}, servers: []string{"app-a"}, outcomes: []pomelospring.PermitOutcome{served}},
		{name: "a stream that breaks and has nowhere to go", path: "/proof/1", free: map[string]int{"a": 1}, replies: []reply{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}}, want: outcome{Status: 200, Body: "id: 1\ndata: a\n\n", Aborted: true}, servers: []string{"a"}, outcomes: []pomelospring.PermitOutcome{served}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &backend{replies: scenario.replies}
				service := newService(b, false)
				given := &permits{free: scenario.free}
				service.Permits = given
				for _, server := range service.Board.Servers() {
					service.Board.RecordBrittleness(fleet.Brittleness{Server: server.ID, Started: server.Started, Brittle: true, RejectionsPerSecond: 3, At: time.Now()}, time.Now())
				}
				out := &responder{}
				service.Serve(t.Context(), call(scenario.path), out)
				synctest.Wait()
				if diff := cmp.Diff(scenario.want, out.outcome); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(len(scenario.servers), len(b.servers)); diff != "" {
					t.Errorf("sends: %s", diff)
				}
				for i, want := range scenario.servers {
					if want != "" && b.servers[i] != want {
						t.Errorf("send %d went to %s, want %s", i, b.servers[i], want)
					}
				}
				if diff := cmp.Diff(scenario.outcomes, given.outcomes); diff != "" {
					t.Errorf("outcomes of permits: %s", diff)
				}
				if given.held != 0 {
					t.Errorf("%d permits are kept", given.held)
				}
			})
		})
	}
}
