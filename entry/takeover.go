package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/retry"
)

// takeoverPlacementTimeout bounds the placement of an adapter for a takeover.
const takeoverPlacementTimeout = time.Second

// takeover is how other servers are asked to go on with the call of an attempt
// whose server is silent. The attempt is canceled only once another server has
// answered, and goes on if its own server does before that. It is protected by the
// lock of the watchdog.
type takeover struct {
	// avoid has the servers that are not asked, and missing those of them that
	// answered to lack the adapter. sent counts the servers that were asked, and
	// executed those of them that may have executed the call.
	avoid    map[string]bool
	missing  map[string]bool
	sent     int
	executed int
	// broken counts the servers that were asked and whose connection broke, and
	// brokenBefore the attempts of the call before it.
	broken       int
	brokenBefore int
	// maxSent and maxExecuted limit sent and executed.
	maxSent     int
	maxExecuted int
	// resumeAfter is the ID of the last event that was forwarded.
	resumeAfter string
	// cancel ends the takeover in progress; done is closed at its end.
	cancel context.CancelFunc
	done   chan struct{}
	// retryReserved is set while a retry is kept for the takeover that follows one
	// which was silent itself.
	retryReserved bool
	// successor goes on with the call, for reason; nil until a server has answered.
	successor *successor
	reason    error
}

// successor is an attempt whose answer has begun.
type successor struct {
	attempt *attempt
	answer  *pomelospring.BackendAnswer
}

func newTakeover(a *attempt) takeover {
	c := a.session
	avoid := maps.Clone(c.avoid)
	avoid[a.server.ID] = true
	maxExecuted := 0
	if c.mayExecuteAgain() {
		maxExecuted = c.route.Attempts - c.attemptsExecuted - 1
	}
	return takeover{
		avoid:       avoid,
		missing:     maps.Clone(c.missing),
		maxSent:     maxAttempts - c.attemptsSent - 1,
		maxExecuted: maxExecuted,
		resumeAfter: c.lastEventID,

		brokenBefore: c.attemptsBroken,
	}
}

// takeOver sends the call to another server, for a reason. If that one answers
// before the attempt's own server goes on, it becomes the successor and the
// attempt is canceled.
func (a *attempt) takeOver(ctx context.Context, reason error) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	resumeAfter, begun := a.beginTakeover(cancel)
	if !begun {
		cancel()
		return
	}
	done := a.watchdog.takeover.done
	defer close(done)
	choice, found := a.chooseSuccessor(ctx)
	if !found {
		a.session.retries.Return()
		cancel()
		return
	}
	b := a.session.newAttempt(choice)
	b.cancel = cancel
	go a.watchTakeover(ctx, b.server.ID, done, cancelCause)
	answer, err := b.send(ctx, resumeAfter)
	if err == nil && a.session.canUse(answer) {
		answer, err = a.session.begun(answer)
	}
	if err == nil && a.session.canUse(answer) && a.adopt(ctx, b, answer, reason) {
		return
	}
	if err != nil && !errors.Is(err, pomelospring.ErrNotSent) {
		b.checkForCrash(ctx, a.brokenSends() > 0)
	}
	a.recordFailedTakeover(ctx, b, answer, err)
	cancel()
}

// watchTakeover ends a takeover to a server that is silent itself, once yet another
// one can be asked, unless the takeover is done before.
func (a *attempt) watchTakeover(ctx context.Context, server string, done <-chan struct{}, cancel context.CancelCauseFunc) {
	timer := time.NewTimer(a.session.firstEventTimeout())
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		startsAt, found := a.findNextTakeover(ctx, server)
		if found && a.endSilentTakeover(startsAt, cancel) {
			return
		}
		timer.Reset(takeoverRetryInterval)
	}
}

// findNextTakeover reports whether there is a server for a takeover that follows one
// to a silent server, and when the call would start there.
func (a *attempt) findNextTakeover(ctx context.Context, silent string) (startsAt time.Time, found bool) {
	w := &a.watchdog
	w.mu.Lock()
	allowed := w.takeover.allowsAnother()
	avoid, missing := w.takeover.excluded()
	w.mu.Unlock()
	if !allowed {
		return startsAt, false
	}
	avoid[silent] = true
	choice, _, refusal := a.findSuccessor(ctx, avoid, missing)
	return a.session.service.Clock().Add(choice.Wait), refusal == ""
}

