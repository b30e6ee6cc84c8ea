package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// maxAttempts bounds the attempts of one call after rejections and failed
	// connections.
	maxAttempts = 3
	// maxUnreachable bounds the further servers tried after connections that
	// failed. A call that was not sent costs no backend server anything, so the
	// bound is what a caller can wait for where connections time out.
	maxUnreachable = 6
	// replicaQueueThreshold is the queue time above which another replica of an
	// adapter is requested. It is well above the quarter of a second that a load
	// takes, because every load is paid for.
	replicaQueueThreshold = 700 * time.Millisecond
	// localCopyDemand is the demand of this domain, in calls per second, from which
	// an adapter of another domain gets a copy here. Within the time that an
	// adapter in use stays resident, the calls then save more bytes between domains
	// and more delay than the load costs.
	localCopyDemand = 4.0
	// replicaRequestInterval is the minimum time between requests for replicas of
	// one adapter.
	replicaRequestInterval = 400 * time.Millisecond
	// idleTimeoutFraction is the fraction of the remaining time after which a
	// repeatable call that isn't streamed and has no answer is sent to another
	// server.
	idleTimeoutFraction = 0.45
	// placementTimeFraction is the fraction of the time until the caller's first
	// event is due that a call may wait for its adapter to be loaded.
	placementTimeFraction = 0.6
)

// run sends the call to one backend server after another until it has its final
// answer.
func (c *session) run(ctx context.Context) {
	if c.call.NeedsAdapter() {
		now := c.service.Clock()
		c.unreportedLoad = c.service.Board.UnreportedLoad(c.call.Adapter, now)
		c.hashPosition = dispatch.HashFraction(c.call.AffinityKey())
		c.service.Board.RecordDemand(c.call.Adapter, c.call.PromptTokens, now)
	}
	for {
		choice, refusal := c.choose(ctx)
		if refusal != nil {
			c.giveUp(ctx, refusal)
			return
		}
		if done := c.attempt(ctx, choice); done {
			return
		}
	}
}

// choose picks a backend server. If none has the call's adapter, it first asks
// the leader to place it.
func (c *session) choose(ctx context.Context) (choice dispatch.Choice, refusal *pomelospring.Refusal) {
	s := c.service
	now := s.Clock()
	if !now.Before(c.deadline) {
		return dispatch.Choice{}, c.timeoutRefusal()
	}
	if refusal = c.checkQuarantine(ctx, now); refusal != nil {
		return dispatch.Choice{}, refusal
	}
	if refusal = c.stopRefusal(now); refusal != nil {
		return dispatch.Choice{}, refusal
	}
	choice, candidates, refusal := c.pickWithPermit(ctx)
	if refusal != nil {
		return dispatch.Choice{}, refusal
	}
	now = s.Clock()
	// The choice may have waited for a placement, a turn or a permit.
	if refusal = c.stopRefusal(now); refusal != nil {
		c.returnPermit(choice, pomelospring.PermitUnsent)
		return dispatch.Choice{}, refusal
	}
	if c.limits != nil && c.call.NeedsAdapter() {
		s.requestCopies(c.call, choice, now)
	}
	c.logRouted(choice, candidates, c.lastEventID, now)
	return choice, nil
}

// stopRefusal refuses a call that no server has run yet if the instance stops before its
// deadline.
func (c *session) stopRefusal(now time.Time) *pomelospring.Refusal {
	if c.attemptsExecuted > 0 || c.forwarded {
		return nil
	}
	return c.service.Stop.refusal(c.deadline, now)
}

