package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/relay"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

var errRefused = fmt.Errorf("%w: connection refused", pomelospring.ErrNotSent)

// server is a backend server, as the instances that reach it see it.
type server struct {
	calls atomic.Int32
	// send answers a call; over the own path of an instance.
	send func(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error)
}

func (s *server) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	s.calls.Add(1)
	return s.send(ctx, call, dispatch)
}

// unreachable is a server to which an instance can't connect.
type unreachable struct{ calls atomic.Int32 }

func (u *unreachable) Send(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	u.calls.Add(1)
	return nil, errRefused
}

// brokenBody ends with an error after its text.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (n int, err error) {
	n, err = b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func answer(body io.Reader) *pomelospring.BackendAnswer {
	return &pomelospring.BackendAnswer{
		Status:             http.StatusOK,
		Header:             http.Header{"X-Kind": []string{"a", "b"}},
		Body:               io.NopCloser(body),
		Signed:             true,
		Length:             -1,
		EndsWithConnection: true,
	}
}

// memory grants calls memory, unless it is taken.
type memory struct {
	taken atomic.Bool
	held  atomic.Int64
}

func (m *memory) Reserve(bytes int64) bool {
	if m.taken.Load() {
		return false
	}
	m.held.Add(bytes)
	return true
}

func (m *memory) Release(bytes int64) { m.held.Add(-bytes) }

// instance is an instance that can relay.
type instance struct {
	board    *fleet.Board
	server   *relay.Server
	address  string
	stopping atomic.Bool
	memory   memory
	// conns are the connections that it accepted.
	mu    sync.Mutex
	conns []net.Conn
}

func (i *instance) Accept(listener net.Listener) (net.Conn, error) {
	conn, err := listener.Accept()
	if err == nil {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.conns = append(i.conns, conn)
	}
	return conn, err
}

type recordingListener struct {
	net.Listener
	instance *instance
}

func (l *recordingListener) Accept() (net.Conn, error) { return l.instance.Accept(l.Listener) }

// kill closes all connections of the instance.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, conn := range i.conns {
		_ = conn.Close()
	}
}

func newBoard(target pomelospring.FleetServer) *fleet.Board {
	board := fleet.NewBoard("north")
	board.SetServers(map[string]pomelospring.FleetServer{target.ID: target}, time.Now())
	return board
}

func notices(board *fleet.Board) fleet.Notices {
	return fleet.Notices{Board: board, Logger: &log.Logger{Handler: discard.New()}, Clock: time.Now}
}

func startInstance(t *testing.T, target pomelospring.FleetServer, direct pomelospring.Backend) *instance {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	i := &instance{board: newBoard(target)}
	i.server = &relay.Server{
		Board:    i.board,
		Direct:   &relay.Backend{Direct: direct, Paths: &relay.Paths{Board: i.board, Logger: logger, Clock: time.Now}},
		Notices:  notices(i.board),
		Stopping: i.stopping.Load,
		Memory:   &i.memory,
		Logger:   logger,
		Clock:    time.Now,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i.address = listener.Addr().String()
	mux := drpcmux.New()
	if err = coordinationpb.DRPCRegisterRelay(mux, i.server); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, &recordingListener{Listener: listener, instance: i})
	}()
	t.Cleanup(func() {
		cancel()
		i.kill()
		<-done
		if held := i.memory.held.Load(); held != 0 {
			t.Errorf("%d bytes are held at the end", held)
		}
	})
	return i
}

// entry is an instance at which calls come in.
type entry struct {
	*relay.Backend
	board  *fleet.Board
	direct *unreachable
}

func newEntry(t *testing.T, target pomelospring.FleetServer, relays ...string) *entry {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	e := &entry{board: newBoard(target), direct: &unreachable{}}
	client := &relay.Client{
		Instance: "entry",
		Address:  "entry",
		Peers:    peer.NewClient(nil),
		Board:    e.board,
		Notices:  notices(e.board),
		Leaders:  func() []string { return nil },
		Logger:   logger,
		Clock:    time.Now,
	}
	t.Cleanup(func() { _ = client.Peers.Close() })
	client.SetRelays(relays)
	e.Backend = &relay.Backend{
		Direct: e.direct,
		Paths:  &relay.Paths{Board: e.board, Logger: logger, Clock: time.Now},
		Relays: client,
	}
	return e
}

