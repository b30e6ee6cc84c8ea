package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// bodyLimit bounds the answer of a plain service that is held until it is
	// whole, in bytes.
	bodyLimit = 8 << 20
	// readSize is how much of a stream is read at once, in bytes.
	readSize = 4 << 10
	// streamSilence is the pause between events after which a stream is
	// resumed elsewhere; callers leave after two seconds.
	streamSilence = 1100 * time.Millisecond
	// firstSilence is the same for the first event, which may wait in the
	// engine's queue.
	firstSilence = 2500 * time.Millisecond
	// watchEvery is how often a try looks whether its server's failure domain
	// was cut off meanwhile.
	watchEvery = 400 * time.Millisecond
)

// try is one send of a call.
type try struct {
	session *session
	server  pomelospring.FleetServer
	// waiting is the part of the prompt that has no output yet.
	waiting int64
	ended   bool

	mu    sync.Mutex
	timer *time.Timer
	// stopped says that the watch has ended.
	stopped bool
	// silentUntil is when the try is given up unless something of its answer
	// comes.
	silentUntil time.Time
}

// watch cancels a repeatable try that gives no sign for too long, or whose
// server's failure domain is cut off meanwhile.
func (t *try) watch(cancel context.CancelFunc) {
	c := t.session
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return
	}
	silence := firstSilence
	if !c.route.Streaming {
		silence = time.Duration(silentPart * float64(c.deadline.Sub(c.service.Clock())))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentUntil = c.service.Clock().Add(silence)
	t.timer = time.AfterFunc(min(silence, watchEvery), func() { t.look(cancel) })
}

// look ends the try or looks again later.
func (t *try) look(cancel context.CancelFunc) {
	now := t.session.service.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	left := t.silentUntil.Sub(now)
	if left <= 0 || t.session.service.Board.CutOff(t.server.Domain, now) {
		cancel()
		return
	}
	t.timer.Reset(min(left, watchEvery))
}

// heard notes a part of the answer.
func (t *try) heard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentUntil = t.session.service.Clock().Add(streamSilence)
}

func (t *try) stopWatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.stopped = true
	}
}

func (t *try) first() {
	t.session.service.Board.RecordFirstOutput(t.server.ID, t.session.call.Adapter, t.waiting, t.session.call.Parts, t.session.service.Clock())
	t.waiting = 0
}

func (t *try) end(failed bool) {
	if t.ended {
		return
	}
	t.ended = true
	t.session.service.Board.EndCall(t.server.ID, t.session.call.Adapter, t.waiting, failed, t.session.service.Clock())
}

// pass takes an answer to the caller and reports whether it is final.
func (t *try) pass(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	defer answer.Body.Close()
	if t.session.route.Streaming && answer.Status == http.StatusOK {
		return t.passStream(ctx, answer)
	}
	return t.passWhole(ctx, answer)
}

// passWhole passes on an answer once all of it is here.
func (t *try) passWhole(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := t.session
	body, err := io.ReadAll(io.LimitReader(answer.Body, bodyLimit))
	if err == nil && answer.Status < http.StatusMultipleChoices && !answer.Signed {
		err = errors.New("the answer bears no signature")
	}
	if err != nil {
		t.end(true)
		return c.brokenOff(ctx, t.server, err)
	}
	failed := answer.Status >= http.StatusInternalServerError
	t.end(failed)
	c.avoid[t.server.ID] = true
	if failed && !c.passedOn && ctx.Err() == nil && c.mayRetry(false) {
		c.failure, c.failureBody, c.failureServer = answer, body, t.server
		c.logRetry(t.server, http.StatusText(answer.Status), true)
		return false
	}
	if c.passedOn {
		// A stream can't go on with a failure.
		c.giveUp(ctx, c.unanswered())
		return true
	}
	c.out.Head(answer, int64(len(body)))
	c.write(body)
	c.logServed(t.server, answer.Status)
	return true
}

// brokenOff decides what follows an answer that ended early.
func (c *session) brokenOff(ctx context.Context, server pomelospring.FleetServer, err error) (done bool) {
	c.avoid[server.ID] = true
	again := ctx.Err() == nil && c.mayRetry(false)
	c.logRetry(server, err.Error(), again)
	if again {
		return false
	}
	c.giveUp(ctx, c.unanswered())
	return true
}

// passStream passes on whole events as they come.
func (t *try) passStream(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := t.session
	if !answer.Signed {
		t.end(true)
		return c.brokenOff(ctx, t.server, errors.New("the answer bears no signature"))
	}
	scanner := &eventScanner{}
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if whole := scanner.add(buffer[:n]); len(whole) > 0 && !t.passEvents(answer, whole) {
				t.end(false)
				c.giveUp(ctx, c.unanswered())
				return true
			}
			c.lastEvent = scanner.lastID(c.lastEvent)
		}
		if errors.Is(err, io.EOF) && scanner.empty() {
			return t.streamEnded(answer)
		}
		if err != nil {
			t.end(true)
			return c.brokenOff(ctx, t.server, err)
		}
	}
}

// passEvents passes on whole events; the first ones bring the head along.
func (t *try) passEvents(answer *pomelospring.BackendAnswer, whole []byte) bool {
	c := t.session
	if t.waiting > 0 {
		t.first()
	}
	t.heard()
	if !c.passedOn {
		c.passedOn = true
		c.out.Head(answer, answer.Length)
		c.observeFirst()
	}
	c.observeEvent()
	if c.runs > 1 {
		c.logResumed(t.server)
	}
	return c.write(whole)
}

func (t *try) streamEnded(answer *pomelospring.BackendAnswer) (done bool) {
	c := t.session
	t.end(false)
	if !c.passedOn {
		c.passedOn = true
		c.out.Head(answer, answer.Length)
	}
	c.logServed(t.server, answer.Status)
	return true
}

func (c *session) observeFirst() {
	if c.service.Counters != nil {
		c.service.Counters.Served(c.team, c.service.Clock().Sub(c.call.Arrived))
	}
}

func (c *session) observeEvent() {
	now := c.service.Clock()
	if c.firstAt.IsZero() {
		c.firstAt = now
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.eventAt))
	}
	c.eventAt = now
}

func (c *session) logResumed(server pomelospring.FleetServer) {
	if c.resumedAt == server.ID {
		return
	}
	c.resumedAt = server.ID
	events.Log(c.service.Logger, events.StreamResumed, log.Fields{
		"request":   c.call.ID,
		"server":    server.ID,
		"lastEvent": c.lastEvent,
	})
}

func (c *session) logServed(server pomelospring.FleetServer, status int) {
	fields := log.Fields{
		"request": c.call.ID,
		"server":  server.ID,
		"route":   c.route.Name,
		"status":  status,
		"tookMs":  c.service.Clock().Sub(c.call.Arrived).Milliseconds(),
		"sends":   c.sends,
	}
	if !c.firstAt.IsZero() {
		fields["firstMs"] = c.firstAt.Sub(c.call.Arrived).Milliseconds()
		fields["pauseMs"] = c.longestPause.Milliseconds()
		fields["placedMs"] = c.placed.Milliseconds()
	}
	events.Log(c.service.Logger, events.CallServed, fields)
}