// pick picks a backend server among a number of candidates. If none has the call's
// adapter, or those that have it can't take a call soon because of the limits that they
// name, it first asks the leader to place it.
func (c *session) pick(ctx context.Context) (choice dispatch.Choice, candidates int, refusal *pomelospring.Refusal) {
	choice, candidates = c.chooseAmongCandidates()
	if c.call.NeedsAdapter() && !choice.Found {
		if refusal = c.requestPlacement(ctx, c.service.Clock()); refusal != nil {
			return dispatch.Choice{}, 0, refusal
		}
		choice, candidates = c.chooseAmongCandidates()
	}
	if c.call.NeedsAdapter() && choice.Candidate.TurnWait > maxCopyTurnWait && c.maySeekCopy() {
		// A refusal only means that the call waits for its turn.
		_ = c.requestPlacement(ctx, c.service.Clock())
		choice, candidates = c.chooseAmongCandidates()
	}
	now := c.service.Clock()
	if !choice.Found {
		return dispatch.Choice{}, 0, c.noServerRefusal(now)
	}
	if c.startsTooLate(now.Add(choice.Wait)) && choice.Candidate.TurnWait == 0 {
		return dispatch.Choice{}, 0, pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAfter(now), "the wait of %s exceeds the caller's timeout", choice.Wait)
	}
	return choice, candidates, nil
}

// chooseAmongCandidates chooses a server among those that have what the call needs.
func (c *session) chooseAmongCandidates() (choice dispatch.Choice, count int) {
	candidates := c.candidates(c.avoid, c.service.Clock())
	return dispatch.Choose(candidates, c.requirements()), len(candidates)
}

// candidates lists the servers other than those to avoid that can take the call. The version
// of its adapter that a server has must serve until the call begins there.
func (c *session) candidates(avoid map[string]bool, now time.Time) []dispatch.Candidate {
	candidates := c.service.Board.Candidates(c.targetService, c.call, c.withOtherSoftware(avoid), now)
	if !c.call.NeedsAdapter() {
		return candidates
	}
	requirements := c.requirements()
	return slices.DeleteFunc(candidates, func(candidate dispatch.Candidate) bool {
		return !c.mayBegin(candidate, now.Add(dispatch.Wait(candidate, requirements)))
	})
}

// mayBegin reports whether the version of the call's adapter that a server has may still
// serve at a time.
func (c *session) mayBegin(candidate dispatch.Candidate, at time.Time) bool {
	return !c.call.NeedsAdapter() || c.service.Board.MayServe(c.call.Adapter, candidate.Version, at)
}

// startsTooLate reports whether the caller would have left before a call starts at a
// model worker.
func (c *session) startsTooLate(startsAt time.Time) bool {
	return c.limits != nil && !c.forwarded && startsAt.After(c.firstEventDeadline)
}

// logRouted logs the choice of a server among a number of candidates, which is to go on
// after the event with an ID.
func (c *session) logRouted(choice dispatch.Choice, candidates int, resumeAfter string, now time.Time) {
	events.Log(c.service.Logger, events.CallRouted, log.Fields{
		"request":    c.call.ID,
		"team":       c.team,
		"service":    c.targetService,
		"adapter":    c.call.Adapter,
		"version":    choice.Candidate.Version,
		"server":     choice.Candidate.Server.ID,
		"software":   choice.Candidate.Server.Software,
		"after":      resumeAfter,
		"resumes":    c.call.Resumes,
		"waitMs":     choice.Wait.Milliseconds(),
		"running":    choice.Candidate.Running,
		"unseenMs":   c.unreportedLoad.Milliseconds(),
		"waiting":    choice.Candidate.WaitingTokens,
		"kept":       choice.Candidate.CachedTokens,
		"prompt":     c.call.PromptTokens,
		"tokens":     c.call.PromptTokens + c.call.OutputTokens,
		"candidates": candidates,
		"limit":      c.service.Board.BoundOf(choice.Candidate.Server.ID, now).PerSecond(1),
		"policyMs":   c.service.Board.PolicyAge(now).Milliseconds(),
		"heldMs":     now.Sub(c.call.Arrived).Milliseconds(),
	})
}

// requirements returns what the call requires of a backend server.
func (c *session) requirements() dispatch.Requirements {
	requirements := dispatch.Requirements{
		Domain:       c.service.Board.Domain,
		PromptTokens: c.call.PromptTokens,
		Model:        c.limits != nil,
		Speeds:       c.service.Board.Speeds(c.targetService),
	}
	if c.call.NeedsAdapter() {
		requirements.Affinity = c.call.Adapter
		requirements.UnreportedLoad = c.unreportedLoad
		requirements.HashPosition = c.hashPosition
	}
	return requirements
}

