package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// sendLimit bounds the tries of one call that a backend server rejects.
	sendLimit = 3
	// replicaWait is the wait behind other prompts above which one more worker
	// is asked to hold an adapter: a load takes a quarter of a second and is
	// paid for.
	replicaWait = 700 * time.Millisecond
	// replicaPause keeps wishes for more workers with one adapter apart.
	replicaPause = 400 * time.Millisecond
	// silentPart is the part of the time left after which an idempotent plain
	// call without an answer is sent elsewhere.
	silentPart = 0.45
	// placeShare is the part of the time in which a caller waits for a first
	// event that a call may wait for its adapter to be loaded.
	placeShare = 0.6
)

// run tries backend servers until the call has its final answer.
func (c *session) run(ctx context.Context) {
	if c.call.NeedsAdapter() {
		now := c.service.Clock()
		c.unseen = c.service.Board.UnreportedLoad(c.call.Adapter, now)
		c.draw = dispatch.HashFraction(c.call.Shared())
		c.service.Board.RecordDemand(c.call.Adapter, c.call.PromptTokens, now)
	}
	for {
		choice, refusal := c.choose(ctx)
		if refusal != nil {
			c.giveUp(ctx, refusal)
			return
		}
		if done := c.try(ctx, choice); done {
			return
		}
	}
}

// choose picks a backend server, after a load of the call's adapter if none
// has it.
func (c *session) choose(ctx context.Context) (choice dispatch.Choice, refusal *pomelospring.Refusal) {
	s := c.service
	now := s.Clock()
	if !now.Before(c.deadline) {
		return dispatch.Choice{}, c.timeout()
	}
	need := c.need()
	candidates := s.Board.Candidates(c.target, c.call, c.avoid, now)
	choice = dispatch.Choose(candidates, need)
	if !choice.Found && c.call.NeedsAdapter() {
		if refusal = c.place(ctx, now); refusal != nil {
			return dispatch.Choice{}, refusal
		}
		now = s.Clock()
		candidates = s.Board.Candidates(c.target, c.call, c.avoid, now)
		choice = dispatch.Choose(candidates, need)
	}
	if !choice.Found {
		return dispatch.Choice{}, pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, comeBack(now), "no backend server can take the call")
	}
	if need.Model && !c.passedOn && now.Add(choice.Wait).After(c.firstBy) {
		return dispatch.Choice{}, pomelospring.NewRefusal(pomelospring.CodeOverloaded, comeBack(now), "the wait of %s is longer than the caller's", choice.Wait)
	}
	if need.Model && c.call.NeedsAdapter() && dispatch.QueueTime(choice.Candidate) > replicaWait {
		s.wishReplica(c.call.Adapter, now)
	}
	events.Log(s.Logger, events.CallRouted, log.Fields{
		"request":    c.call.ID,
		"team":       c.team,
		"service":    c.target,
		"adapter":    c.call.Adapter,
		"version":    choice.Candidate.Version,
		"server":     choice.Candidate.Server.ID,
		"waitMs":     choice.Wait.Milliseconds(),
		"running":    choice.Candidate.Running,
		"unseenMs":   c.unseen.Milliseconds(),
		"waiting":    choice.Candidate.WaitingTokens,
		"kept":       choice.Candidate.CachedTokens,
		"prompt":     c.call.PromptTokens,
		"tokens":     c.call.PromptTokens + c.call.OutputTokens,
		"candidates": len(candidates),
		"policyMs":   s.Board.PolicyAge(now).Milliseconds(),
		"heldMs":     now.Sub(c.call.Arrived).Milliseconds(),
	})
	return choice, nil
}

func (c *session) need() dispatch.Requirements {
	need := dispatch.Requirements{
		Domain:       c.service.Board.Domain,
		PromptTokens: c.call.PromptTokens,
		Model:        c.limits != nil,
	}
	if c.call.NeedsAdapter() {
		need.Affinity = c.call.Adapter
		need.UnreportedLoad = c.unseen
		need.HashPosition = c.draw
	}
	return need
}

