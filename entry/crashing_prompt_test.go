package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
)

// crashingBackend ends a server when it begins to answer a call that crashes it, and
// starts another one in its place.
type crashingBackend struct {
	// crashing tells the calls that crash servers; nil for those with the prompt part
	// "bad".
	crashing func(call *pomelospring.Call) bool
	// begun is what a server sends of its answer before it ends; nil for nothing.
	// unframed answers end with their connection.
	begun    *string
	unframed bool
	// callTime is how long a server runs a call.
	callTime time.Duration

	mu       sync.Mutex
	restart  func(server string)
	listed   func() []pomelospring.FleetServer
	received map[string]int
	crashes  int
	// ended has the servers that have crashed.
	ended map[string]bool
}

func (b *crashingBackend) Send(_ context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended[dispatch.Server.ID] {
		return nil, fmt.Errorf("%w: connection refused", pomelospring.ErrNotSent)
	}
	if b.callTime > 0 {
		b.mu.Unlock()
		time.Sleep(b.callTime)
		b.mu.Lock()
		if b.ended[dispatch.Server.ID] {
			return nil, errors.New("EOF")
		}
	}
	for _, part := range call.Parts {
		b.received[part.ID]++
	}
	if b.isCrashing(call) {
		b.crashes++
		b.ended[dispatch.Server.ID] = true
		b.restart(dispatch.Server.ID)
		if b.begun == nil {
			return nil, errors.New("EOF")
		}
		answer := &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, EndsWithConnection: b.unframed}
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(*b.begun), brokenReader{}))
		if b.unframed {
			answer.Body = io.NopCloser(strings.NewReader(*b.begun))
		}
		return answer, nil
	}
	return &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events3)), Signed: true, Length: -1}, nil
}

// endServers ends some servers of a service by themselves, and starts others in their
// place.
func (b *crashingBackend) endServers(service string, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range b.listed() {
		if count > 0 && server.Service == service {
			b.ended[server.ID] = true
			b.restart(server.ID)
			count--
		}
	}
}

func (b *crashingBackend) isCrashing(call *pomelospring.Call) bool {
	if b.crashing != nil {
		return b.crashing(call)
	}
	return slices.ContainsFunc(call.Parts, func(part pomelospring.PromptPart) bool { return part.ID == "bad" })
}

// Report implements pomelospring.Engine; only Send ends servers.
func (b *crashingBackend) Report(_ context.Context, server pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended[server.ID] {
		return pomelospring.EngineReport{}, pomelospring.ErrServerEnded
	}
	return pomelospring.EngineReport{}, nil
}

// Do implements pomelospring.Engine.
func (*crashingBackend) Do(context.Context, pomelospring.Order) (pomelospring.OrderResult, error) {
	return pomelospring.OrderDone, nil
}

// newCrashingService returns a service before servers that end under some calls.
func newCrashingService() (*entry.Service, *crashingBackend) {
	service := newService(nil, false)
	incarnation := 0
	servers := map[string]pomelospring.FleetServer{}
	for _, server := range service.Board.Servers() {
		servers[server.ID] = server
	}
	b := &crashingBackend{received: map[string]int{}, ended: map[string]bool{}}
	b.restart = func(server string) {
		incarnation++
		next := servers[server]
		next.ID = fmt.Sprintf("i-%d", incarnation)
		next.Resident = []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}
		delete(servers, server)
		servers[next.ID] = next
		service.Board.SetServers(maps.Clone(servers), time.Now())
		service.Board.AddResident(next.ID, "m/x", 1)
	}
	b.listed = service.Board.Servers
	service.Backend, service.Engine = b, b
	return service, b
}