// requestPlacement asks the leader to place the call's adapter and waits for it.
func (c *session) requestPlacement(ctx context.Context, now time.Time) *pomelospring.Refusal {
	if refusal := c.pausedRefusal(now); refusal != nil {
		return refusal
	}
	requestedAt := now
	outcome, err := c.place(ctx, c.latestStart(now))
	now = c.service.Clock()
	c.placementTime += now.Sub(requestedAt)
	if err != nil {
		events.Log(c.service.Logger, events.PlacementFailed, log.Fields{
			"request": c.call.ID,
			"adapter": c.call.Adapter,
			"error":   err.Error(),
		})
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, retryAfter(now), "no worker has the adapter and the leader could not be asked to place it")
	}
	if outcome.Server == "" {
		if turnAt, limited := c.service.Board.FirstTurn(c.targetService, c.call, now); limited && turnAt.After(c.latestStart(now)) {
			return limitRefusal(turnAt, now)
		}
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, outcome.RetryAt, "the adapter could not be loaded: %s", outcome.Reason)
	}
	// The leader's choice may be in avoid: the worker may have rejected the call
	// only because the adapter was still loading, which the leader knows.
	delete(c.avoid, outcome.Server)
	return nil
}

// place asks the leader to place the call's adapter on a server that takes calls at once,
// or else on one whose limit lets it take the call in time.
func (c *session) place(ctx context.Context, deadline time.Time) (outcome pomelospring.PlacementOutcome, err error) {
	now := c.service.Clock()
	request := c.placementRequest(c.avoid, c.missing, deadline, now)
	outcome, err = c.service.Coordinator.Place(ctx, request)
	if err != nil || outcome.Server != "" {
		return outcome, err
	}
	unrestricted := c.placementRequest(c.avoid, c.missing, deadline, deadline)
	if len(unrestricted.Unusable) == len(request.Unusable) {
		return outcome, err
	}
	return c.service.Coordinator.Place(ctx, unrestricted)
}

// placementRequest returns a request to place the call's adapter on another server
// than those to avoid, of which those in missing answered to lack it, and than those
// whose limit gives the call no turn until turnBy.
func (c *session) placementRequest(avoid, missing map[string]bool, deadline, turnBy time.Time) pomelospring.PlacementRequest {
	request := pomelospring.PlacementRequest{
		Request:  c.call.ID,
		Adapter:  c.call.Adapter,
		Domain:   c.service.Board.Domain,
		Deadline: deadline,
		Homes:    c.call.Homes,
		Unusable: append(c.service.Board.UnusableServers(c.targetService, turnBy, c.service.Clock()), c.otherSoftware()...),
	}
	for id := range avoid {
		switch {
		case missing[id]:
			request.Missing = append(request.Missing, id)
		case !slices.Contains(request.Unusable, id):
			request.Avoid = append(request.Avoid, id)
		}
	}
	return request
}

// requestCopies asks for one more copy of an adapter that is resident: if its
// queue is long, or if this domain has none and calls often enough.
//
// For load: an adapter in demand beyond one worker, or in several domains.
func (s *Service) requestCopies(call *pomelospring.Call, choice dispatch.Choice, now time.Time) {
	request := pomelospring.PlacementRequest{
		Adapter:  call.Adapter,
		Domain:   s.Board.Domain,
		Deadline: now.Add(replicaRequestTimeout),
		Homes:    call.Homes,
	}
	switch {
	case choice.Candidate.AtPace(s.Board.Speeds("").PrefillTime(choice.Candidate.WaitingTokens)) > replicaQueueThreshold:
		request.Replica = true
	case choice.Candidate.Server.Domain != s.Board.Domain && s.ownDomainTakes(call) && s.Board.DomainDemand(call.Adapter, now) > localCopyDemand:
		request.Optional, request.OwnDomain, request.AtOnce = true, true, true
	default:
		return
	}
	request.Unusable = s.Board.UnusableServers(choice.Candidate.Server.Service, now.Add(maxCopyTurnWait), now)
	s.requestCopy(request, now)
}

