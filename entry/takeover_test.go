package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/fleet"
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
	// misdirected says that the server lacks the call's adapter.
	misdirected bool
	chunks      []timedChunk
	// bodyErr ends the body in place of io.EOF.
	bodyErr error
	// length is the length that the head states; 0 if it states none.
	length int64
}

type timedChunk struct {
	after time.Duration
	text  string
}

// scriptedBackend plays a script for each attempt, chosen by the event to resume
// after, and keeps track of the attempts.
type scriptedBackend struct {
	choose func(attempt int, resumeAfter string) script
	// plainDeadline is the deadline of a call whose answer is no stream.
	plainDeadline time.Time

	mu       sync.Mutex
	attempts []*scriptedAttempt
}

type scriptedAttempt struct {
	server    string
	startedAt time.Time
	// reached is set once the call was sent, and executed if the server may have run
	// it.
	reached  bool
	executed bool
	// answered is when the first event of a usable stream arrived, or the whole of
	// another answer.
	answered time.Time
	// endedAt is when the attempt ended; canceled is set if the caller of the backend
	// ended it and not the server.
	endedAt  time.Time
	canceled bool
	open     bool
}

func (b *scriptedBackend) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// sleep waits for a time, and records that the attempt was canceled if its context
// ends before.
func (b *scriptedBackend) sleep(ctx context.Context, a *scriptedAttempt, d time.Duration) error {
	err := pomelospring.Sleep(ctx, d)
	if err != nil {
		b.update(func() { a.end(true) })
	}
	return err
}

func (b *scriptedBackend) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	a := &scriptedAttempt{server: dispatch.Server.ID, startedAt: time.Now()}
	var s script
	b.update(func() {
		s = b.choose(len(b.attempts), dispatch.ResumeAfter)
		b.attempts = append(b.attempts, a)
	})
	if err := b.sleep(ctx, a, s.connect); err != nil {
		return nil, errors.Join(pomelospring.ErrNotSent, err)
	}
	notSent := errors.Is(s.err, pomelospring.ErrNotSent)
	b.update(func() { a.reached, a.executed = !notSent, !notSent && !s.notRun })
	if err := b.sleep(ctx, a, s.head); err != nil {
		return nil, err
	}
	if s.err != nil {
		b.update(func() { a.end(false) })
		return nil, s.err
	}
	b.update(func() {
		a.open = true
		if s.status != http.StatusOK {
			a.end(false)
		}
	})
	answer := &pomelospring.BackendAnswer{
		Status: s.status,
		Header: http.Header{},
		Body:   &scriptedBody{ctx: ctx, backend: b, attempt: a, script: s, streaming: call.NeedsAdapter()},
		NotRun: s.notRun,
		Signed: true,
		Length: -1,

		Misdirected: s.misdirected,
	}
	if s.length > 0 {
		answer.Length = s.length
	}
	return answer, nil
}

type scriptedBody struct {
	ctx     context.Context
	backend *scriptedBackend
	attempt *scriptedAttempt
	script  script

	streaming bool
	read      string
}

// recordAnswer records when the first event, or the whole of another answer, arrived.
func (b *scriptedBody) recordAnswer(isWhole bool) {
	usable := b.script.status == http.StatusOK && (isWhole || b.streaming && strings.Contains(b.read, "\n\n"))
	if usable && b.attempt.answered.IsZero() {
		b.attempt.answered = time.Now()
	}
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	if len(b.script.chunks) == 0 {
		b.backend.update(func() {
			b.attempt.end(false)
			b.recordAnswer(b.script.bodyErr == nil)
		})
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
	b.read += string(p[:n])
	b.backend.update(func() { b.recordAnswer(false) })
	return n, nil
}

func (b *scriptedBody) Close() error {
	b.backend.update(func() {
		b.attempt.open = false
		b.attempt.end(true)
	})
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

// lengthResponder records the length that the caller was told.
type lengthResponder struct {
	responder
	length int64
}

func (r *lengthResponder) Head(answer *pomelospring.BackendAnswer, length int64) {
	r.length = length
	r.responder.Head(answer, length)
}

// TestResumedStreamIsNotBoundToTheLengthOfItsFirstServer guards against connections
// that were closed because the events of two servers had another length than stated.
func TestResumedStreamIsNotBoundToTheLengthOfItsFirstServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.Backend = inOrder(
			script{status: http.StatusOK, length: 1000, chunks: []timedChunk{{text: event1}}, bodyErr: io.ErrUnexpectedEOF},
			script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
		)
		out := &lengthResponder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(int64(-1), out.length); diff != "" {
			t.Errorf("stated length: %s", diff)
		}
	})
}

