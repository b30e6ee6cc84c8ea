package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/fleet"
)

// versionBound is how long after the declaration of a version a call may begin at an older
// one.
const versionBound = 5 * time.Second

// versionedBegin is a call that reached a server.
type versionedBegin struct {
	Version int64
	// Late is set if a newer version had been declared for longer than versionBound.
	Late bool
}

// versionBackend answers each call after the time for which it waits at the server.
type versionBackend struct {
	declaredAt time.Time
	queue      time.Duration
	begins     []versionedBegin
}

func (b *versionBackend) Send(_ context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	if dispatch.AdapterVersion == 1 {
		time.Sleep(b.queue)
	}
	b.begins = append(b.begins, versionedBegin{
		Version: dispatch.AdapterVersion,
		Late:    dispatch.AdapterVersion == 1 && time.Since(b.declaredAt) > versionBound,
	})
	return &pomelospring.BackendAnswer{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader(events3)),
		Signed: true,
		Length: -1,
	}, nil
}

// slowTurns grants turns after a time that may be longer than expected.
type slowTurns struct {
	*coordinator
	wait time.Duration
}

func (l slowTurns) Reserve(context.Context, pomelospring.FleetServer, string, time.Time) pomelospring.Reservation {
	at := time.Now().Add(l.wait)
	return pomelospring.Reservation{Granted: true, At: at, NextAt: at}
}

// newOutdatedService returns a service whose servers a and b have version 1 of an adapter, of
// which version 2 was declared 1.9 s ago. Callers of its streams wait for 12 s.
func newOutdatedService() (*entry.Service, *versionBackend) {
	service := newService(nil, true)
	b := &versionBackend{declaredAt: time.Now()}
	service.Backend = b
	changed := policy()
	for i := range changed.Routes {
		changed.Routes[i].Target, changed.Routes[i].Timeout = 3*time.Second, 15*time.Second
	}
	changed.Version++
	service.Board.SetPolicy(changed)
	service.Board.DeclareVersion("m/x", 2, time.Now())
	time.Sleep(1900 * time.Millisecond)
	return service, b
}

// TestCallThatWaitsBeginsAtAnOutdatedVersion guards against calls that are given a server
// while its version of the adapter may still serve, and begin there after that.
func TestCallThatWaitsBeginsAtAnOutdatedVersion(t *testing.T) {
	scenarios := []struct {
		name string
		// turn is how long calls wait for a turn, of which expected is known before.
		turn     time.Duration
		expected time.Duration
		// queue is how long calls wait at the servers of version 1.
		queue time.Duration
		// newer says that server c has version 2.
		newer bool
		want  []versionedBegin
	}{
		{name: "no wait", want: []versionedBegin{{Version: 1}}},
		{name: "a turn that comes late", turn: 4 * time.Second, expected: 4 * time.Second},
		{name: "a turn that comes later than expected", turn: 4 * time.Second},
		{name: "a turn that comes late, and a server of the new version", turn: 4 * time.Second, expected: 4 * time.Second, newer: true, want: []versionedBegin{{Version: 2}}},
		{name: "a turn that comes later than expected, and a server of the new version", turn: 4 * time.Second, newer: true, want: []versionedBegin{{Version: 2}}},
		{name: "a queue", queue: 4 * time.Second},
		{name: "a queue, and a server of the new version", queue: 4 * time.Second, newer: true, want: []versionedBegin{{Version: 2}}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, b := newOutdatedService()
				b.queue = scenario.queue
				service.Coordinator = slowTurns{coordinator: &coordinator{board: service.Board, none: true}, wait: scenario.turn}
				now := time.Now()
				residency := map[string]pomelospring.Residency{}
				for _, id := range []string{"a", "b"} {
					server, _ := service.Board.Server(id)
					if scenario.turn > 0 {
						service.Board.RecordLimit(fleet.ServerLimit{Server: id, Started: server.Started, PerSecond: 1, At: now}, now)
						service.Board.RecordNextTurn(id, now.Add(scenario.expected))
					}
					tokens := int64(scenario.queue / service.Board.Speeds("llm").PrefillTime(1))
					service.Board.BeginCall(id, "m/x", tokens)
					residency[id] = pomelospring.Residency{Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}}
				}
				if scenario.newer {
					residency["c"] = pomelospring.Residency{Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 2}}}
					// The servers of version 1 seem to be the better choice.
					service.Board.BeginCall("c", "m/x", int64((scenario.queue+4500*time.Millisecond)/service.Board.Speeds("llm").PrefillTime(1)))
				}
				service.Board.SetResidency("north", residency, true, 2)
				out := &responder{}
				service.Serve(t.Context(), call("/brief/1"), out)
				synctest.Wait()
				if diff := cmp.Diff(scenario.want, b.begins); diff != "" {
					t.Error(diff)
				}
				if len(scenario.want) == 0 && out.Outcome != pomelospring.NotRun {
					t.Errorf("the call ended with %+v", out.outcome)
				}
			})
		})
	}
}
