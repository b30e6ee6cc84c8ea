package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
)

// script is what a server does with one attempt: it takes some time to connect, then
// for the head of its answer, and sends the chunks of the body, each after a time.
type script struct {
	connect time.Duration
	head    time.Duration
	// err is returned in place of the head.
	err    error
	status int
	notRun bool
	chunks []timedChunk
	// bodyErr ends the body in place of io.EOF.
	bodyErr error
}

type timedChunk struct {
	after time.Duration
	text  string
}

// scriptedBackend plays a script for each attempt, chosen by the event to resume
// after, and keeps track of the attempts.
type scriptedBackend struct {
	choose func(attempt int, resumeAfter string) script

	mu       sync.Mutex
	attempts []*scriptedAttempt
}

type scriptedAttempt struct {
	server string
	// executed is set once the server may have run the call.
	executed bool
	// answered is when the head of a usable answer arrived.
	answered time.Time
	// ended is set once the server has ended the attempt; canceledAt is when the
	// caller of the backend ended it before that.
	ended      bool
	canceledAt time.Time
	open       bool
}

func (b *scriptedBackend) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// sleep waits for a time, and records that the attempt was canceled if its context
// ends before.
func (b *scriptedBackend) sleep(ctx context.Context, a *scriptedAttempt, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		b.update(func() {
			if a.canceledAt.IsZero() {
				a.canceledAt = time.Now()
			}
		})
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (b *scriptedBackend) Send(ctx context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	a := &scriptedAttempt{server: dispatch.Server.ID}
	var s script
	b.update(func() {
		s = b.choose(len(b.attempts), dispatch.ResumeAfter)
		b.attempts = append(b.attempts, a)
	})
	if err := b.sleep(ctx, a, s.connect); err != nil {
		return nil, errors.Join(pomelospring.ErrNotSent, err)
	}
	notSent := errors.Is(s.err, pomelospring.ErrNotSent)
	b.update(func() { a.executed = !notSent && !s.notRun })
	if err := b.sleep(ctx, a, s.head); err != nil {
		return nil, err
	}
	if s.err != nil {
		b.update(func() { a.ended = true })
		return nil, s.err
	}
	b.update(func() {
		a.open = true
		a.ended = s.notRun
		if s.status == http.StatusOK {
			a.answered = time.Now()
		}
	})
	return &pomelospring.BackendAnswer{
		Status: s.status,
		Header: http.Header{},
		Body:   &scriptedBody{ctx: ctx, backend: b, attempt: a, script: s},
		NotRun: s.notRun,
		Signed: true,
		Length: -1,
	}, nil
}

type scriptedBody struct {
	ctx     context.Context
	backend *scriptedBackend
	attempt *scriptedAttempt
	script  script
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	if len(b.script.chunks) == 0 {
		b.backend.update(func() { b.attempt.ended = true })
		if b.script.bodyErr != nil {
			return 0, b.script.bodyErr
		}
		return 0, io.EOF
	}
	chunk := &b.script.chunks[0]
	if err := b.backend.sleep(b.ctx, b.attempt, chunk.after); err != nil {
		return 0, err
	}
	n := copy(p, chunk.text)
	chunk.after, chunk.text = 0, chunk.text[n:]
	if chunk.text == "" {
		b.script.chunks = b.script.chunks[1:]
	}
	return n, nil
}

func (b *scriptedBody) Close() error {
	b.backend.update(func() { b.attempt.open = false })
	return nil
}

// inOrder plays scripts in order.
func inOrder(scripts ...script) *scriptedBackend {
	return &scriptedBackend{choose: func(attempt int, _ string) script {
		if attempt >= len(scripts) {
			return script{err: errors.New("more attempts than scripts")}
		}
		return scripts[attempt]
	}}
}

func streamCall() *pomelospring.Call {
	return &pomelospring.Call{ID: "r1", Host: "shop.example", Path: "/proof/1", Key: key, Adapter: "m/x", PromptTokens: 1000, Arrived: time.Now()}
}

func lookupCall() *pomelospring.Call {
	return &pomelospring.Call{ID: "r1", Host: "shop.example", Path: "/lookup/1", Key: key, Arrived: time.Now()}
}

var (
	event1 = "id: 1\ndata: a\n\n"
	rest   = strings.TrimPrefix(events3, event1)
)

// TestBreakAtTheMomentOfATakeoverKeepsTheAttemptLimit guards against a takeover that
// began while its call was handed on and was not counted.
func TestBreakAtTheMomentOfATakeoverKeepsTheAttemptLimit(t *testing.T) {
	const calls, breakAfter = 2000, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		for call := range calls {
			service := newService(nil, false)
			backend := inOrder(
				script{status: http.StatusOK, chunks: []timedChunk{
					{text: event1},
					{after: breakAfter, text: "id: 2"},
				}, bodyErr: io.ErrUnexpectedEOF},
				script{head: time.Millisecond, status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
				script{head: time.Millisecond, status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
			)
			service.Backend = backend
			began := time.Now()
			var arrived atomic.Int32
			// The clock lets the break and the watchdog go on together, one of them
			// later by a little more with each call.
			service.Clock = func() time.Time {
				now := time.Now()
				if now.Sub(began) == breakAfter {
					first := arrived.Add(1) == 1
					for spins := 0; spins < 1000 && arrived.Load() < 2; spins++ {
						runtime.Gosched()
					}
					for spins := 0; first && spins < call; spins++ {
						arrived.Load()
					}
				}
				return now
			}
			service.Serve(t.Context(), streamCall(), &responder{})
			synctest.Wait()
			if len(backend.attempts) > 2 {
				t.Fatalf("call %d: %d attempts where the route allows 2", call, len(backend.attempts))
			}
		}
	})
}

// TestPauseWithoutASecondRunKeepsTheRetryBudget guards against retries that were
// taken for a takeover which sent nothing and never came back.
func TestPauseWithoutASecondRunKeepsTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.RetrySlack = 1
		service.Board.SetResidency("north", map[string]pomelospring.Residency{
			"a": {Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}},
		}, true, 2)
		service.Coordinator = &coordinator{board: service.Board, none: true}
		service.Backend = inOrder(script{status: http.StatusOK, chunks: []timedChunk{
			{text: event1},
			{after: 1900 * time.Millisecond, text: rest},
		}})
		out := &responder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
		service.Board.SetResidency("north", map[string]pomelospring.Residency{
			"b": {Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}},
		}, false, 3)
		service.Backend = inOrder(
			script{status: http.StatusOK, chunks: []timedChunk{{text: event1}}, bodyErr: io.ErrUnexpectedEOF},
			script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
		)
		out = &responder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCanceledTakeoverLeavesItsServerForARetry guards against a server that got no