// place asks the leader for the call's adapter.
func (c *session) place(ctx context.Context, now time.Time) *pomelospring.Refusal {
	wish := pomelospring.PlacementRequest{
		Request:  c.call.ID,
		Adapter:  c.call.Adapter,
		Domain:   c.service.Board.Domain,
		Deadline: now.Add(time.Duration(placeShare * float64(c.firstBy.Sub(now)))),
	}
	for id := range c.avoid {
		wish.Avoid = append(wish.Avoid, id)
	}
	asked := now
	outcome, err := c.service.Coordinator.Place(ctx, wish)
	now = c.service.Clock()
	c.placed += now.Sub(asked)
	if err != nil {
		events.Log(c.service.Logger, events.PlacementFailed, log.Fields{
			"request": c.call.ID,
			"adapter": c.call.Adapter,
			"error":   err.Error(),
		})
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, comeBack(now), "no worker holds the adapter and none could be asked to")
	}
	if outcome.Server == "" {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, outcome.RetryAt, "the adapter could not be loaded: %s", outcome.Reason)
	}
	// The leader may know that the worker that refused just loads longer.
	delete(c.avoid, outcome.Server)
	return nil
}

// wishReplica asks for one more worker with an adapter, without waiting.
func (s *Service) wishReplica(adapter string, now time.Time) {
	s.mu.Lock()
	if s.replicas == nil {
		s.replicas = map[string]time.Time{}
	}
	if now.Before(s.replicas[adapter]) {
		s.mu.Unlock()
		return
	}
	if len(s.replicas) > replicaMemory {
		clear(s.replicas)
	}
	s.replicas[adapter] = now.Add(replicaPause)
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
		defer cancel()
		_, err := s.Coordinator.Place(ctx, pomelospring.PlacementRequest{
			Adapter:  adapter,
			Domain:   s.Board.Domain,
			Deadline: now.Add(replicaTimeout),
			Replica:  true,
		})
		if err != nil {
			events.Log(s.Logger, events.PlacementFailed, log.Fields{
				"adapter": adapter,
				"replica": true,
				"error":   err.Error(),
			})
		}
	}()
}

const (
	// replicaTimeout bounds a wish that no call waits for.
	replicaTimeout = time.Second
	// replicaMemory bounds the adapters whose last wish is remembered.
	replicaMemory = 1000
)

// try sends the call to one backend server and reports whether the caller has
// its final answer.
func (c *session) try(ctx context.Context, choice dispatch.Choice) (done bool) {
	s := c.service
	server := choice.Candidate.Server
	unread := max(0, c.call.PromptTokens-choice.Candidate.CachedTokens)
	t := &try{
		session: c,
		server:  server,
		waiting: unread,
	}
	tryContext, cancel := context.WithCancel(ctx)
	defer cancel()
	t.watch(cancel)
	defer t.stopWatch()
	s.Board.BeginCall(server.ID, c.call.Adapter, unread)
	answer, err := s.Backend.Send(tryContext, c.call, c.dispatch(choice))
	if err != nil {
		t.end(true)
		return c.sendFailed(ctx, server, err)
	}
	c.sends++
	s.noteAnswer(server)
	if answer.NotRun {
		_ = answer.Body.Close()
		t.end(!answer.Misdirected)
		return c.rejected(server, answer)
	}
	c.runs++
	return t.pass(ctx, answer)
}

func (c *session) dispatch(choice dispatch.Choice) pomelospring.Dispatch {
	d := pomelospring.Dispatch{
		Server:          choice.Candidate.Server,
		Team:            c.team,
		Priority:        c.priority,
		AdapterVersion:  choice.Candidate.Version,
		ResumeAfter:     c.lastEvent,
		Deadline:        c.deadline,
		FreshConnection: !c.route.Repeatable(),
	}
	if !c.call.NeedsAdapter() {
		d.AdapterVersion = 0
	}
	return d
}

// sendFailed decides what follows a try without an answer.
func (c *session) sendFailed(ctx context.Context, server pomelospring.FleetServer, err error) (done bool) {
	c.avoid[server.ID] = true
	notSent := errors.Is(err, pomelospring.ErrNotSent)
	if notSent {
		c.service.Board.RecordUnreachable(server.ID, c.service.Clock())
		c.service.noteTimeout(server, err)
	} else {
		c.sends++
		c.runs++
	}
	again := ctx.Err() == nil && c.mayRetry(notSent)
	c.logRetry(server, err.Error(), again)
	if again {
		return false
	}
	c.giveUp(ctx, c.unanswered())
	return true
}