// TestBytesAfterTheLastEventAreForwarded guards against streams that reached their
// callers without the empty line at their end.
func TestBytesAfterTheLastEventAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.Backend = inOrder(script{status: http.StatusOK, chunks: []timedChunk{{text: events3}, {text: "\n"}}})
		out := &responder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3 + "\n"}, out.outcome); diff != "" {
			t.Error(diff)
		}
	})
}

// TestLogTellsALeavingCallerFromAServerThatWentOn guards against a log that names a
// silent server as sound because its call ended.
func TestLogTellsALeavingCallerFromAServerThatWentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		var lines bytes.Buffer
		service.Logger = &log.Logger{Handler: json.New(&lines)}
		silent := script{head: time.Hour}
		service.Backend = inOrder(silent, silent)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		service.Serve(ctx, streamCall(), &responder{})
		if text := lines.String(); !strings.Contains(text, `"reason":"the call has ended"`) || strings.Contains(text, "went on") {
			t.Error(text)
		}
	})
}

// TestBreakAtTheMomentOfATakeoverKeepsTheAttemptLimit guards against a takeover that
// began while its call was handed on and was not counted.
func TestBreakAtTheMomentOfATakeoverKeepsTheAttemptLimit(t *testing.T) {
	const calls, breakAfter = 2000, 1400 * time.Millisecond
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
				{after: 1500 * time.Millisecond, text: "id: 2\ndata: b\n\n"},
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

// TestSuccessorWhoseAnswerBreaksLeavesTheFirst guards against calls that lost a sound
// server because another one had sent the head of an answer that broke off.
func TestSuccessorWhoseAnswerBreaksLeavesTheFirst(t *testing.T) {
	scenarios := []struct {
		name    string
		call    *pomelospring.Call
		scripts []script
		want    string
	}{
		{
			name: "a lookup",
			call: lookupCall(),
			scripts: []script{
				{head: 3 * time.Second, status: http.StatusOK, chunks: []timedChunk{{text: "done"}}},
				{status: http.StatusOK, chunks: []timedChunk{{after: 300 * time.Millisecond, text: "do"}}, bodyErr: io.ErrUnexpectedEOF},
			},
			want: "done",
		},
		{
			name: "a stream, before an event",
			call: streamCall(),
			scripts: []script{
				{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: 1900 * time.Millisecond, text: rest}}},
				{status: http.StatusOK, chunks: []timedChunk{{after: 300 * time.Millisecond, text: "id: 2"}}, bodyErr: io.ErrUnexpectedEOF},
			},
			want: events3,
		},
		{
			name: "a stream that stays without an event",
			call: streamCall(),
			scripts: []script{
				{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: 1900 * time.Millisecond, text: rest}}},
				{status: http.StatusOK, chunks: []timedChunk{{after: time.Hour, text: rest}}},
			},
			want: events3,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(nil, false)
				service.Backend = inOrder(scenario.scripts...)
				scenario.call.Arrived = time.Now()
				out := &responder{}
				service.Serve(t.Context(), scenario.call, out)
				if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: scenario.want}, out.outcome); diff != "" {
					t.Error(diff)
				}
				synctest.Wait()
			})
		})
	}
}