func newTarget() pomelospring.FleetServer {
	return pomelospring.FleetServer{ID: "i-1", Service: "app", Domain: "north", Started: time.UnixMilli(1_000_000)}
}

func newCall(body string) *pomelospring.Call {
	return &pomelospring.Call{ID: "c-1", Method: http.MethodPost, Target: "/order/1?x=%2F", Host: "shop.example", Header: http.Header{"X-More": []string{"1"}}, Body: []byte(body)}
}

func dispatchTo(target pomelospring.FleetServer) pomelospring.Dispatch {
	return pomelospring.Dispatch{Server: target, Team: "shop", Priority: 3, AdapterVersion: 7, ResumeAfter: "12", Deadline: time.Now().Add(5 * time.Second), FreshConnection: true}
}

func TestACallIsSentUnchangedThroughAnotherInstance(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 32<<10 + 1, 5 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			target := newTarget()
			var got *pomelospring.Call
			var gotDispatch pomelospring.Dispatch
			text := strings.Repeat("x", size)
			s := &server{send: func(_ context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				got, gotDispatch = call, dispatch
				return answer(strings.NewReader(text)), nil
			}}
			e := newEntry(t, target, startInstance(t, target, s).address)
			call, dispatch := newCall(text), dispatchTo(target)
			reply, err := e.Send(context.Background(), call, dispatch)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(reply.Body)
			_ = reply.Body.Close()
			if err != nil || string(body) != text {
				t.Errorf("%d bytes of the answer, error %v", len(body), err)
			}
			want := answer(nil)
			want.Body, reply.Body = nil, nil
			if diff := cmp.Diff(want, reply); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if !bytes.Equal(call.Body, got.Body) {
				t.Errorf("%d bytes of the call, want the same %d", len(got.Body), len(call.Body))
			}
			call.Body, got.Body = nil, nil
			if diff := cmp.Diff(call, got); diff != "" {
				t.Errorf("call (-want +got):\n%s", diff)
			}
			if late := dispatch.Deadline.Sub(gotDispatch.Deadline).Abs(); late > 100*time.Millisecond {
				t.Errorf("the deadline differs by %s", late)
			}
			gotDispatch.Deadline = dispatch.Deadline
			if diff := cmp.Diff(dispatch, gotDispatch); diff != "" {
				t.Errorf("dispatch (-want +got):\n%s", diff)
			}
		})
	}
}

// coldPolicy has a service whose servers may be cold.
var coldPolicy = &pomelospring.Policy{
	Version:  1,
	Services: map[string]pomelospring.Service{"app": {ColdFor: time.Second, ColdPerSecond: 5}},
}

