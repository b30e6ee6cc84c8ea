package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// maxBodyBytes bounds how much of an answer that isn't streamed is buffered. A
	// longer one is forwarded as it arrives, and can't be replaced by another
	// attempt's.
	maxBodyBytes = 8 << 20
	// readBufferBytes is how much of a stream is read at once.
	readBufferBytes = 4 << 10
	// A stream is resumed on another server after a pause of minStreamIdleTimeout, or
	// streamIdlePauses times the route's target for pauses if that is longer. Callers
	// leave after two seconds at the earliest; see minClientTimeout.
	minStreamIdleTimeout = 1100 * time.Millisecond
	streamIdlePauses     = 2.5
	// minFirstEventTimeout and firstEventTargets are the same for the first event,
	// whose prompt may wait in the engine's queue, and the route's latency target.
	minFirstEventTimeout = 2500 * time.Millisecond
	firstEventTargets    = 2.5
	// watchdogInterval is how often an attempt checks whether its server's failure
	// domain has been cut off.
	watchdogInterval = 400 * time.Millisecond
)

// errEventTooLong reports a stream of bytes that don't end as an event.
var errEventTooLong = fmt.Errorf("an event exceeds %d bytes", maxEventBytes)

// errIdle and errCutOff are why the watchdog cancels an attempt.
var (
	errIdle   = errors.New("the backend server was idle for too long")
	errCutOff = errors.New("the backend server's failure domain is cut off")
)

// attempt is one send of a call to one backend server.
type attempt struct {
	session *session
	server  pomelospring.FleetServer
	// prefillTokens is the uncached part of the prompt until the first output, then
	// zero.
	prefillTokens int64
	// sentAt is when the call was sent, and queued says that others waited for the
	// server then, so that the time it takes shows no speed.
	sentAt time.Time
	queued bool
	ended  bool

	mu              sync.Mutex
	timer           *time.Timer
	watchdogStopped bool
	// idleDeadline is when the attempt is canceled unless more of its answer
	// arrives.
	idleDeadline time.Time
	// canceledFor is why the watchdog canceled the attempt; nil if it did not.
	canceledFor error
}

// startWatchdog cancels a repeatable attempt that is idle for too long, or whose
// server's failure domain is cut off. The last attempt that the route allows is
// not watched.
func (a *attempt) startWatchdog(cancel context.CancelFunc) {
	c := a.session
	if !c.route.Repeatable() || c.attemptsExecuted+1 >= c.route.Attempts {
		return
	}
	idleTimeout := max(minFirstEventTimeout, time.Duration(firstEventTargets*float64(c.route.Target)))
	if !c.route.Streaming {
		idleTimeout = time.Duration(idleTimeoutFraction * float64(c.deadline.Sub(c.service.Clock())))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleDeadline = c.service.Clock().Add(idleTimeout)
	a.timer = time.AfterFunc(min(idleTimeout, watchdogInterval), func() { a.checkWatchdog(cancel) })
}

// checkWatchdog cancels the attempt or schedules the next check.
func (a *attempt) checkWatchdog(cancel context.CancelFunc) {
	now := a.session.service.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watchdogStopped {
		return
	}
	remaining := a.idleDeadline.Sub(now)
	switch {
	case remaining <= 0:
		a.canceledFor = errIdle
	case a.session.service.Board.CutOff(a.server.Domain, now):
		a.canceledFor = errCutOff
	}
	if a.canceledFor != nil {
		cancel()
		return
	}
	a.timer.Reset(min(remaining, watchdogInterval))
}

// extendIdleDeadline is called when a part of the answer has arrived.
func (a *attempt) extendIdleDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	timeout := max(minStreamIdleTimeout, time.Duration(streamIdlePauses*float64(a.session.route.PauseTarget)))
	a.idleDeadline = a.session.service.Clock().Add(timeout)
}

// cause returns why the attempt failed: the watchdog's reason if it canceled the
// attempt, else err.
func (a *attempt) cause(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceledFor != nil {
		return a.canceledFor
	}
	return err
}

func (a *attempt) stopWatchdog() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
		a.watchdogStopped = true
	}
}

// recordFirstOutput records that the prefill is done.
func (a *attempt) recordFirstOutput() {
	if !a.queued {
		a.session.service.Board.RecordPrefill(a.prefillTokens, a.session.service.Clock().Sub(a.sentAt))
	}
	a.session.service.Board.RecordFirstOutput(a.server.ID, a.session.call.Adapter, a.prefillTokens, a.session.call.Parts, a.session.service.Clock())
	a.prefillTokens = 0
}

// end records the end of the attempt, once.
func (a *attempt) end(failed bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.session.service.Board.EndCall(a.server.ID, a.session.call.Adapter, a.prefillTokens, failed, a.session.service.Clock())
}

// forward sends an answer to the caller and reports whether it is final.
func (a *attempt) forward(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	defer answer.Body.Close()
	if a.session.route.Streaming && answer.Status == http.StatusOK {
		return a.forwardStream(ctx, answer)
	}
	return a.forwardComplete(ctx, answer)
}