// TestTakeoverTellsTheLeaderWhichServerLacksTheAdapter guards against a placement of
// the adapter on further workers because a load was late on the one that was asked.
func TestTakeoverTellsTheLeaderWhichServerLacksTheAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		leader := &lateLoadLeader{board: service.Board}
		service.Coordinator = leader
		backend := inOrder(
			script{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: time.Hour, text: rest}}},
			script{status: http.StatusMisdirectedRequest, notRun: true, misdirected: true},
			script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
		)
		service.Backend = backend
		out := &responder{}
		service.Serve(t.Context(), streamCall(), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
		silent, late := backend.attempts[0].server, backend.attempts[1].server
		if diff := cmp.Diff([]string{silent}, leader.request.Avoid); diff != "" {
			t.Errorf("servers to avoid: %s", diff)
		}
		if diff := cmp.Diff([]string{late}, leader.request.Missing); diff != "" {
			t.Errorf("servers without the adapter: %s", diff)
		}
	})
}

// lateLoadLeader places the adapter on the server that lacks it, where its load ends
// soon, if it is told.
type lateLoadLeader struct {
	pomelospring.Coordinator
	board   *fleet.Board
	request pomelospring.PlacementRequest
}

func (l *lateLoadLeader) Place(_ context.Context, request pomelospring.PlacementRequest) (pomelospring.PlacementOutcome, error) {
	l.request = request
	if len(request.Missing) == 0 {
		return pomelospring.PlacementOutcome{Reason: "all slots in use"}, nil
	}
	l.board.AddResident(request.Missing[0], request.Adapter, 1)
	return pomelospring.PlacementOutcome{Server: request.Missing[0], Version: 1}, nil
}

// byAdapter has a backend for the calls of each adapter.
type byAdapter map[string]pomelospring.Backend

func (b byAdapter) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	return b[call.Adapter].Send(ctx, call, dispatch)
}

// TestSilentCallWithoutAnotherServerHoldsNoRetry guards against calls that waited at
// silent servers with the retries that others needed.
func TestSilentCallWithoutAnotherServerHoldsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(nil, false)
		service.RetrySlack = 1
		service.Board.AddResident("a", "m/y", 1)
		service.Coordinator = &coordinator{board: service.Board, none: true}
		service.Backend = byAdapter{
			"m/x": inOrder(
				script{head: 1500 * time.Millisecond, status: http.StatusOK, chunks: []timedChunk{{text: event1}}, bodyErr: io.ErrUnexpectedEOF},
				script{status: http.StatusOK, chunks: []timedChunk{{text: rest}}},
			),
			"m/y": inOrder(script{status: http.StatusOK, chunks: []timedChunk{{text: event1}, {after: 1900 * time.Millisecond, text: rest}}}),
		}
		silent, broken := &responder{}, &responder{}
		var group sync.WaitGroup
		group.Go(func() {
			call := streamCall()
			call.Adapter = "m/y"
			service.Serve(t.Context(), call, silent)
		})
		group.Go(func() { service.Serve(t.Context(), streamCall(), broken) })
		group.Wait()
		for _, out := range []*responder{silent, broken} {
			if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
				t.Error(diff)
			}
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

// end records the end of the attempt, once. The caller holds the lock.
func (a *scriptedAttempt) end(canceled bool) {
	if a.endedAt.IsZero() {
		a.endedAt, a.canceled = time.Now(), canceled
	}
}

// alive counts the attempts that could still go on.
func (b *scriptedBackend) alive() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.attempts {
		if a.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// randomScript draws a script for an attempt that resumes after an event of a stream
// of some length, or that gets a plain answer if there are no events.
func randomScript(r *rand.Rand, resumeAfter string, length int, longestPause time.Duration) script {
	s := script{connect: randomPause(r, 50*time.Millisecond), head: randomPause(r, longestPause), status: http.StatusOK}
	switch r.IntN(12) {
	case 0:
		s.err = errors.Join(pomelospring.ErrNotSent, errors.New("refused"))
	case 1:
		s.err = errors.New("connection reset")
	case 2:
		s.status, s.notRun = http.StatusServiceUnavailable, true
	case 3:
		s.status = http.StatusInternalServerError
		s.chunks = []timedChunk{{after: randomPause(r, time.Second), text: "no"}}
		return s
	case 4, 5:
		s.bodyErr = io.ErrUnexpectedEOF
	}
	last, _ := strconv.Atoi(resumeAfter)
	text := answer(length)
	if last > 0 {
		text = strings.TrimPrefix(text, answer(last))
	}
	if s.bodyErr != nil {
		text = text[:r.IntN(len(text)+1)]
	}
	for text != "" {
		n := min(len(text), 1+r.IntN(40))
		s.chunks = append(s.chunks, timedChunk{after: randomPause(r, longestPause), text: text[:n]})
		text = text[n:]
	}
	return s
}

// randomPause is mostly short and sometimes up to longest.
func randomPause(r *rand.Rand, longest time.Duration) time.Duration {
	if r.IntN(5) == 0 {
		return time.Duration(r.Int64N(int64(longest)))
	}
	return time.Duration(r.Int64N(int64(longest)/100 + 1))
}

// answer returns the whole answer of a stream with some events, or a plain answer.
func answer(events int) (text string) {
	for id := 1; id <= events; id++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id*id)
	}
	if events == 0 {
		return "done"
	}
	return text
}