// ownDomainTakes reports whether the servers of this instance's domain may take a call.
func (s *Service) ownDomainTakes(call *pomelospring.Call) bool {
	return !s.Board.Evacuated(s.Board.Domain) && s.Board.InHomes(call.Homes, s.Board.Domain)
}

// requestCopy sends a placement request that no call waits for.
func (s *Service) requestCopy(request pomelospring.PlacementRequest, now time.Time) {
	adapter := request.Adapter
	s.mu.Lock()
	if s.nextReplicaRequests == nil {
		s.nextReplicaRequests = map[string]time.Time{}
	}
	if now.Before(s.nextReplicaRequests[adapter]) {
		s.mu.Unlock()
		return
	}
	if len(s.nextReplicaRequests) > maxTrackedReplicas {
		clear(s.nextReplicaRequests)
	}
	s.nextReplicaRequests[adapter] = now.Add(replicaRequestInterval)
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), replicaRequestTimeout)
		defer cancel()
		if _, err := s.Coordinator.Place(ctx, request); err != nil {
			events.Log(s.Logger, events.PlacementFailed, log.Fields{
				"adapter": adapter,
				"replica": request.Replica,
				"error":   err.Error(),
			})
		}
	}()
}

const (
	// replicaRequestTimeout bounds a placement request that no call waits for.
	replicaRequestTimeout = time.Second
	// maxTrackedReplicas bounds the adapters whose last replica request is
	// remembered.
	maxTrackedReplicas = 1000
)

// attempt sends the call to one backend server and reports whether the caller
// has its final answer.
func (c *session) attempt(ctx context.Context, choice dispatch.Choice) (done bool) {
	a := c.newAttempt(choice)
	attemptContext, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	defer func() { a.stop() }()
	a.startWatchdog(ctx)
	answer, err := a.send(attemptContext, c.lastEventID)
	for {
		c.successor = nil
		done = a.conclude(ctx, answer, err)
		if done || c.successor == nil {
			return done
		}
		a.stop()
		a, answer, err = c.successor.attempt, c.successor.answer, nil
		a.startWatchdog(ctx)
	}
}

// newAttempt returns an attempt at the chosen server that is not sent yet.
func (c *session) newAttempt(choice dispatch.Choice) *attempt {
	server := choice.Candidate.Server
	return &attempt{
		session:       c,
		choice:        choice,
		server:        server,
		prefillTokens: max(0, c.call.PromptTokens-choice.Candidate.CachedTokens),
		sentAt:        c.service.Clock(),
		lateAfter:     dispatch.LateAfter(choice.Candidate, c.requirements()),
		queued:        choice.Candidate.WaitingTokens > 0 || c.limits == nil && choice.Candidate.Running >= server.Slots,
	}
}

// send sends the call and returns once the head of the answer has arrived.
func (a *attempt) send(ctx context.Context, resumeAfter string) (answer *pomelospring.BackendAnswer, err error) {
	c := a.session
	c.service.Board.BeginCall(a.server.ID, c.call.Adapter, a.prefillTokens)
	c.service.Board.RecordProbe(a.server.ID, c.service.Clock())
	dispatched := c.dispatch(a.choice, resumeAfter)
	a.resumes = resumeAfter != ""
	c.sent.Store(a.server.ID, true)
	answer, err = c.service.Backend.Send(ctx, c.call, dispatched)
	a.outcome = permitOutcome(answer, err, errors.Is(ctx.Err(), context.Canceled))
	if err != nil {
		return nil, err
	}
	c.service.notices().Record(a.server, answer.Notice)
	if resumeAfter == "" || answer.NotRun {
		return answer, nil
	}
	if err = a.confirmSoftware(ctx); err != nil {
		_ = answer.Body.Close()
		// The server did not end under this call.
		a.isProven = true
		return nil, err
	}
	return answer, nil
}