// noteTimeout tells the board of a connection that timed out; one that was
// refused shows that its machine can be reached.
func (s *Service) noteTimeout(server pomelospring.FleetServer, err error) {
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return
	}
	if s.Board.RecordConnectTimeout(server.ID, s.Clock()) {
		events.Log(s.Logger, events.DomainCutOff, log.Fields{
			"domain": server.Domain,
			"server": server.ID,
		})
	}
}

// noteAnswer tells the board of a sign of life.
func (s *Service) noteAnswer(server pomelospring.FleetServer) {
	if s.Board.RecordContact(server.Domain, s.Clock()) {
		events.Log(s.Logger, events.DomainReached, log.Fields{
			"domain": server.Domain,
			"server": server.ID,
		})
	}
}

// rejected decides what follows a backend server's word that it did not run
// the call.
func (c *session) rejected(server pomelospring.FleetServer, answer *pomelospring.BackendAnswer) (done bool) {
	c.avoid[server.ID] = true
	if answer.Misdirected && c.call.NeedsAdapter() {
		c.service.Board.RemoveResident(server.ID, c.call.Adapter)
	}
	again := c.sends < sendLimit && c.retries.Take()
	c.logRetry(server, http.StatusText(answer.Status), again)
	if again {
		return false
	}
	c.giveUp(context.Background(), pomelospring.NewRefusal(pomelospring.CodeOverloaded, comeBack(c.service.Clock()), "backend servers rejected the call"))
	return true
}

// mayRetry reports whether another try may follow one that got no answer. What
// was not sent has not run; the rest may be sent again only where it is
// repeatable, to as many servers as the route allows.
func (c *session) mayRetry(notSent bool) bool {
	if notSent {
		return len(c.avoid) < sendLimit
	}
	return c.route.Repeatable() && c.runs < c.route.Attempts && c.retries.Take()
}

// unanswered is the refusal after the last try got no answer.
func (c *session) unanswered() *pomelospring.Refusal {
	now := c.service.Clock()
	if c.runs == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, comeBack(now), "no backend server could be reached")
	}
	if !now.Before(c.deadline) {
		return c.timeout()
	}
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "the backend server gave no answer")
}

func (c *session) timeout() *pomelospring.Refusal {
	if c.runs == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeTimeout, comeBack(c.service.Clock()), "the time for the call has passed")
	}
	return pomelospring.NewUnknown(pomelospring.CodeTimeout, "the time for the call has passed")
}

// giveUp ends the call without a success: with a backend server's failure if
// there is one, else with a refusal that is true of all tries.
func (c *session) giveUp(ctx context.Context, refusal *pomelospring.Refusal) {
	if errors.Is(ctx.Err(), context.Canceled) {
		events.Log(c.service.Logger, events.CallerLeft, log.Fields{
			"request": c.call.ID,
			"sends":   c.sends,
		})
		c.out.Abort()
		return
	}
	if c.passedOn {
		events.Log(c.service.Logger, events.CallBroken, log.Fields{
			"request":   c.call.ID,
			"lastEvent": c.lastEvent,
			"reason":    refusal.Message,
		})
		c.out.Abort()
		return
	}
	if c.failure != nil {
		c.out.Head(c.failure, int64(len(c.failureBody)))
		c.write(c.failureBody)
		c.logServed(c.failureServer, c.failure.Status)
		return
	}
	if c.runs > 0 && refusal.Outcome == pomelospring.NotRun {
		// An earlier try may have run, so the promise can't be given.
		refusal = pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%s, after a try that may have run", refusal.Message)
	}
	c.refuse(refusal)
}

func (c *session) logRetry(server pomelospring.FleetServer, reason string, again bool) {
	events.Log(c.service.Logger, events.CallRetried, log.Fields{
		"request": c.call.ID,
		"server":  server.ID,
		"reason":  reason,
		"again":   again,
		"sends":   c.sends,
		"runs":    c.runs,
	})
}

// write passes bytes on; a caller that has gone shows in the context.
func (c *session) write(piece []byte) bool {
	return c.out.Write(piece) == nil
}