// further call because the takeover to it was canceled before it was sent.
func TestCanceledTakeoverLeavesItsServerForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.Coordinator = &coordinator{board: service.Board, none: true}
		service.Backend = inOrder(
			script{status: http.StatusOK, chunks: []timedChunk{
				{text: event1},
				{after: 1300 * time.Millisecond, text: "id: 2\ndata: b\n\n"},
				{after: 100 * time.Millisecond, text: "id: 3"},
			}, bodyErr: io.ErrUnexpectedEOF},
			script{connect: 250 * time.Millisecond, status: http.StatusOK},
			script{status: http.StatusOK, chunks: []timedChunk{{text: "id: 3\ndata: c\n\n"}}},
		)
		out := &responder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFailedAnswerLeavesTheTakeoverAtWork guards against a failure of the silent
// server that ended the run of the server which was about to answer.
func TestFailedAnswerLeavesTheTakeoverAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.Backend = inOrder(
			script{head: 2 * time.Second, status: http.StatusInternalServerError, chunks: []timedChunk{{text: "no"}}},
			script{head: 500 * time.Millisecond, status: http.StatusOK, chunks: []timedChunk{{text: "done"}}},
		)
		out := &responder{}
		service.Serve(t.Context(), lookupCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: "done"}, out.outcome); diff != "" {
			t.Error(diff)
		}
	})
}