// conclude takes an attempt from the head of its answer, or the error in place of
// it, to its end, and reports whether the caller has its final answer.
func (a *attempt) conclude(ctx context.Context, answer *pomelospring.BackendAnswer, err error) (done bool) {
	c := a.session
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	c.attemptsSent++
	c.service.recordContact(a.server)
	if answer.NotRun {
		_ = answer.Body.Close()
		return a.handleRejection(ctx, answer)
	}
	c.attemptsExecuted++
	return a.forward(ctx, answer)
}

// dispatch returns what the backend client needs to send the call.
func (c *session) dispatch(choice dispatch.Choice, resumeAfter string) pomelospring.Dispatch {
	_, sentBefore := c.sent.Load(choice.Candidate.Server.ID)
	d := pomelospring.Dispatch{
		Server:         choice.Candidate.Server,
		Team:           c.team,
		Priority:       c.priority,
		AdapterVersion: choice.Candidate.Version,
		ResumeAfter:    resumeAfter,
		Deadline:       c.deadline,
		// A server may send its answer to the first send once more on a kept connection.
		FreshConnection: !c.route.Repeatable() || sentBefore,
	}
	if !c.call.NeedsAdapter() {
		d.AdapterVersion = 0
	}
	return d
}

// handleSendError handles an attempt that got no answer, and reports whether
// the call has ended.
func (a *attempt) handleSendError(ctx context.Context, err error) (done bool) {
	c, server := a.session, a.server
	notSent := errors.Is(err, pomelospring.ErrNotSent)
	// That no connection was made before the caller left, or that the server's failure domain
	// is evacuated, shows nothing of the server.
	abandoned := notSent && (errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, pomelospring.ErrEvacuated))
	a.end(!abandoned && !a.isSilent())
	err = a.cause(err)
	c.avoid[server.ID] = true
	if notSent && !abandoned {
		c.unreachable++
		c.service.Board.RecordUnreachable(server.ID, c.service.Clock())
		c.service.recordConnectTimeout(server, err)
	}
	if !notSent {
		c.attemptsSent++
		c.attemptsExecuted++
		a.recordBreak(ctx)
	}
	c.successor = a.settle()
	willRetry := c.successor != nil || ctx.Err() == nil && c.mayRetry(notSent)
	c.logRetry(server, err.Error(), willRetry)
	if willRetry {
		return false
	}
	c.giveUp(ctx, c.unansweredRefusal())
	return true
}

// recordConnectTimeout records a connection that timed out as evidence of a
// cut-off. A refused connection is no evidence, as it shows that the server's host
// is reachable.
func (s *Service) recordConnectTimeout(server pomelospring.FleetServer, err error) {
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

// recordContact records that a server answers and that its failure domain is
// reachable.
func (s *Service) recordContact(server pomelospring.FleetServer) {
	if s.Board.RecordAnswer(server.ID, s.Clock()) {
		events.Log(s.Logger, events.ServerAnswered, log.Fields{
			"server": server.ID,
		})
	}
	if s.Board.RecordContact(server.Domain, s.Clock()) {
		events.Log(s.Logger, events.DomainReached, log.Fields{
			"domain": server.Domain,
			"server": server.ID,
		})
	}
}

// isFull reports whether a server turned a call away for lack of room: not for a limit, for a
// pause or because it leaves.
func isFull(answer *pomelospring.BackendAnswer) bool {
	return answer.Status == http.StatusServiceUnavailable && !answer.Notice.Leaving && answer.Notice.PausedUntil.IsZero()
}

// handleRejection handles the answer of a backend server that did not run the
// call, and reports whether the call has ended.
func (a *attempt) handleRejection(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c, server := a.session, a.server
	a.end(!answer.Misdirected)
	if isFull(answer) {
		c.service.Board.RecordRejection(server.ID, max(answer.Notice.Load.Running, a.choice.Candidate.Running), c.service.Clock())
	}
	c.avoid[server.ID] = true
	if answer.Misdirected && c.call.NeedsAdapter() {
		c.missing[server.ID] = true
		c.service.Board.RemoveResident(server.ID, c.call.Adapter)
	}
	c.successor = a.settle()
	refusal := c.pausedRefusal(c.service.Clock())
	willRetry := c.successor != nil || refusal == nil && ctx.Err() == nil && c.attemptsSent < maxAttempts && c.retries.Take()
	c.logRetry(server, http.StatusText(answer.Status), willRetry)
	if willRetry {
		return false
	}
	if refusal == nil {
		refusal = pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAfter(c.service.Clock()), "backend servers rejected the call")
	}
	c.giveUp(ctx, refusal)
	return true
}

