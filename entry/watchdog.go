package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// streamIdleFraction is the fraction of the time for which the caller of a stream
	// waits for its next event after which another server is asked to go on.
	streamIdleFraction = 0.6
	// minFirstEventTimeout and firstEventTargets give the time after which another
	// server is asked for the first event, whose prompt may wait in the engine's
	// queue: the longer one of minFirstEventTimeout and firstEventTargets times the
	// route's latency target.
	minFirstEventTimeout = 2500 * time.Millisecond
	firstEventTargets    = 2.5
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
	// forwarding is set while the attempt forwards a part of its answer.
	forwarding bool
	// idleDeadline is when the server counts as silent unless more of its answer
	// arrives.
	idleDeadline time.Time
	takeover     takeover
}

// startWatchdog watches a repeatable attempt, except the last one that the route
// allows. ctx is the context of the call.
func (a *attempt) startWatchdog(ctx context.Context) {
	c := a.session
	if !c.route.Repeatable() || c.attemptsExecuted+1 >= c.route.Attempts {
		return
	}
	idleTimeout := c.firstEventTimeout()
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeover = newTakeover(a)
	w.idleDeadline = c.service.Clock().Add(idleTimeout)
	w.timer = time.AfterFunc(min(idleTimeout, watchdogInterval), func() { a.checkWatchdog(ctx) })
}

// firstEventTimeout is how long a server may send nothing of its answer to the call
// before another one is asked.
func (c *session) firstEventTimeout() time.Duration {
	if !c.route.Streaming {
		return time.Duration(idleTimeoutFraction * float64(c.deadline.Sub(c.service.Clock())))
	}
	return max(minFirstEventTimeout, time.Duration(firstEventTargets*float64(c.route.Target)))
}

// checkWatchdog starts a takeover if the server is silent, and schedules the next
// check.
func (a *attempt) checkWatchdog(ctx context.Context) {
	next := watchdogInterval
	if reason := a.silence(); reason != nil {
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
		next = 0
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
	w.takeover.resumeAfter = lastEventID
	timeout := time.Duration(streamIdleFraction * float64(clientTimeout(a.session.route)))
	w.idleDeadline = a.session.service.Clock().Add(timeout)
}

// cause returns why the attempt failed: that it was taken over, and why, if it was,
// else err.
func (a *attempt) cause(err error) error {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takeover.successor != nil {
		return w.takeover.reason
	}
	return err
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