// slowResponder is a caller that takes its time for some events, and records how many
// attempts could still go on when its call ended without a complete answer.
type slowResponder struct {
	responder
	random  *rand.Rand
	backend *scriptedBackend
	// aliveAtEnd and endedAt are recorded at the end of a call that failed.
	aliveAtEnd int
	endedAt    time.Time
}

func (r *slowResponder) Write(chunk []byte) error {
	time.Sleep(randomPause(r.random, time.Second))
	return r.responder.Write(chunk)
}

func (r *slowResponder) recordEnd() {
	r.aliveAtEnd, r.endedAt = r.backend.alive(), time.Now()
}

func (r *slowResponder) Refuse(refusal *pomelospring.Refusal) {
	r.recordEnd()
	r.responder.Refuse(refusal)
}

func (r *slowResponder) Abort() {
	r.recordEnd()
	r.responder.Abort()
}

// TestRandomSilencesRejectionsAndBreaks plays calls against servers that pause,
// reject, fail and break off at random.
func TestRandomSilencesRejectionsAndBreaks(t *testing.T) {
	const seeds = 2000
	whole := 0
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if playRandomCall(t, seed, randomPlay{timeout: 4 * time.Second, longestPause: 3 * time.Second}) {
					whole++
				}
			})
		})
	}
	if whole == 0 {
		t.Error("no call got a whole answer")
	}
}

// TestRandomSilencesOfTakeovers plays calls with time enough for a third server when
// the first two are silent.
func TestRandomSilencesOfTakeovers(t *testing.T) {
	play := randomPlay{timeout: 15 * time.Second, longestPause: 12 * time.Second, adapterOnThird: true}
	for seed := range uint64(2000) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomCall(t, seed, play) })
		})
	}
}

// randomPlay is the timeout of the routes, the longest pause of the servers, and whether
// a third one has the adapter.
type randomPlay struct {
	timeout        time.Duration
	longestPause   time.Duration
	adapterOnThird bool
}

// newService returns a service with a policy.
func (p randomPlay) newService(policy *pomelospring.Policy) *entry.Service {
	service := newService(nil, false)
	service.Board.SetPolicy(policy)
	if p.adapterOnThird {
		service.Board.AddResident("c", "m/x", 1)
	}
	return service
}