// excluded returns copies of avoid and missing. The caller holds the lock.
func (t *takeover) excluded() (avoid, missing map[string]bool) {
	return maps.Clone(t.avoid), maps.Clone(t.missing)
}

// allowsAnother reports whether the limits allow one more takeover after the one in
// progress. The caller holds the lock.
func (t *takeover) allowsAnother() bool {
	return t.successor == nil && t.sent+1 < t.maxSent && t.executed+1 < t.maxExecuted
}

// endSilentTakeover ends the takeover in progress and reserves a retry for the next
// one. It reports false if there can be none.
func (a *attempt) endSilentTakeover(startsAt time.Time, cancel context.CancelCauseFunc) bool {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	// With its own server gone too, the call would be refused.
	if w.stopped && a.session.startsTooLate(startsAt) {
		return false
	}
	if !w.takeover.allowsAnother() || w.forwarding || !a.session.retries.Take() {
		return false
	}
	w.takeover.retryReserved = true
	cancel(errIdle)
	return true
}

// returnRetry returns a reserved retry. The caller holds the lock.
func (t *takeover) returnRetry(retries *retry.Budget) {
	if t.retryReserved {
		t.retryReserved = false
		retries.Return()
	}
}

// beginTakeover takes a retry from the budget, which a takeover that is not sent
// returns, and says after which event another server is to go on. It reports false
// if none may be asked.
func (a *attempt) beginTakeover(cancel context.CancelFunc) (resumeAfter string, begun bool) {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.takeover
	if w.stopped || w.forwarding || t.sent >= t.maxSent || t.executed >= t.maxExecuted {
		return "", false
	}
	if !t.retryReserved && !a.session.retries.Take() {
		return "", false
	}
	t.retryReserved = false
	t.cancel = cancel
	t.done = make(chan struct{})
	return t.resumeAfter, true
}

// chooseSuccessor picks a server that can take the call over.
func (a *attempt) chooseSuccessor(ctx context.Context) (choice dispatch.Choice, found bool) {
	w := &a.watchdog
	w.mu.Lock()
	avoid, missing := w.takeover.excluded()
	resumeAfter := w.takeover.resumeAfter
	w.mu.Unlock()
	choice, candidates, refusal := a.findSuccessor(ctx, avoid, missing)
	if refusal != "" {
		a.logFailedTakeover("", refusal)
		return choice, false
	}
	if !a.session.reserve(ctx, choice, maxCopyTurnWait) {
		a.logFailedTakeover("", "the backend server's limit")
		return choice, false
	}
	if choice, _, found = a.session.permit(ctx, choice, avoid, a.session.service.Clock()); !found {
		a.logFailedTakeover("", "no room at brittle backend servers")
		return choice, false
	}
	a.session.logRouted(choice, candidates, resumeAfter, a.session.service.Clock())
	return choice, true
}

// findSuccessor looks for a server that can take the call over. If none has its
// adapter, it asks the leader to place it. refusal says why there is none.
func (a *attempt) findSuccessor(ctx context.Context, avoid, missing map[string]bool) (choice dispatch.Choice, candidateCount int, refusal string) {
	c := a.session
	s := c.service
	now := s.Clock()
	if s.Quarantine.Blocked(c.team, c.suspects(), now) || !c.maySendAgain(a.brokenSends()) {
		return choice, 0, "backend servers end under the call"
	}
	candidates := c.candidates(avoid, now)
	choice = dispatch.Choose(candidates, c.requirements())
	if !choice.Found && c.call.NeedsAdapter() {
		outcome, err := s.Coordinator.Place(ctx, c.placementRequest(avoid, missing, now.Add(takeoverPlacementTimeout), now))
		if err != nil || outcome.Server == "" {
			return choice, 0, placementFailure(outcome, err)
		}
		if missing[outcome.Server] {
			// The adapter was still loading there, which the leader knows.
			delete(avoid, outcome.Server)
		}
		candidates = c.candidates(avoid, s.Clock())
		choice = dispatch.Choose(candidates, c.requirements())
	}
	if !choice.Found {
		return choice, 0, "no backend server can take the call"
	}
	if choice.Candidate.TurnWait > maxCopyTurnWait {
		return choice, 0, "the backend server's limit"
	}
	return choice, len(candidates), ""
}

// brokenSends counts the attempts of the call whose connection broke.
func (a *attempt) brokenSends() int {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takeover.brokenBefore + w.takeover.broken
}

