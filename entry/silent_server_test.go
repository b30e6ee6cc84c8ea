package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/fleet"
)

// silentBackend sends the first event of a stream, or nothing of a plain answer,
// and then pauses. Every attempt after the first ends as other says.
type silentBackend struct {
	pause time.Duration
	other reply
	sends atomic.Int32
}

func (b *silentBackend) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	if b.sends.Add(1) > 1 {
		return (&backend{replies: []reply{b.other}}).Send(ctx, call, dispatch)
	}
	answer := &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1}
	if call.Adapter == "" {
		select {
		case <-time.After(b.pause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		answer.Body = io.NopCloser(strings.NewReader("done"))
		return answer, nil
	}
	first, rest, _ := strings.Cut(events3, "\n\n")
	answer.Body = io.NopCloser(io.MultiReader(
		strings.NewReader(first+"\n\n"),
		&pacedBody{ctx: ctx, interval: b.pause, chunks: []string{rest}},
	))
	return answer, nil
}

// TestSilentServerDoesNotEndItsCall guards against calls that were cut at a sound
// server before another one had taken them over.
func TestSilentServerDoesNotEndItsCall(t *testing.T) {
	const pause = 1900 * time.Millisecond
	whole := outcome{Status: http.StatusOK, Body: events3}
	unreachable := errors.Join(pomelospring.ErrNotSent, errors.New("refused"))
	resumed := reply{status: 200, body: strings.TrimPrefix(events3, "id: 1\ndata: a\n\n")}
	scenarios := []struct {
		name    string
		path    string
		other   reply
		prepare func(service *entry.Service)
		pause   time.Duration
		want    outcome
	}{
		{name: "no retry is left", path: "/proof/1", prepare: func(s *entry.Service) { s.RetrySlack = 0 }, want: whole},
		{name: "no other server has the adapter, nor room for it", path: "/proof/1", prepare: func(s *entry.Service) {
			s.Board.SetResidency("north", map[string]pomelospring.Residency{
				"a": {Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}},
			}, true, 2)
			s.Coordinator = &coordinator{board: s.Board, none: true}
		}, want: whole},
		{name: "the other server rejects the call", path: "/proof/1", other: reply{status: 503, notRun: true}, want: whole},
		{name: "the other server fails", path: "/proof/1", other: reply{status: 500, body: "no"}, want: whole},
		{name: "the other server can't be reached", path: "/proof/1", other: reply{err: unreachable}, want: whole},
		{name: "the other server is silent too", path: "/proof/1", other: reply{unresponsive: true}, want: whole},
		{name: "the other server goes on", path: "/proof/1", other: resumed, want: whole},
		{name: "the server never goes on, and another one does", path: "/proof/1", other: resumed, pause: time.Hour, want: whole},
		{name: "the failure domain counts as cut off", path: "/proof/1", other: reply{status: 503, notRun: true}, prepare: cutOffDuringCall, want: whole},
		{name: "the configuration drops the route and the key", path: "/proof/1", pause: 900 * time.Millisecond, prepare: func(s *entry.Service) {
			time.AfterFunc(500*time.Millisecond, func() { s.Board.SetPolicy(&pomelospring.Policy{Version: 2}) })
		}, want: whole},
		{name: "a lookup, and no retry is left", path: "/lookup/1", prepare: func(s *entry.Service) { s.RetrySlack = 0 }, want: outcome{Status: http.StatusOK, Body: "done"}},
		{name: "a lookup that the other servers reject", path: "/lookup/1", other: reply{status: 503, notRun: true}, want: outcome{Status: http.StatusOK, Body: "done"}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(nil, false)
				if scenario.prepare != nil {
					scenario.prepare(service)
				}
				if scenario.pause == 0 {
					scenario.pause = pause
				}
				service.Backend = &silentBackend{pause: scenario.pause, other: scenario.other}
				call := &pomelospring.Call{ID: "r1", Host: "shop.example", Path: scenario.path, Key: key, PromptTokens: 1000, Arrived: time.Now()}
				if scenario.path == "/proof/1" {
					call.Adapter = "m/x"
				}
				out := &responder{}
				service.Serve(t.Context(), call, out)
				if diff := cmp.Diff(scenario.want, out.outcome); diff != "" {
					t.Error(diff)
				}
				synctest.Wait()
			})
		})
	}
}

// cutOffDuringCall moves the model workers to another failure domain, connections
// to which time out during the call.
func cutOffDuringCall(s *entry.Service) {
	servers := map[string]pomelospring.FleetServer{}
	residency := map[string]pomelospring.Residency{}
	for _, id := range []string{"a", "b"} {
		servers[id] = pomelospring.FleetServer{ID: id, Service: "llm", Domain: "south", Slots: 4, Models: []string{"m"}}
		residency[id] = pomelospring.Residency{Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}}
	}
	s.Board.SetServers(servers, time.Now())
	s.Board.SetResidency("south", residency, true, 1)
	s.Board.UpdateFromLeader("south", map[string]fleet.ServerLoad{}, time.Now().Add(time.Hour))
	time.AfterFunc(500*time.Millisecond, func() {
		s.Board.RecordConnectTimeout("a", time.Now())
		s.Board.RecordConnectTimeout("b", time.Now())
	})
}

// hungBackend leaves the calls at one server unanswered, that of the first call, and
// answers all others.
type hungBackend struct {
	mu    sync.Mutex
	hung  string
	sends map[string]int
}

func (b *hungBackend) Send(ctx context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b.mu.Lock()
	if b.hung == "" {
		b.hung = dispatch.Server.ID
	}
	b.sends[dispatch.Server.ID]++
	hung := b.hung == dispatch.Server.ID
	b.mu.Unlock()
	if hung {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(100 * time.Millisecond)
	return &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done")), Signed: true, Length: -1}, nil
}

// TestOrdersAvoidASilentServer guards against calls that can't be repeated and are
// sent to a server that has left an earlier one unanswered for long.
func TestOrdersAvoidASilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		b := &hungBackend{sends: map[string]int{}}
		service.Backend = b
		order := func() outcome {
			out := &responder{}
			service.Serve(t.Context(), &pomelospring.Call{ID: "r1", Host: "shop.example", Path: "/order/1", Key: key, Arrived: time.Now()}, out)
			return out.outcome
		}
		var group sync.WaitGroup
		group.Go(func() { order() })
		// The routes allow four seconds, and the first call waits for almost half of it.
		time.Sleep(1900 * time.Millisecond)
		for range 30 {
			group.Go(func() {
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: "done"}, order()); diff != "" {
					t.Error(diff)
				}
			})
		}
		group.Wait()
		if diff := cmp.Diff(1, b.sends[b.hung]); diff != "" {
			t.Errorf("sends to the silent server: %s", diff)
		}
	})
}
