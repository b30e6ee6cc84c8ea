package serving_test

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/retry"
	"github.com/pomelospring/pomelospring/serving"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// pausingOwner sends an answer in two parts with a pause between them.
type pausingOwner struct {
	peerpb.DRPCPeerUnimplementedServer
	pause time.Duration
}

func (o *pausingOwner) Serve(_ *peerpb.ServeRequest, out peerpb.DRPCPeer_ServeStream) error {
	if err := out.Send(&peerpb.ServeChunk{Data: []byte("a")}); err != nil {
		return err
	}
	select {
	case <-time.After(o.pause):
	case <-out.Context().Done():
		return out.Context().Err()
	}
	if err := out.Send(&peerpb.ServeChunk{Data: []byte("b")}); err != nil {
		return err
	}
	return out.Send(&peerpb.ServeChunk{End: &peerpb.ServeEnd{}})
}

type fixedRouter struct{ target pomelospring.Target }

func (r fixedRouter) Route(pomelospring.RouteQuery) (pomelospring.Target, bool) {
	return r.target, true
}

// serverBefore returns a server that forwards all requests to an owner.
func serverBefore(t *testing.T, owner peerpb.DRPCPeerServer) *serving.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, owner); err != nil {
		t.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), listener) }()
	return &serving.Server{
		Board:   blackboard.New(pomelospring.Instance{ID: "self", Domain: "north"}),
		Router:  fixedRouter{target: pomelospring.Target{Owner: "other", Address: listener.Addr().String()}},
		Peers:   peer.NewClient(nil),
		Retries: retry.NewBudget(),
		Logger:  &log.Logger{Handler: discard.New()},
		Clock:   time.Now,
	}
}

// serve runs a request and returns its output.
func serve(t *testing.T, s *serving.Server) (got string, err error) {
	t.Helper()
	_, err = s.Serve(t.Context(), &pomelospring.Work{ID: "r1", Deadline: s.Clock().Add(10 * time.Second)}, engine.Request{}, func(data []byte) error {
		got += string(data)
		return nil
	})
	return got, err
}

// TestSilentOwnerDoesNotEndItsRequests guards against running requests that were cut
// because an exchange with their owner, or another request there, had failed.
func TestSilentOwnerDoesNotEndItsRequests(t *testing.T) {
	s := serverBefore(t, &pausingOwner{pause: 1200 * time.Millisecond})
	time.AfterFunc(100*time.Millisecond, func() {
		s.Board.SetUnreachableUntil("other", time.Now().Add(time.Second))
	})
	got, err := serve(t, s)
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff("ab", got); diff != "" {
		t.Error(diff)
	}
}

// TestLostOwnerDoesNotHoldItsRequests guards against requests that wait for an owner
// whose machine is gone, as that closes no connection.
func TestLostOwnerDoesNotHoldItsRequests(t *testing.T) {
	s := serverBefore(t, &pausingOwner{pause: time.Hour})
	startedAt := time.Now()
	const speed = 20
	s.Clock = func() time.Time { return startedAt.Add(speed * time.Since(startedAt)) }
	s.Board.SetUnreachableUntil("other", startedAt.Add(time.Hour))
	got, err := serve(t, s)
	if refusal := pomelospring.AsRefusal(err); refusal == nil || refusal.Code != pomelospring.CodeBackendServerError {
		t.Errorf("the request ended with %v", err)
	}
	if s.Board.Reachable("other", startedAt.Add(59*time.Minute)) {
		t.Error("the failed request made the owner reachable again")
	}
	if took := s.Clock().Sub(startedAt); took < 10*time.Second || took > 30*time.Second {
		t.Errorf("the request ended after %v", took)
	}
	if diff := cmp.Diff("a", got); diff != "" {
		t.Error(diff)
	}
}

// TestOwnerSilence checks when an owner counts as gone.
func TestOwnerSilence(t *testing.T) {
	type check struct {
		at        time.Duration
		reachable bool
		output    bool
		want      bool
	}
	scenarios := []struct {
		name      string
		startTime time.Duration
		checks    []check
	}{
		{
			name:      "unreachable before the first output: time to start elsewhere is left",
			startTime: 6 * time.Second,
			checks:    []check{{at: 2900 * time.Millisecond}, {at: 3 * time.Second, want: true}},
		},
		{
			name:      "unreachable after the first output",
			startTime: 6 * time.Second,
			checks:    []check{{at: time.Second, output: true}, {at: 10900 * time.Millisecond}, {at: 11 * time.Second, want: true}},
		},
		{
			name:      "output shows that the owner is there",
			startTime: time.Minute,
			checks:    []check{{at: 9 * time.Second, output: true}, {at: 18 * time.Second, output: true}, {at: 27 * time.Second}, {at: 28 * time.Second, want: true}},
		},
		{
			name:      "an exchange shows that the owner is there",
			startTime: time.Minute,
			checks:    []check{{at: 9 * time.Second, reachable: true}, {at: 18 * time.Second}, {at: 19 * time.Second, want: true}},
		},
		{
			name:      "a reachable owner may generate for long",
			startTime: time.Second,
			checks:    []check{{at: time.Second, reachable: true}, {at: time.Hour, reachable: true}},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			silence := serving.NewOwnerSilence(&pomelospring.Work{Deadline: start.Add(scenario.startTime)}, start)
			for _, c := range scenario.checks {
				now := start.Add(c.at)
				if c.output {
					silence.RecordOutput(now)
				}
				if got := silence.Exceeded(c.reachable, now); got != c.want {
					t.Errorf("after %v: gone is %t, want %t", c.at, got, c.want)
				}
			}
		})
	}
}
