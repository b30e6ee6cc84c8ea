package entry_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/fleet"
)

// stoppingBackend has the instance refuse calls beyond a second from now once a call was sent.
type stoppingBackend struct {
	*backend
	stop *entry.Stop
}

func (b *stoppingBackend) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b.stop.RefuseBeyond(time.Now().Add(time.Second))
	return b.backend.Send(ctx, call, dispatch)
}

// stoppingCoordinator does the same while an adapter is placed.
type stoppingCoordinator struct {
	*coordinator
	stop *entry.Stop
}

func (c *stoppingCoordinator) Place(ctx context.Context, request pomelospring.PlacementRequest) (pomelospring.PlacementOutcome, error) {
	c.stop.RefuseBeyond(time.Now().Add(time.Second))
	return c.coordinator.Place(ctx, request)
}

// stoppingPermits does the same while a permit is asked for.
type stoppingPermits struct {
	*permits
	stop *entry.Stop
}

func (p *stoppingPermits) AskPermit(ctx context.Context, request pomelospring.PermitRequest) pomelospring.Permit {
	p.stop.RefuseBeyond(time.Now().Add(time.Second))
	return p.permits.AskPermit(ctx, request)
}

// TestCallThatWaitedBeginsInAPlannedStop guards against calls that were accepted before a
// planned stop refuses long ones, begin at a server after that and are cut.
func TestCallThatWaitedBeginsInAPlannedStop(t *testing.T) {
	full := reply{status: http.StatusServiceUnavailable, notRun: true}
	done := reply{status: http.StatusOK, body: "done"}
	refused := outcome{Code: pomelospring.CodeNotReady, Outcome: pomelospring.NotRun}
	scenarios := []struct {
		name    string
		path    string
		adapter string
		brittle bool
		// left is the caller's deadline; 0 for that of the route, which is beyond the stop.
		left    time.Duration
		replies []reply
		want    outcome
		sends   int
	}{
		{name: "for a placement", path: "/proof/1", adapter: "m/new", want: refused},
		{name: "for a permit", path: "/order/1", brittle: true, want: refused},
		{name: "for a server with room", path: "/order/1", replies: []reply{full, done}, want: refused, sends: 1},
		{name: "for a server with room, with a deadline before the end", path: "/order/1", left: 900 * time.Millisecond, replies: []reply{full, done}, want: outcome{Status: 200, Body: "done"}, sends: 2},
		{name: "after an event", path: "/proof/1", replies: []reply{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}, want: outcome{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, sends: 2},
		{name: "after a run without an answer", path: "/lookup/1", replies: []reply{{status: 200, broken: true}, done}, want: outcome{Status: 200, Body: "done"}, sends: 2},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := entry.NewStop()
				b := &backend{replies: scenario.replies}
				service := newService(b, false)
				given := &permits{free: map[string]int{"app-a": 1}}
				service.Stop, service.Backend = stop, &stoppingBackend{backend: b, stop: stop}
				service.Coordinator = &stoppingCoordinator{coordinator: &coordinator{board: service.Board}, stop: stop}
				if scenario.brittle {
					service.Permits = &stoppingPermits{permits: given, stop: stop}
					for _, server := range service.Board.Servers() {
						service.Board.RecordBrittleness(fleet.Brittleness{Server: server.ID, Started: server.Started, Brittle: true, RejectionsPerSecond: 3, At: time.Now()}, time.Now())
					}
				}
				waiting := call(scenario.path)
				if scenario.adapter != "" {
					waiting.Adapter = scenario.adapter
				}
				if scenario.left > 0 {
					waiting.Deadline = time.Now().Add(scenario.left)
				}
				out := &responder{}
				service.Serve(t.Context(), waiting, out)
				synctest.Wait()
				if diff := cmp.Diff(scenario.want, out.outcome); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(scenario.sends, len(b.servers)); diff != "" {
					t.Errorf("sends: %s", diff)
				}
				if given.held != 0 {
					t.Errorf("%d permits are held", given.held)
				}
			})
		})
	}
}