// placementFailure says why an adapter was not placed.
func placementFailure(outcome pomelospring.PlacementOutcome, err error) string {
	if err != nil {
		return err.Error()
	}
	return outcome.Reason
}

// canUse reports whether an answer can replace that of a silent server.
func (c *session) canUse(answer *pomelospring.BackendAnswer) bool {
	if answer.NotRun {
		return false
	}
	if c.route.Streaming {
		return answer.Status == http.StatusOK && answer.Signed
	}
	succeeded := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	return succeeded && answer.Signed || answer.Status >= http.StatusMultipleChoices && answer.Status < http.StatusInternalServerError
}

// adopt makes b the successor, unless the attempt's own server went on before.
func (a *attempt) adopt(ctx context.Context, b *attempt, answer *pomelospring.BackendAnswer, reason error) bool {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.takeover.reason = reason
	w.takeover.successor = &successor{
		attempt: b,
		answer:  answer,
	}
	a.cancel()
	return true
}

// recordFailedTakeover records that b did not take the call over.
func (a *attempt) recordFailedTakeover(ctx context.Context, b *attempt, answer *pomelospring.BackendAnswer, err error) {
	c := a.session
	server := b.server
	notSent := errors.Is(err, pomelospring.ErrNotSent)
	canceled := ctx.Err() != nil && !isSilent(ctx) || errors.Is(err, pomelospring.ErrEvacuated)
	b.end(!canceled && (answer == nil || !answer.Misdirected))
	if notSent && !canceled {
		c.service.Board.RecordUnreachable(server.ID, c.service.Clock())
		c.service.recordConnectTimeout(server, err)
	}
	if answer != nil {
		_ = answer.Body.Close()
		c.service.recordContact(server)
		if answer.Misdirected && c.call.NeedsAdapter() {
			c.service.Board.RemoveResident(server.ID, c.call.Adapter)
		}
	}
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	a.logFailedTakeover(server.ID, w.takeoverFailure(ctx, answer, err))
	t := &w.takeover
	if !canceled {
		t.avoid[server.ID] = true
	}
	if answer != nil && answer.Misdirected && c.call.NeedsAdapter() {
		t.missing[server.ID] = true
	}
	if notSent {
		c.retries.Return()
		return
	}
	t.countFailed(answer, !canceled && !isSilent(ctx))
}

// countFailed counts a server that was asked and did not take the call over. broke says
// that the connection broke if there is no answer. The caller holds the lock.
func (t *takeover) countFailed(answer *pomelospring.BackendAnswer, broke bool) {
	t.sent++
	if answer == nil || !answer.NotRun {
		t.executed++
	}
	if answer == nil && broke {
		t.broken++
	}
}

// takeoverFailure says why a takeover failed. The caller holds the lock.
func (w *watchdog) takeoverFailure(ctx context.Context, answer *pomelospring.BackendAnswer, err error) string {
	switch {
	case isSilent(ctx):
		return errIdle.Error()
	case answer != nil:
		return http.StatusText(answer.Status)
	case ctx.Err() == nil:
		return err.Error()
	case w.forwarding:
		return "the silent backend server went on"
	}
	return "the call has ended"
}

// isSilent reports whether a takeover with a context was ended because its server was
// silent.
func isSilent(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errIdle)
}

func (a *attempt) logFailedTakeover(server, reason string) {
	events.Log(a.session.service.Logger, events.TakeoverFailed, log.Fields{
		"request": a.session.call.ID,
		"silent":  a.server.ID,
		"server":  server,
		"reason":  reason,
	})
}

// settle is called when the attempt has ended. It lets no takeover begin, waits for
// the one in progress, adds the attempts of all takeovers to those of the call and
// returns the attempt that goes on with the call, or nil.
func (a *attempt) settle() *successor {
	w := &a.watchdog
	w.mu.Lock()
	w.stopTimer()
	done := w.takeover.done
	w.mu.Unlock()
	if done != nil {
		<-done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.takeover
	c := a.session
	t.returnRetry(c.retries)
	c.attemptsSent += t.sent
	c.attemptsExecuted += t.executed
	c.attemptsBroken += t.broken
	t.sent, t.executed, t.broken = 0, 0, 0
	maps.Copy(c.avoid, t.avoid)
	maps.Copy(c.missing, t.missing)
	return t.successor
}