// forwardComplete forwards an answer once it is complete.
func (a *attempt) forwardComplete(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := a.session
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes+1))
	if err == nil && answer.Status < http.StatusMultipleChoices && !answer.Signed {
		err = errors.New("the answer has no signature")
	}
	if err != nil {
		a.end(true)
		return c.handleBrokenAnswer(ctx, a.server, a.cause(err))
	}
	failed := answer.Status >= http.StatusInternalServerError
	if !failed && !a.queued && c.limits == nil {
		c.service.Board.RecordPlainCall(c.targetService, c.service.Clock().Sub(a.sentAt))
	}
	a.end(failed)
	c.avoid[a.server.ID] = true
	if len(body) > maxBodyBytes && !c.forwarded {
		return a.forwardLong(ctx, answer, body)
	}
	if failed && !c.forwarded && ctx.Err() == nil && c.mayRetry(false) {
		c.failure, c.failureBody, c.failureServer = answer, body, a.server
		c.logRetry(a.server, http.StatusText(answer.Status), true)
		return false
	}
	if c.forwarded {
		// A partly forwarded stream can't continue with a failed answer.
		c.giveUp(ctx, c.unansweredRefusal())
		return true
	}
	c.out.Head(answer, int64(len(body)))
	c.write(body)
	c.logServed(a.server, answer.Status)
	return true
}

// forwardLong forwards an answer of which only the beginning could be buffered. If
// it breaks off, or doesn't end before the call's deadline, the caller sees that
// it is incomplete.
func (a *attempt) forwardLong(ctx context.Context, answer *pomelospring.BackendAnswer, beginning []byte) (done bool) {
	c := a.session
	c.forwarded = true
	c.out.Head(answer, answer.Length)
	if !c.write(beginning) {
		c.giveUp(ctx, c.unansweredRefusal())
		return true
	}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && !c.write(buffer[:n]) || err != nil && !errors.Is(err, io.EOF) {
			c.giveUp(ctx, c.unansweredRefusal())
			return true
		}
		if err != nil {
			c.logServed(a.server, answer.Status)
			return true
		}
	}
}

// handleBrokenAnswer handles an answer that can't be used, such as one that
// ended early, and reports whether the call has ended.
func (c *session) handleBrokenAnswer(ctx context.Context, server pomelospring.FleetServer, err error) (done bool) {
	c.avoid[server.ID] = true
	willRetry := ctx.Err() == nil && c.mayRetry(false)
	c.logRetry(server, err.Error(), willRetry)
	if willRetry {
		return false
	}
	c.giveUp(ctx, c.unansweredRefusal())
	return true
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := a.session
	if !answer.Signed {
		a.end(true)
		return c.handleBrokenAnswer(ctx, a.server, errors.New("the answer has no signature"))
	}
	scanner := &eventScanner{}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if complete := scanner.add(buffer[:n]); len(complete) > 0 && !a.forwardEvents(answer, complete) {
				a.end(false)
				c.giveUp(ctx, c.unansweredRefusal())
				return true
			}
			c.lastEventID = scanner.lastID(c.lastEventID)
			if scanner.tooLong() {
				a.end(true)
				return c.handleBrokenAnswer(ctx, a.server, errEventTooLong)
			}
		}
		if errors.Is(err, io.EOF) && scanner.empty() {
			return a.finishStream(answer)
		}
		if err != nil {
			a.end(true)
			return c.handleBrokenAnswer(ctx, a.server, a.cause(err))
		}
	}
}

// forwardEvents forwards complete events, preceded by the head if they are the
// first ones, and reports whether they could be written.
func (a *attempt) forwardEvents(answer *pomelospring.BackendAnswer, complete []byte) bool {
	c := a.session
	if a.prefillTokens > 0 {
		a.recordFirstOutput()
	}
	a.extendIdleDeadline()
	if !c.forwarded {
		c.forwarded = true
		c.out.Head(answer, answer.Length)
		c.countServed()
	}
	c.recordEventTimes()
	if c.attemptsExecuted > 1 {
		c.logResumed(a.server)
	}
	return c.write(complete)
}

// finishStream ends a stream that is complete.
func (a *attempt) finishStream(answer *pomelospring.BackendAnswer) (done bool) {
	c := a.session
	a.end(false)
	if !c.forwarded {
		c.forwarded = true
		c.out.Head(answer, answer.Length)
	}
	c.logServed(a.server, answer.Status)
	return true
}

// countServed counts a stream as served, with the time until its first event.
func (c *session) countServed() {
	if c.service.Counters != nil {
		c.service.Counters.Served(c.team, c.service.Clock().Sub(c.call.Arrived))
	}
}

func (c *session) recordEventTimes() {
	now := c.service.Clock()
	if c.firstEventAt.IsZero() {
		c.firstEventAt = now
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

func (c *session) logResumed(server pomelospring.FleetServer) {
	if c.resumedServer == server.ID {
		return
	}
	c.resumedServer = server.ID
	events.Log(c.service.Logger, events.StreamResumed, log.Fields{
		"request":   c.call.ID,
		"server":    server.ID,
		"lastEvent": c.lastEventID,
	})
}

func (c *session) logServed(server pomelospring.FleetServer, status int) {
	fields := log.Fields{
		"request": c.call.ID,
		"server":  server.ID,
		"route":   c.route.Name,
		"status":  status,
		"tookMs":  c.service.Clock().Sub(c.call.Arrived).Milliseconds(),
		"sends":   c.attemptsSent,
	}
	if !c.firstEventAt.IsZero() {
		fields["firstMs"] = c.firstEventAt.Sub(c.call.Arrived).Milliseconds()
		fields["pauseMs"] = c.longestPause.Milliseconds()
		fields["placedMs"] = c.placementTime.Milliseconds()
	}
	events.Log(c.service.Logger, events.CallServed, fields)
}