// TestPromptPartThatCrashesServersStopsReachingThem guards against calls with one
// prompt part that end server after server, at whichever moment of the answer.
func TestPromptPartThatCrashesServersStopsReachingThem(t *testing.T) {
	nothing, oneEvent, halfEvent := "", event1, event1+"id: 2\nda"
	scenarios := []struct {
		name     string
		begun    *string
		unframed bool
	}{
		{name: "before the head"},
		{name: "after the head", begun: &nothing},
		{name: "inside an event", begun: &halfEvent},
		{name: "after an event", begun: &oneEvent},
		{name: "after the head of an answer that ends with its connection", begun: &nothing, unframed: true},
		{name: "after an event of such an answer", begun: &oneEvent, unframed: true},
	}
	for _, path := range []string{"/brief/1", "/proof/1"} {
		for _, scenario := range scenarios {
			t.Run(path+" "+scenario.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					service, b := newCrashingService()
					b.begun, b.unframed = scenario.begun, scenario.unframed
					serve := func(id, part string) *responder {
						out := &responder{}
						service.Serve(t.Context(), &pomelospring.Call{
							ID: id, Host: "shop.example", Target: path, Path: path, Key: key, Adapter: "m/x", PromptTokens: 1000, Arrived: time.Now(),
							Parts: []pomelospring.PromptPart{{ID: "system", Tokens: 600}, {ID: part, Tokens: 300}, {ID: id, Tokens: 100}},
							Body:  []byte(id),
						}, out)
						time.Sleep(500 * time.Millisecond)
						return out
					}
					failed := 0
					for i := range 30 {
						serve(fmt.Sprintf("bad-%d", i), "bad")
						if out := serve(fmt.Sprintf("sound-%d", i), fmt.Sprintf("subject-%d", i%7)); out.Status != http.StatusOK || out.Body != events3 {
							failed++
						}
					}
					if b.crashes > 5 {
						t.Errorf("%d servers ended under one prompt part", b.crashes)
					}
					if failed > 0 {
						t.Errorf("%d of 30 sound calls of the same team and first part failed", failed)
					}
					last := serve("bad-last", "bad")
					if last.Code == "" || last.Outcome != pomelospring.NotRun {
						t.Errorf("a call with the part got %+v", last.outcome)
					}
				})
			})
		}
	}
}

// fullBackend has servers that reset one connection each, and those of reports, as they
// have too many.
type fullBackend struct {
	crashingBackend
	reset map[string]bool
}

func (b *fullBackend) Send(_ context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	if len(b.reset) < 3 && !b.reset[dispatch.Server.ID] {
		b.reset[dispatch.Server.ID] = true
		return nil, errors.New("connection reset by peer")
	}
	return &pomelospring.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events3)), Signed: true, Length: -1}, nil
}

func (*fullBackend) Report(context.Context, pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	return pomelospring.EngineReport{}, errors.New("connection reset by peer")
}

// TestFullServersDoNotBlockAPromptPart guards against calls that are refused because
// sound servers reset connections.
func TestFullServersDoNotBlockAPromptPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.Board.AddResident("c", "m/x", 1)
		b := &fullBackend{reset: map[string]bool{}}
		service.Backend, service.Engine = b, b
		served := 0
		for i := range 50 {
			out := &responder{}
			service.Serve(t.Context(), &pomelospring.Call{
				ID: fmt.Sprint(i), Host: "shop.example", Path: "/brief/1", Key: key, Adapter: "m/x", PromptTokens: 1000, Arrived: time.Now(),
				Parts: []pomelospring.PromptPart{{ID: "new-subject", Tokens: 300}, {ID: fmt.Sprint(i), Tokens: 100}},
			}, out)
			if out.Status == http.StatusOK {
				served++
			}
			time.Sleep(300 * time.Millisecond)
		}
		if diff := cmp.Diff(47, served); diff != "" || len(b.reset) != 3 {
			t.Errorf("%d servers reset a connection; served: %s", len(b.reset), diff)
		}
	})
}

// askedEngine records which model workers were asked for their report.
type askedEngine struct {
	soundEngine
	mu    sync.Mutex
	asked []string
}

func (e *askedEngine) Report(_ context.Context, server pomelospring.FleetServer) (pomelospring.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, server.ID)
	return pomelospring.EngineReport{}, nil
}

// TestTakeoverThatBreaksOffIsCheckedForACrash guards against prompt parts that ended
// one model worker after another through takeovers, with none of them noticed.
func TestTakeoverThatBreaksOffIsCheckedForACrash(t *testing.T) {
	scenarios := []struct {
		name   string
		second script
		asked  int
	}{
		{name: "before the head", second: script{err: io.EOF}, asked: 1},
		{name: "before an event", second: script{status: http.StatusOK, bodyErr: io.ErrUnexpectedEOF}, asked: 1},
		{name: "no connection", second: script{err: errors.Join(pomelospring.ErrNotSent, errors.New("refused"))}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(nil, false)
				engine := &askedEngine{}
				service.Engine = engine
				backend := inOrder(
					script{head: 3 * time.Second, status: http.StatusOK, chunks: []timedChunk{{text: events3}}},
					scenario.second,
				)
				service.Backend = backend
				call := streamCall()
				call.Parts = []pomelospring.PromptPart{{ID: "system", Tokens: 600}, {ID: "last", Tokens: 100}}
				service.Serve(t.Context(), call, &responder{})
				synctest.Wait()
				if len(engine.asked) != scenario.asked || scenario.asked == 1 && engine.asked[0] != backend.attempts[1].server {
					t.Errorf("asked %v", engine.asked)
				}
			})
		})
	}
}