func TestACallThatIsNotSentThroughAnInstanceReachesNoServer(t *testing.T) {
	scenarios := []struct {
		name string
		// prepare changes the relaying instance.
		prepare func(i *instance, target pomelospring.FleetServer)
		// noted checks what the calling instance has learned.
		noted func(e *entry) bool
	}{
		{name: "it has no memory for it", prepare: func(i *instance, _ pomelospring.FleetServer) { i.memory.taken.Store(true) }},
		{name: "it stops", prepare: func(i *instance, _ pomelospring.FleetServer) { i.stopping.Store(true) }},
		{name: "it can't connect either", prepare: func(i *instance, target pomelospring.FleetServer) { i.board.RecordPathFailure(target, time.Now()) }, noted: func(e *entry) bool {
			return e.board.UnreachableElsewhere("i-1", time.Now())
		}},
		{name: "it lists another start", prepare: func(i *instance, target pomelospring.FleetServer) {
			target.Started = target.Started.Add(time.Second)
			i.board.SetServers(map[string]pomelospring.FleetServer{target.ID: target}, time.Now())
		}},
		{name: "it doesn't list the server", prepare: func(i *instance, _ pomelospring.FleetServer) {
			i.board.SetServers(map[string]pomelospring.FleetServer{}, time.Now())
		}},
		{name: "the server leaves", prepare: func(i *instance, target pomelospring.FleetServer) {
			i.board.RecordLeaving(fleet.LeavingServer{ID: target.ID, Started: target.Started}, time.Now())
		}},
		{name: "the server's failure domain is evacuated", prepare: func(i *instance, _ pomelospring.FleetServer) {
			i.board.SetEvacuated("north", true)
		}, noted: func(e *entry) bool { return !e.board.UnreachableElsewhere("i-1", time.Now()) }},
		{name: "the server paused it", prepare: func(i *instance, target pomelospring.FleetServer) {
			i.board.RecordPause(target.ID, time.Now().Add(time.Minute), time.Now())
		}, noted: func(e *entry) bool { return len(e.board.Pauses(time.Now())) == 1 }},
		{name: "the server names a limit to it", prepare: func(i *instance, target pomelospring.FleetServer) {
			i.board.RecordLimit(fleet.ServerLimit{Server: target.ID, Started: target.Started, PerSecond: 5, At: time.Now()}, time.Now())
		}, noted: func(e *entry) bool { return e.board.LimitOf("i-1") == 5 }},
		{name: "the server is cold, as it knows alone", prepare: func(i *instance, target pomelospring.FleetServer) {
			i.board.SetPolicy(coldPolicy)
			i.board.RecordCold(target.ID, target.Started, time.Now().Add(time.Minute), time.Now())
		}, noted: func(e *entry) bool {
			e.board.SetPolicy(coldPolicy)
			return e.board.BoundOf("i-1", time.Now()).ColdPerSecond == 5
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			target := newTarget()
			s := &server{send: func(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				return answer(strings.NewReader("")), nil
			}}
			i := startInstance(t, target, s)
			scenario.prepare(i, target)
			e := newEntry(t, target, i.address)
			_, err := e.Send(context.Background(), newCall("x"), dispatchTo(target))
			if !errors.Is(err, pomelospring.ErrNotSent) {
				t.Errorf("error %v, want one that says that the call was not sent", err)
			}
			if s.calls.Load() != 0 {
				t.Errorf("%d calls reached the server", s.calls.Load())
			}
			if scenario.noted != nil && !scenario.noted(e) {
				t.Error("the calling instance has not learned why")
			}
		})
	}
}

func TestAnAnswerCutBetweenInstancesIsNotWhole(t *testing.T) {
	scenarios := []struct {
		name string
		send func(i *instance, ctx context.Context) (*pomelospring.BackendAnswer, error)
		// notSent says that the error must say that the call was not sent.
		notSent bool
	}{
		{name: "the server breaks off its body", send: func(*instance, context.Context) (*pomelospring.BackendAnswer, error) {
			return answer(brokenBody{strings.NewReader("half")}), nil
		}},
		{name: "the relaying instance ends before the head", send: func(i *instance, ctx context.Context) (*pomelospring.BackendAnswer, error) {
			i.kill()
			<-ctx.Done()
			return nil, ctx.Err()
		}},
		{name: "the relaying instance ends inside the body", send: func(i *instance, ctx context.Context) (*pomelospring.BackendAnswer, error) {
			reader, writer := io.Pipe()
			go func() {
				_, _ = writer.Write([]byte("half"))
				time.Sleep(50 * time.Millisecond)
				i.kill()
				<-ctx.Done()
				_ = writer.CloseWithError(ctx.Err())
			}()
			return answer(reader), nil
		}},
		{name: "the server breaks the connection before its head", send: func(*instance, context.Context) (*pomelospring.BackendAnswer, error) {
			return nil, io.ErrUnexpectedEOF
		}},
		{name: "the relaying instance can't connect", notSent: true, send: func(*instance, context.Context) (*pomelospring.BackendAnswer, error) {
			return nil, errRefused
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			target := newTarget()
			var i *instance
			s := &server{}
			s.send = func(ctx context.Context, _ *pomelospring.Call, _ pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				return scenario.send(i, ctx)
			}
			i = startInstance(t, target, s)
			e := newEntry(t, target, i.address)
			reply, err := e.Send(context.Background(), newCall("x"), dispatchTo(target))
			if err == nil {
				_, err = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			}
			if err == nil {
				t.Error("the answer counts as whole")
			}
			if errors.Is(err, pomelospring.ErrNotSent) != scenario.notSent {
				t.Errorf("error %v; says that it was not sent: %t, want %t", err, !scenario.notSent, scenario.notSent)
			}
			if s.calls.Load() != 1 {
				t.Errorf("%d calls reached the server", s.calls.Load())
			}
		})
	}
}