// noServerRefusal returns the refusal of a call that no server can take now.
func (c *session) noServerRefusal(now time.Time) *pomelospring.Refusal {
	if refusal := c.pausedRefusal(now); refusal != nil {
		return refusal
	}
	return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, retryAfter(now), "no backend server can take the call")
}

// pausedRefusal returns the refusal of a call while all servers that could take it
// want nothing from this instance, or nil.
func (c *session) pausedRefusal(now time.Time) *pomelospring.Refusal {
	end, paused := c.service.Board.PauseEnd(c.targetService, c.call, now)
	if !paused {
		return nil
	}
	return pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAfterPause(end, now), "all backend servers that could take the call asked for a pause, the first one for %s more", end.Sub(now).Round(time.Millisecond))
}

// mayRetry reports whether another attempt may follow a failed one. A call that
// was not sent has not run and can go to another server. One that may have run
// is sent again only if its route is repeatable and has attempts left.
func (c *session) mayRetry(notSent bool) bool {
	if notSent {
		return c.unreachable <= maxUnreachable && c.service.Clock().Before(c.firstEventDeadline)
	}
	return c.route.Repeatable() && c.attemptsExecuted < c.route.Attempts && c.maySendAgain(c.attemptsBroken) && c.retries.Take()
}

// unansweredRefusal returns the refusal after the last attempt got no answer.
func (c *session) unansweredRefusal() *pomelospring.Refusal {
	now := c.service.Clock()
	if c.attemptsExecuted == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, retryAfter(now), "no backend server could be reached")
	}
	if !now.Before(c.deadline) {
		return c.timeoutRefusal()
	}
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "the backend server gave no answer")
}

// timeoutRefusal returns the refusal of a call whose deadline has passed.
func (c *session) timeoutRefusal() *pomelospring.Refusal {
	if c.attemptsExecuted == 0 {
		return pomelospring.NewRefusal(pomelospring.CodeTimeout, retryAfter(c.service.Clock()), "the call's deadline has passed")
	}
	return pomelospring.NewUnknown(pomelospring.CodeTimeout, "the call's deadline has passed")
}

// giveUp ends the call without success: with a backend server's failed answer if
// there is one, otherwise with a refusal whose outcome holds for all attempts.
func (c *session) giveUp(ctx context.Context, refusal *pomelospring.Refusal) {
	if callerLeft(ctx) {
		events.Log(c.service.Logger, events.CallerLeft, log.Fields{
			"request": c.call.ID,
			"sends":   c.attemptsSent,
			"heldMs":  c.service.Clock().Sub(c.call.Arrived).Milliseconds(),
		})
		c.out.Abort()
		return
	}
	if c.forwarded {
		events.Log(c.service.Logger, events.CallBroken, log.Fields{
			"request":   c.call.ID,
			"lastEvent": c.lastEventID,
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
	if c.attemptsExecuted > 0 && refusal.Outcome == pomelospring.NotRun {
		// An earlier attempt may have run, so the call can't be reported as not run.
		refusal = pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%s, after an attempt that may have run", refusal.Message)
	}
	c.refuse(refusal)
}

func (c *session) logRetry(server pomelospring.FleetServer, reason string, willRetry bool) {
	events.Log(c.service.Logger, events.CallRetried, log.Fields{
		"request": c.call.ID,
		"server":  server.ID,
		"reason":  reason,
		"again":   willRetry,
		"sends":   c.attemptsSent,
		"runs":    c.attemptsExecuted,
		"output":  !c.firstEventAt.IsZero(),
		"parts":   c.parts,
		"content": c.fingerprint,
	})
}

// write forwards bytes to the caller and reports whether it succeeded.
func (c *session) write(chunk []byte) bool {
	return c.out.Write(chunk) == nil
}