// playRandomCall plays the call of a seed and reports whether its caller got a whole
// answer.
func playRandomCall(t *testing.T, seed uint64, play randomPlay) (isWhole bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	scripts := rand.New(rand.NewPCG(seed, 1))
	changed := policy()
	changed.Version = 2
	attempts := 1 + random.IntN(3)
	for i := range changed.Routes {
		changed.Routes[i].Attempts = attempts
		changed.Routes[i].Timeout = play.timeout
	}
	call, length := lookupCall(), 0
	if random.IntN(4) > 0 {
		call, length = streamCall(), 1+random.IntN(12)
	}
	backend := &scriptedBackend{choose: func(_ int, resumeAfter string) script {
		return randomScript(scripts, resumeAfter, length, play.longestPause)
	}}
	if length == 0 {
		backend.plainDeadline = call.Arrived.Add(play.timeout)
	}
	service := play.newService(changed)
	service.Backend = backend
	retries := random.IntN(4)
	service.RetrySlack = float64(retries)
	out := &slowResponder{random: random, backend: backend}
	leavesAt := call.Arrived.Add(changed.Routes[0].Timeout)
	if random.IntN(8) == 0 {
		leavesAt = call.Arrived.Add(randomPause(random, 4*time.Second))
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	defer time.AfterFunc(time.Until(leavesAt), leave).Stop()
	service.Serve(ctx, call, out)
	synctest.Wait()

	text := answer(length)
	got := out.outcome
	isWhole = got.Status == http.StatusOK && !got.Aborted && got.Code == ""
	if isWhole && got.Body != text || got.Status == http.StatusOK && !strings.HasPrefix(text, got.Body) {
		t.Errorf("the caller of %d events got %q", length, got.Body)
	}
	if out.endedAt.Before(leavesAt) && out.aliveAtEnd > 0 {
		t.Errorf("the call ended with %+v while %d attempts could go on", got, out.aliveAtEnd)
	}
	backend.check(t, attempts, retries, leavesAt)
	for server, load := range service.Board.ServerLoads("north") {
		if load.Running != 0 || load.WaitingTokens != 0 {
			t.Errorf("after the call server %s has the load %+v", server, load)
		}
	}
	return isWhole
}

// check checks the attempts of a call that has ended, and whose caller left at a time
// unless the call ended before.
func (b *scriptedBackend) check(t *testing.T, allowed, retries int, leftAt time.Time) {
	t.Helper()
	reached, executed := 0, 0
	for i, a := range b.attempts {
		if a.reached {
			reached++
		}
		if a.executed {
			executed++
		}
		if a.open {
			t.Errorf("the body of attempt %d was not closed", i)
		}
		if a.canceled && a.endedAt.Before(leftAt) && !b.answeredBefore(a) && !b.wasReplacedWhenSilent(i) {
			t.Errorf("attempt %d was canceled before another one had answered", i)
		}
		if b.worksBesideSuccessor(i) {
			t.Errorf("attempt %d went on beside a later one that had answered", i)
		}
		if a.endedAt.IsZero() {
			t.Errorf("attempt %d was neither read to its end nor canceled", i)
		}
	}
	if executed > allowed {
		t.Errorf("%d runs where the route allows %d", executed, allowed)
	}
	if reached-1 > retries {
		t.Errorf("%d servers were reached with a budget of %d retries", reached, retries)
	}
}

// answeredBefore reports whether another attempt had answered when a was canceled.
func (b *scriptedBackend) answeredBefore(a *scriptedAttempt) bool {
	return slices.ContainsFunc(b.attempts, func(other *scriptedAttempt) bool {
		return other != a && !other.answered.IsZero() && !other.answered.After(a.endedAt)
	})
}

// wasReplacedWhenSilent reports whether an attempt was a takeover that sent nothing
// for the first-event timeout, or no whole answer for 0.45 of the time left, and was
// ended for another one at that moment.
func (b *scriptedBackend) wasReplacedWhenSilent(attempt int) bool {
	a := b.attempts[attempt]
	limit := 2500 * time.Millisecond
	if !b.plainDeadline.IsZero() {
		limit = time.Duration(0.45 * float64(b.plainDeadline.Sub(a.startedAt)))
	}
	if attempt == 0 || !a.answered.IsZero() || a.endedAt.Sub(a.startedAt) < limit {
		return false
	}
	return slices.ContainsFunc(b.attempts[attempt+1:], func(later *scriptedAttempt) bool {
		return later.startedAt.Equal(a.endedAt)
	})
}

// worksBesideSuccessor reports whether an attempt went on for more than 400 ms after a
// later one had answered, and while that one did too.
func (b *scriptedBackend) worksBesideSuccessor(attempt int) bool {
	a := b.attempts[attempt]
	return slices.ContainsFunc(b.attempts[attempt+1:], func(later *scriptedAttempt) bool {
		limit := later.answered.Add(400 * time.Millisecond)
		return !later.answered.IsZero() && a.endedAt.After(limit) && later.endedAt.After(limit)
	})
}
