package entry_test

import (
	"context"
	"errors"
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

// evacuatedBackend evacuates the south as soon as a call is sent there: before it is sent,
// or once its answer has begun.
type evacuatedBackend struct {
	service *entry.Service
	begun   bool
	mu      sync.Mutex
	servers []string
}

func (b *evacuatedBackend) Send(_ context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = append(b.servers, dispatch.Server.ID)
	body := io.Reader(strings.NewReader(events3))
	if dispatch.Server.Domain == "south" {
		b.service.Board.SetEvacuated("south", true)
		if !b.begun {
			return nil, pomelospring.ErrEvacuated
		}
		body = io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), brokenReader{})
	} else if dispatch.ResumeAfter != "" {
		body = strings.NewReader("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	}
	return &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Signed: true, Length: -1}, nil
}

// endedEngine reports that every model worker was started anew.
type endedEngine struct{ pomelospring.Engine }

func (endedEngine) Report(context.Context, pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	return pomelospring.EngineReport{Started: time.Now()}, nil
}

// newEvacuatedService has a model worker and a plain server in the south, the best choices,
// and others in the north.
func newEvacuatedService(begun bool) (*entry.Service, *evacuatedBackend) {
	service := newService(nil, true)
	backend := &evacuatedBackend{service: service, begun: begun}
	service.Backend, service.Engine = backend, endedEngine{}
	servers := map[string]pomelospring.FleetServer{}
	for _, server := range service.Board.Servers() {
		if server.ID == "a" || server.ID == "app-a" {
			server.Domain = "south"
		} else {
			for range 20 {
				service.Board.BeginCall(server.ID, "", 500)
			}
		}
		server.Resident = []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}
		servers[server.ID] = server
	}
	service.Board.SetServers(servers, time.Now())
	return service, backend
}

func TestCallLeavesAnEvacuatedDomain(t *testing.T) {
	scenarios := []struct {
		name  string
		path  string
		begun bool
	}{
		{name: "a plain call", path: "/order/1"},
		{name: "a call that may be repeated", path: "/lookup/1"},
		{name: "a stream", path: "/proof/1"},
		{name: "a stream whose answer had begun", path: "/proof/1", begun: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, backend := newEvacuatedService(scenario.begun)
				out := &responder{}
				request := call(scenario.path)
				service.Serve(t.Context(), request, out)
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
					t.Error(diff)
				}
				if len(backend.servers) != 2 || service.Board.Accepts(backend.servers[0], time.Now()) {
					t.Errorf("sent to %v, want a server of the south and another one", backend.servers)
				}
				// Operators stop the servers.
				time.Sleep(time.Second)
				if suspicion := service.Quarantine.Suspicion([]string{request.Fingerprint()}); suspicion > 0 {
					t.Errorf("%d servers ended under the call", suspicion)
				}
				service.Board.SetEvacuated("south", false)
				for _, candidate := range service.Board.Candidates("app", &pomelospring.Call{}, nil, time.Now()) {
					if candidate.FailureRate > 0 {
						t.Errorf("%s counts as failing", candidate.Server.ID)
					}
				}
			})
		})
	}
}

// unaskedCoordinator finds no leader that may be asked.
type unaskedCoordinator struct{ pomelospring.Coordinator }

func (unaskedCoordinator) Place(context.Context, pomelospring.PlacementRequest) (pomelospring.PlacementOutcome, error) {
	return pomelospring.PlacementOutcome{}, errors.New("all failure domains are evacuated")
}

func TestCallsAreRefusedWhileAllDomainsAreEvacuated(t *testing.T) {
	for _, path := range []string{"/order/1", "/lookup/1", "/proof/1", "/brief/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, backend := newEvacuatedService(false)
				service.Coordinator = unaskedCoordinator{}
				service.Board.SetEvacuated("south", true)
				service.Board.SetEvacuated("north", true)
				out := &refusedResponder{}
				service.Serve(t.Context(), call(path), out)
				if len(backend.servers) > 0 {
					t.Errorf("sent to %v", backend.servers)
				}
				if out.refusal == nil || out.refusal.Outcome != pomelospring.NotRun || !out.refusal.RetryAt.After(time.Now()) {
					t.Errorf("refusal %+v, want one as not run, with a time to come back", out.refusal)
				}
			})
		})
	}
}
