package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// streamIdleFraction is the fraction of the time for which the caller of a stream
	// waits for its next event after which another server is asked to go on, but not
	// before minStreamIdleTimeout: a sound server may pause for a second or so.
	streamIdleFraction   = 0.6
	minStreamIdleTimeout = 1400 * time.Millisecond
	// minFirstEventTimeout and firstEventTargets give the time after which another
	// server is asked for the first event, whose prompt may wait in the engine's
	// queue: the longer one of minFirstEventTimeout and firstEventTargets times the
	// route's latency target.
	minFirstEventTimeout = 2500 * time.Millisecond
	firstEventTargets    = 2.5
	// maxPacePatience bounds how many times longer a slow server may send nothing.
	maxPacePatience = 2
	// watchdogInterval is how often an attempt checks whether its server's failure
	// domain has been cut off.
	watchdogInterval = 400 * time.Millisecond
	// takeoverRetryInterval is the time from a failed takeover to the next one.
	takeoverRetryInterval = 800 * time.Millisecond
)

// errIdle and errCutOff are why another server takes a call over; errTakenOver ends
// an attempt whose answer came after that.
var (
	errIdle      = errors.New("the backend server was idle for too long")
	errCutOff    = errors.New("the backend server's failure domain is cut off")
	errTakenOver = errors.New("another backend server has taken the call over")
)

// watchdog notices that an attempt's server is silent and has another one take the
// call over.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// silent is set once the attempt's server counts as silent because of it.
	silent bool
	// waitingSince is when the server last sent a part of its answer, or got the
	// call.
	waitingSince time.Time
	// forwarding is set while the attempt forwards a part of its answer.
	forwarding bool
	// idleDeadline is when the server counts as silent unless more of its answer
	// arrives.
	idleDeadline time.Time
	takeover     takeover
}

// startWatchdog watches an attempt, so that its server counts as silent in time, or
// another one takes the call over if the route allows a further attempt. Streams
// are watched for the latter only. ctx is the context of the call.
func (a *attempt) startWatchdog(ctx context.Context) {
	c := a.session
	if c.route.Streaming && !c.mayExecuteAgain() {
		return
	}
	idleTimeout := a.idleTimeout()
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeover = newTakeover(a)
	w.waitingSince = c.service.Clock()
	w.idleDeadline = w.waitingSince.Add(idleTimeout)
	w.timer = time.AfterFunc(min(idleTimeout, watchdogInterval), func() { a.checkWatchdog(ctx) })
}

// mayExecuteAgain reports whether the route allows a further attempt while one runs.
func (c *session) mayExecuteAgain() bool {
	return c.route.Repeatable() && c.attemptsExecuted+1 < c.route.Attempts
}

// firstEventTimeout is how long a server may send nothing of its answer to the call
// before another one is asked.
func (c *session) firstEventTimeout() time.Duration {
	if !c.route.Streaming {
		return time.Duration(idleTimeoutFraction * float64(c.deadline.Sub(c.service.Clock())))
	}
	return max(minFirstEventTimeout, time.Duration(firstEventTargets*float64(c.route.Target)))
}

// idleTimeout is firstEventTimeout at the pace of the attempt's server: one that is known to
// be slow isn't silent yet.
func (a *attempt) idleTimeout() time.Duration {
	timeout := a.session.firstEventTimeout()
	if !a.session.route.Streaming {
		return timeout
	}
	return max(timeout, min(a.choice.Candidate.AtPace(timeout), maxPacePatience*timeout))
}

// checkWatchdog starts a takeover if the server is silent, and schedules the next
// check.
func (a *attempt) checkWatchdog(ctx context.Context) {
	next := watchdogInterval
	if reason := a.silence(); reason != nil {
		a.recordSilence(reason)
		a.takeOver(ctx, reason)
		next = takeoverRetryInterval
	}
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.takeover.successor != nil || ctx.Err() != nil {
		return
	}
	if remaining := w.idleDeadline.Sub(a.session.service.Clock()); remaining > 0 {
		next = min(next, remaining)
	}
	if w.takeover.retryReserved {
		go a.checkWatchdog(ctx)
		return
	}
	w.timer.Reset(next)
}

// silence returns why another server should take the call over, or nil.
func (a *attempt) silence() error {
	now := a.session.service.Clock()
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped || w.forwarding:
		return nil
	case !now.Before(w.idleDeadline):
		return errIdle
	case a.session.service.Board.CutOff(a.server.Domain, now):
		return errCutOff
	}
	return nil
}

// recordSilence records that the server is silent, unless it answered other calls
// while this one waited.
func (a *attempt) recordSilence(reason error) {
	if !errors.Is(reason, errIdle) {
		return
	}
	service := a.session.service
	now := service.Clock()
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	silent, began := service.Board.RecordSilence(a.server.ID, w.waitingSince, now)
	w.silent = silent
	if began {
		events.Log(service.Logger, events.ServerQuiet, log.Fields{
			"request":  a.session.call.ID,
			"server":   a.server.ID,
			"waitedMs": now.Sub(w.waitingSince).Milliseconds(),
		})
	}
}

// isSilent reports whether the server counts as silent because of this attempt.
// The attempt's end is then no failure: a sound server that goes on would be left
// for as long as a broken one.
func (a *attempt) isSilent() bool {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

// claim is called when the answer, or more of it, has arrived, and reports whether
// the attempt still serves the call. If it does, a takeover in progress is
// canceled.
func (a *attempt) claim() bool {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takeover.successor != nil {
		return false
	}
	if w.takeover.cancel != nil {
		w.takeover.cancel()
	}
	w.takeover.returnRetry(a.session.retries)
	w.forwarding = true
	return true
}

// awaitMore is called when all that has arrived is forwarded, up to the event with
// an ID.
func (a *attempt) awaitMore(lastEventID string) {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forwarding = false
	w.silent = false
	w.waitingSince = a.session.service.Clock()
	w.takeover.resumeAfter = lastEventID
	timeout := max(minStreamIdleTimeout, time.Duration(streamIdleFraction*float64(clientTimeout(a.session.route))))
	w.idleDeadline = w.waitingSince.Add(timeout)
}

// cause returns why the attempt failed: that it was taken over, and why, if it was,
// else err, with the silence of the server before.
func (a *attempt) cause(err error) error {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takeover.successor != nil {
		return w.takeover.reason
	}
	if w.silent {
		return fmt.Errorf("%w: %w", errIdle, err)
	}
	return err
}

func (a *attempt) isTakenOver() bool {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takeover.successor != nil
}

// stop ends the attempt and its watchdog.
func (a *attempt) stop() {
	a.stopWatchdog()
	a.cancel()
}

func (a *attempt) stopWatchdog() {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
	w.takeover.returnRetry(a.session.retries)
	if w.takeover.cancel != nil && w.takeover.successor == nil {
		w.takeover.cancel()
	}
}

// stopTimer lets no further takeover begin. The caller holds the lock.
func (w *watchdog) stopTimer() {
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
