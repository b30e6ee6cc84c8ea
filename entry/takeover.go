package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/events"
)

// takeoverPlacementTimeout bounds the placement of an adapter for a takeover.
const takeoverPlacementTimeout = time.Second

// takeover is how other servers are asked to go on with the call of an attempt
// whose server is silent. The attempt is canceled only once another server has
// answered, and goes on if its own server does before that. It is protected by the
// lock of the watchdog.
type takeover struct {
	// avoid has the servers that are not asked. sent counts those that were, and
	// executed those of them that may have executed the call.
	avoid    map[string]bool
	sent     int
	executed int
	// maxSent and maxExecuted limit sent and executed.
	maxSent     int
	maxExecuted int
	// resumeAfter is the ID of the last event that was forwarded.
	resumeAfter string
	// cancel ends the takeover in progress; done is closed at its end.
	cancel context.CancelFunc
	done   chan struct{}
	// successor goes on with the call, for reason; nil until a server has answered.
	successor *successor
	reason    error
}

// successor is an attempt that has the head of its answer.
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
		maxSent:     maxAttempts - c.attemptsSent - 1,
		maxExecuted: maxExecuted,
		resumeAfter: c.lastEventID,
	}
}

// takeOver sends the call to another server, for a reason. If that one answers
// before the attempt's own server goes on, it becomes the successor and the
// attempt is canceled.
func (a *attempt) takeOver(ctx context.Context, reason error) {
	ctx, cancel := context.WithCancel(ctx)
	resumeAfter, begun := a.beginTakeover(cancel)
	if !begun {
		cancel()
		return
	}
	defer close(a.watchdog.takeover.done)
	choice, found := a.chooseSuccessor(ctx)
	if !found {
		a.session.retries.Return()
		cancel()
		return
	}
	b := a.session.newAttempt(choice)
	b.cancel = cancel
	answer, err := b.send(ctx, resumeAfter)
	if err == nil && a.session.canUse(answer) && a.adopt(ctx, b, answer, reason) {
		return
	}
	a.recordFailedTakeover(ctx, b, answer, err)
	cancel()
}

// beginTakeover takes a retry from the budget, which a takeover that is not sent
// returns, and says after which event another server is to go on. It reports false
// if none may be asked.
func (a *attempt) beginTakeover(cancel context.CancelFunc) (resumeAfter string, begun bool) {
	w := &a.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.takeover
	if w.stopped || w.forwarding || t.sent >= t.maxSent || t.executed >= t.maxExecuted || !a.session.retries.Take() {
		return "", false
	}
	t.cancel = cancel
	t.done = make(chan struct{})
	return t.resumeAfter, true
}

// chooseSuccessor picks a server that can take the call over. If none has its
// adapter, it asks the leader to place it.
func (a *attempt) chooseSuccessor(ctx context.Context) (choice dispatch.Choice, found bool) {
	c := a.session
	s := c.service
	avoid := a.watchdog.takeover.avoid
	now := s.Clock()
	if c.limits != nil && s.Quarantine.Blocked(c.team, c.parts, now) {
		a.logFailedTakeover("", "model workers end under the call's prompt parts")
		return choice, false
	}
	candidates := s.Board.Candidates(c.targetService, c.call, avoid, now)
	choice = dispatch.Choose(candidates, c.requirements())
	if !choice.Found && c.call.NeedsAdapter() {
		outcome, err := s.Coordinator.Place(ctx, pomelospring.PlacementRequest{
			Request:  c.call.ID,
			Adapter:  c.call.Adapter,
			Domain:   s.Board.Domain,
			Deadline: now.Add(takeoverPlacementTimeout),
			Avoid:    slices.Collect(maps.Keys(avoid)),
			Unusable: s.Board.UnusableServers(c.targetService, now),
		})
		if err != nil || outcome.Server == "" {
			a.logFailedTakeover("", placementFailure(outcome, err))
			return choice, false
		}
		now = s.Clock()
		candidates = s.Board.Candidates(c.targetService, c.call, avoid, now)
		choice = dispatch.Choose(candidates, c.requirements())
	}
	if !choice.Found {
		a.logFailedTakeover("", "no backend server can take the call")
		return choice, false
	}
	c.logRouted(choice, len(candidates), now)
	return choice, true
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
	canceled := ctx.Err() != nil
	b.end(!canceled && (answer == nil || !answer.Misdirected))
	if err != nil && !notSent {
		b.checkForCrash(ctx)
	}
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
	a.logFailedTakeover(server.ID, takeoverFailure(answer, err, canceled, w.forwarding))
	t := &w.takeover
	if !canceled {
		t.avoid[server.ID] = true
	}
	if notSent {
		c.retries.Return()
		return
	}
	t.sent++
	if answer == nil || !answer.NotRun {
		t.executed++
	}
}

// takeoverFailure says why a takeover failed.
func takeoverFailure(answer *pomelospring.BackendAnswer, err error, canceled, wentOn bool) string {
	switch {
	case answer != nil:
		return http.StatusText(answer.Status)
	case !canceled:
		return err.Error()
	case wentOn:
		return "the silent backend server went on"
	}
	return "the call has ended"
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
	c.attemptsSent += t.sent
	c.attemptsExecuted += t.executed
	t.sent, t.executed = 0, 0
	maps.Copy(c.avoid, t.avoid)
	return t.successor
}