func TestACallGoesToTheNextInstanceOnlyIfItWasNotSent(t *testing.T) {
	target := newTarget()
	sound := &server{send: func(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
		return answer(strings.NewReader("")), nil
	}}
	scenarios := []struct {
		name  string
		first func(ctx context.Context) error
		sends int32
	}{
		{name: "not sent", first: func(context.Context) error { return errRefused }, sends: 1},
		{name: "may have run", first: func(context.Context) error { return io.ErrUnexpectedEOF }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			sound.calls.Store(0)
			failing := &server{send: func(ctx context.Context, _ *pomelospring.Call, _ pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				return nil, scenario.first(ctx)
			}}
			e := newEntry(t, target, startInstance(t, target, failing).address, startInstance(t, target, sound).address)
			for range 20 {
				sound.calls.Store(0)
				failing.calls.Store(0)
				reply, err := e.Send(context.Background(), newCall("x"), dispatchTo(target))
				if err == nil {
					_ = reply.Body.Close()
				}
				if failing.calls.Load() == 0 {
					continue
				}
				if sound.calls.Load() != scenario.sends {
					t.Errorf("%d sends after the first, want %d", sound.calls.Load(), scenario.sends)
				}
				return
			}
			t.Error("the failing instance was not asked")
		})
	}
}

func TestACallerThatLeavesEndsTheWorkThroughAnotherInstance(t *testing.T) {
	const leftWithin = 500 * time.Millisecond
	for _, hasHead := range []bool{false, true} {
		t.Run(fmt.Sprint("head ", hasHead), func(t *testing.T) {
			target := newTarget()
			left := make(chan time.Time, 1)
			s := &server{send: func(ctx context.Context, _ *pomelospring.Call, _ pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				if !hasHead {
					<-ctx.Done()
					left <- time.Now()
					return nil, ctx.Err()
				}
				reader, writer := io.Pipe()
				go func() {
					<-ctx.Done()
					left <- time.Now()
					_ = writer.CloseWithError(ctx.Err())
				}()
				return answer(reader), nil
			}}
			e := newEntry(t, target, startInstance(t, target, s).address)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			reply, err := e.Send(ctx, newCall("x"), dispatchTo(target))
			if err == nil {
				_, _ = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			}
			canceledAt := time.Now()
			select {
			case at := <-left:
				if at.Sub(canceledAt) > leftWithin {
					t.Errorf("the work went on for %s", at.Sub(canceledAt))
				}
			case <-time.After(2 * leftWithin):
				t.Error("the work goes on")
			}
		})
	}
}

func TestARelayedCallIsNotRelayedAgain(t *testing.T) {
	target := newTarget()
	first, second := &unreachable{}, &unreachable{}
	a, b := startInstance(t, target, first), startInstance(t, target, second)
	e := newEntry(t, target, a.address, b.address)
	for range 10 {
		_, err := e.Send(context.Background(), newCall("x"), dispatchTo(target))
		if !errors.Is(err, pomelospring.ErrNotSent) {
			t.Fatal(err)
		}
	}
	if first.calls.Load() > 1 || second.calls.Load() > 1 {
		t.Errorf("%d and %d attempts at a server that nobody reaches, want one each", first.calls.Load(), second.calls.Load())
	}
}
