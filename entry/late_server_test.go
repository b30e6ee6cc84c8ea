package entry_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
)

// pausingCaller is a caller that takes its time for each piece.
type pausingCaller struct {
	responder
	pause time.Duration
}

func (s *pausingCaller) Write(chunk []byte) error {
	time.Sleep(s.pause)
	return s.responder.Write(chunk)
}

// pacedBackend answers with streams whose events come at intervals.
type pacedBackend struct{ interval time.Duration }

func (b pacedBackend) Send(ctx context.Context, _ *pomelospring.Call, _ pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	chunks := strings.SplitAfter(events3, "\n\n")
	return &pomelospring.BackendAnswer{
		Status: 200,
		Body: struct {
			io.Reader
			io.Closer
		}{&pacedBody{interval: b.interval, chunks: chunks[:len(chunks)-1], ctx: ctx}, io.NopCloser(nil)},
		Signed: true,
		Length: -1,
	}, nil
}

// TestSlowCallersMakeNoServerLate guards against servers that get less since their callers
// read slowly.
func TestSlowCallersMakeNoServerLate(t *testing.T) {
	const target = 300 * time.Millisecond
	scenarios := []struct {
		name           string
		server, caller time.Duration
		late           bool
	}{
		{name: "usual", server: 20 * time.Millisecond},
		{name: "a slow server", server: 500 * time.Millisecond, late: true},
		{name: "slow callers", server: 20 * time.Millisecond, caller: 500 * time.Millisecond},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(nil, false)
				changed := policy()
				changed.Version = 2
				for i := range changed.Routes {
					changed.Routes[i].PauseTarget = target
				}
				service.Board.SetPolicy(changed)
				servers := map[string]pomelospring.FleetServer{}
				for _, id := range []string{"a", "b"} {
					servers[id] = pomelospring.FleetServer{ID: id, Service: "llm", Domain: "north", Slots: 64, Models: []string{"m"}}
				}
				service.Board.SetServers(servers, time.Now())
				service.Backend = pacedBackend{interval: scenario.server}
				var calls sync.WaitGroup
				for range 40 {
					calls.Go(func() {
						service.Serve(t.Context(), &pomelospring.Call{
							ID: "r1", Host: "shop.example", Path: "/proof/1", Key: key, Adapter: "m/x", PromptTokens: 10, Arrived: time.Now(),
						}, &pausingCaller{pause: scenario.caller})
					})
				}
				calls.Wait()
				speeds := service.Board.ServerSpeeds(time.Now())
				if late := len(speeds) > 0; late != scenario.late {
					t.Errorf("late is %t, want %t: %+v", late, scenario.late, speeds)
				}
			})
		})
	}
}
