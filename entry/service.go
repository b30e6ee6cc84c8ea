// Package entry serves calls: it matches the route, checks the key, charges the
// team's budget, chooses a backend server, sends the call to it and forwards the
// answer, with retries and resumed streams. It reaches callers and backend
// servers through the interfaces of the root package.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quarantine"
	"github.com/pomelospring/pomelospring/quota"
	"github.com/pomelospring/pomelospring/retry"
)

const (
	// retryRatio is how many retries each first attempt adds to the budget of its
	// service. It stays under the documented bound of a fifth.
	retryRatio = 0.15
	// A refused call may be retried after minRetryAfter plus a random part of
	// retryAfterSpread: soon, as placements and loads change within a second, and
	// spread so that refused callers don't all return at once.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterSpread = 350 * time.Millisecond
	// Calls refused because of a pause may be retried after its end plus a random part
	// of pauseRetryFraction of the time until then, from retryAfterSpread to
	// maxPauseRetrySpread: a longer pause collects more callers.
	pauseRetryFraction  = 0.1
	maxPauseRetrySpread = 2 * time.Second
	// averageCostWeight is the weight of one request in the moving average of its
	// route's cost.
	averageCostWeight = 0.05
	// maxTrackedRoutes bounds the routes whose average cost is remembered.
	maxTrackedRoutes = 5000
	// Callers leave a stream when no event comes for minClientTimeout,
	// clientTimeoutTargets times the route's latency target, or
	// clientTimeoutPauses times its target for pauses, whichever is longest.
	minClientTimeout     = 2 * time.Second
	clientTimeoutTargets = 4
	clientTimeoutPauses  = 8
	// notReadyRetryAfter is the retry time given by an instance that has no
	// configuration yet.
	notReadyRetryAfter = 300 * time.Millisecond
)

// Service admits calls and serves them from backend servers.
type Service struct {
	Board       *fleet.Board
	Backend     pomelospring.Backend
	Coordinator pomelospring.Coordinator
	Ledger      *quota.Ledger
	Logger      log.Interface
	Clock       pomelospring.Clock
	// RetrySlack is the retry burst of each service on this instance, until
	// SetRetrySlack is called.
	RetrySlack float64
	// Tokens asks leaders for tokens of teams; if it is nil, each instance decides by
	// itself.
	Tokens TokenLeaders
	// Counters counts results of calls, and TokenCounts tokens; they may be nil.
	Counters    Counters
	TokenCounts TokenCounters
	// Engine is asked whether a model worker has ended, and Quarantine holds the
	// prompt parts under which workers ended.
	Engine     pomelospring.Engine
	Quarantine *quarantine.Register
	// Origins says at which software version streams began; it may be nil.
	Origins pomelospring.StreamOrigins
	// Permits gives out the permits of brittle servers; it may be nil.
	Permits pomelospring.PermitIssuer
	// Stop is the planned stop of the instance; it may be nil.
	Stop *Stop

	mu      sync.Mutex
	retries map[string]*retry.Budget
	// nextReplicaRequests is when another replica of an adapter may be requested.
	nextReplicaRequests map[string]time.Time
	// averageCosts has the average cost of a request by route, in tokens.
	averageCosts map[string]float64
	// crashChecks has the calls whose connections ended at a server that is being asked
	// whether it has ended, by the server's ID.
	crashChecks map[string][]brokenCall
}

// notices records what backend servers announce about themselves.
func (s *Service) notices() fleet.Notices {
	return fleet.Notices{
		Board:  s.Board,
		Logger: s.Logger,
		Clock:  s.Clock,
	}
}

// Counters counts results of calls.
type Counters interface {
	Served(team string, first time.Duration)
	Refused(team string, code pomelospring.Code)
}

// TokenCounters counts the tokens that calls of teams asked for.
type TokenCounters interface {
	TokensAsked(team string, tokens float64, admitted bool)
}

// TokenLeaders are the leaders that decide on tokens which one instance may not give out
// by itself.
type TokenLeaders interface {
	// AskTokens asks the leader at an index of the ledger, and charges what is granted.
	AskTokens(ctx context.Context, leader int, request quota.Request) quota.Decision
}

// session is the state of one call while it is served.
type session struct {
	service       *Service
	call          *pomelospring.Call
	out           pomelospring.Responder
	route         *pomelospring.PolicyRoute
	limits        *pomelospring.EngineLimits
	targetService string
	team          string
	// priority is the call's priority in the engine; it is negative for services
	// without an engine.
	priority      int
	chargedTokens float64
	// tokenReason is why the team's tokens were refused.
	tokenReason string
	// parts are the prompt parts that other calls may share.
	parts []string
	// fingerprint identifies this call and its repeats.
	fingerprint string
	// isTrial is set if the call is let through although its parts are blocked.
	isTrial  bool
	deadline time.Time
	// firstEventDeadline is when the caller of a stream leaves if it has got no
	// event. For other calls it is deadline.
	firstEventDeadline time.Time
	retries            *retry.Budget

	// unreportedLoad is the work for the call's adapter that other instances sent
	// and that is not reported here yet. If there is any, hashPosition, from 0 to 1,
	// spreads calls over the candidates.
	unreportedLoad time.Duration
	hashPosition   float64

	// avoid has the IDs of backend servers that failed this call; missing says of
	// some that they answered to lack its adapter.
	avoid   map[string]bool
	missing map[string]bool
	// sent has the IDs of backend servers that the call was sent to, by takeovers too.
	sent sync.Map
	// unreachable counts the backend servers that no connection could be made to.
	unreachable int
	// attemptsSent counts attempts that reached a backend server, and
	// attemptsExecuted those of them that may have been executed.
	attemptsSent     int
	attemptsExecuted int
	// attemptsBroken counts attempts whose connection broke before the answer was
	// whole.
	attemptsBroken int
	// soughtCopy is set once the call's adapter was looked for on servers that name no
	// limit.
	soughtCopy bool
	// forwarded is set once a part of an answer has been sent to the caller.
	forwarded bool
	// lastEventID is the ID of the last forwarded event. firstEventAt and
	// lastEventAt are when the first and the last one were forwarded.
	lastEventID  string
	firstEventAt time.Time
	lastEventAt  time.Time
	// longestPause is the longest time between forwarded events.
	longestPause time.Duration
	// placementTime is how long the call waited for its adapter to be placed.
	placementTime time.Duration
	// software is the version at which alone the stream may go on; nil before its first
	// event.
	software atomic.Pointer[string]
	// streamHeader is the header of the answer that began the stream.
	streamHeader http.Header
	// resumedServer is the server of the last resumption that was logged.
	resumedServer string
	// successor is the attempt that has taken the call over from the last one.
	successor *successor
	// failure is the complete failed answer of an attempt. It is forwarded if no
	// later attempt succeeds.
	failure       *pomelospring.BackendAnswer
	failureBody   []byte
	failureServer pomelospring.FleetServer
}

// Serve takes one call to its final answer or refusal.
func (s *Service) Serve(ctx context.Context, call *pomelospring.Call, out pomelospring.Responder) {
	c := &session{
		service:     s,
		call:        call,
		out:         out,
		avoid:       map[string]bool{},
		missing:     map[string]bool{},
		lastEventID: call.ResumeAfter,
		priority:    -1,
	}
	ctx, release := s.Stop.watch(ctx)
	defer release()
	if refusal := c.admit(ctx); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.run(ctx)
}

// admit matches the route, checks the key and charges the team's budget. It
// returns a refusal if the call can't be served.
func (c *session) admit(ctx context.Context) *pomelospring.Refusal {
	s := c.service
	now := s.Clock()
	policy := s.Board.Policy()
	if policy == nil || !s.Board.Ready() {
		return pomelospring.NewRefusal(pomelospring.CodeNotReady, now.Add(notReadyRetryAfter), "no configuration has been received yet")
	}
	c.route = policy.Match(strings.ToLower(c.call.Host), c.call.Path)
	if c.route == nil {
		return s.refuseUnknown(pomelospring.CodeNotFound, now, "no route for this host and path")
	}
	team, refusal := c.authorize(policy, now)
	if refusal != nil {
		return refusal
	}
	if refusal = c.applyHomes(team, now); refusal != nil {
		return refusal
	}
	c.deadline = c.call.Arrived.Add(c.route.Timeout)
	if !c.call.Deadline.IsZero() && c.call.Deadline.Before(c.deadline) {
		c.deadline = c.call.Deadline
	}
	if refusal = s.Stop.refusal(c.deadline, now); refusal != nil {
		return refusal
	}
	c.firstEventDeadline = c.deadline
	if timeoutAt := c.call.Arrived.Add(clientTimeout(c.route)); c.route.Streaming && timeoutAt.Before(c.deadline) {
		c.firstEventDeadline = timeoutAt
	}
	c.setService(pickSplit(c.route.Splits), policy, team)
	c.parts = c.call.SharedParts()
	c.fingerprint = c.call.Fingerprint()
	if refusal = c.checkQuarantine(ctx, now); refusal != nil {
		return refusal
	}
	if refusal = c.charge(ctx, team, now); refusal != nil {
		return refusal
	}
	if refusal = c.findOrigin(ctx, policy, team); refusal != nil {
		return refusal
	}
	c.retries = s.retryBudget(c.targetService)
	c.retries.RecordAttempt()
	return nil
}

// applyHomes keeps the call in the homes of its route and team. It returns a refusal if the
// fleet has no failure domain there.
func (c *session) applyHomes(team pomelospring.PolicyTeam, now time.Time) *pomelospring.Refusal {
	c.call.Homes = pomelospring.CommonHomes(c.route.Homes, team.Homes)
	if c.service.Board.HasHome(c.call.Homes) {
		return nil
	}
	events.Log(c.service.Logger, events.CallOutsideHomes, log.Fields{
		"request": c.call.ID,
		"route":   c.route.Name,
		"team":    c.team,
		"homes":   c.call.Homes,
	})
	return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, retryAfter(now), "no failure domain lies in the homes of the route and team")
}

// setService sets the service that runs the call.
func (c *session) setService(name string, policy *pomelospring.Policy, team pomelospring.PolicyTeam) {
	c.targetService = name
	c.limits = policy.Services[name].Engine
	c.priority = -1
	if c.limits == nil {
		return
	}
	c.priority = c.route.Priority
	if team.HasPriority {
		c.priority = team.Priority
	}
}

// authorize returns the team of the call's key, or a zero team where none is
// needed.
func (c *session) authorize(policy *pomelospring.Policy, now time.Time) (team pomelospring.PolicyTeam, refusal *pomelospring.Refusal) {
	name, known := policy.KeyTeams[c.call.Key]
	if known {
		c.team = name
		return policy.Teams[name], nil
	}
	if c.route.Open || len(policy.Teams) == 0 {
		return pomelospring.PolicyTeam{}, nil
	}
	return pomelospring.PolicyTeam{}, c.service.refuseUnknown(pomelospring.CodeKeyUnknown, now, "the key is not known")
}

// refuseUnknown returns the refusal of a call whose route or key is not in the
// configuration. It has a retry time only if the configuration may be outdated.
func (s *Service) refuseUnknown(code pomelospring.Code, now time.Time, message string) *pomelospring.Refusal {
	if s.Board.PolicyFresh(now) {
		return pomelospring.NewRefusal(code, time.Time{}, "%s", message)
	}
	return pomelospring.NewRefusal(pomelospring.CodeNotReady, retryAfter(now), "%s, in a configuration that may be outdated", message)
}

// charge takes the call's tokens from its team's budget.
func (c *session) charge(ctx context.Context, team pomelospring.PolicyTeam, now time.Time) *pomelospring.Refusal {
	if c.team == "" {
		return nil
	}
	tokens := team.PlainTokens
	if c.call.HasTokenCounts {
		tokens = float64(c.call.PromptTokens + c.call.OutputTokens)
	}
	s := c.service
	request := quota.Request{
		Team:        c.team,
		Tokens:      tokens,
		UsualTokens: s.updateAverageCost(c.route.Name, tokens),
		Priority:    c.priority,
		Call:        c.fingerprint,
	}
	decision := s.Ledger.Admit(request, now)
	if decision.AskLeader {
		decision = s.askLeader(ctx, decision.Leader, request, now)
	}
	if s.TokenCounts != nil {
		s.TokenCounts.TokensAsked(c.team, tokens, decision.Admitted)
	}
	if !decision.Admitted {
		c.tokenReason = decision.Reason
		return pomelospring.NewRefusal(pomelospring.CodeOverRate, decision.RetryAt, "the team is over its rate")
	}
	c.chargedTokens = tokens
	return nil
}

// askLeader has a leader decide on a request for tokens.
func (s *Service) askLeader(ctx context.Context, leader int, request quota.Request, now time.Time) quota.Decision {
	if s.Tokens == nil {
		return s.Ledger.AdmitUnanswered(request, now)
	}
	return s.Tokens.AskTokens(ctx, leader, request)
}

// refuse refunds a call that did not run, and counts, logs and sends the
// refusal.
func (c *session) refuse(refusal *pomelospring.Refusal) {
	s := c.service
	now := s.Clock()
	if refusal.Outcome == pomelospring.NotRun && c.chargedTokens > 0 {
		s.Ledger.Refund(c.team, c.chargedTokens, now)
	}
	if s.Counters != nil {
		s.Counters.Refused(c.team, refusal.Code)
	}
	fields := log.Fields{
		"request": c.call.ID,
		"team":    c.team,
		"code":    refusal.Code,
		"outcome": refusal.Outcome,
		"reason":  refusal.Message,
		"heldMs":  now.Sub(c.call.Arrived).Milliseconds(),
		"sends":   c.attemptsSent,
		"path":    c.call.Path,
		"content": c.fingerprint,
		"tokens":  c.call.PromptTokens + c.call.OutputTokens,
		"level":   int64(s.Ledger.Level(c.team, now)),
	}
	if c.tokenReason != "" {
		fields["tokenReason"] = c.tokenReason
	}
	if !refusal.RetryAt.IsZero() {
		fields["retryMs"] = refusal.RetryAt.Sub(now).Milliseconds()
	}
	events.Log(s.Logger, events.CallRefused, fields)
	c.out.Refuse(refusal)
}

// updateAverageCost adds a request to the average cost of its route and returns
// the average. A team's bucket must hold that much for the route's requests, so
// that those of cheap routes are not refused because of expensive ones.
func (s *Service) updateAverageCost(route string, tokens float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.averageCosts == nil || len(s.averageCosts) > maxTrackedRoutes {
		s.averageCosts = map[string]float64{}
	}
	cost, known := s.averageCosts[route]
	if !known {
		cost = tokens
	}
	cost += (tokens - cost) * averageCostWeight
	s.averageCosts[route] = cost
	return cost
}

// retryBudget returns the retry budget of a service and creates it on first use.
func (s *Service) retryBudget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retries == nil {
		s.retries = map[string]*retry.Budget{}
	}
	budget := s.retries[service]
	if budget == nil {
		budget = retry.NewBudgetWithCapacity(retryRatio, s.RetrySlack)
		s.retries[service] = budget
	}
	return budget
}

// SetRetrySlack changes the retry burst of each service on this instance.
func (s *Service) SetRetrySlack(slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.RetrySlack = slack
	for _, budget := range s.retries {
		budget.SetCapacity(slack)
	}
}

// clientTimeout is how long callers of a stream wait for its next event, as
// documented by the platform.
func clientTimeout(route *pomelospring.PolicyRoute) time.Duration {
	return max(minClientTimeout, clientTimeoutTargets*route.Target, clientTimeoutPauses*route.PauseTarget)
}

// pickSplit picks a service at random by weight.
func pickSplit(splits []pomelospring.ServiceSplit) string {
	if len(splits) == 1 {
		return splits[0].Service
	}
	total := 0.0
	for _, split := range splits {
		total += split.Weight
	}
	position := rand.Float64() * total
	for _, split := range splits {
		if position -= split.Weight; position < 0 {
			return split.Service
		}
	}
	return splits[len(splits)-1].Service
}

// retryAfter returns when a call refused now may be retried.
func retryAfter(now time.Time) time.Time {
	return now.Add(minRetryAfter + rand.N(retryAfterSpread))
}

// retryAfterPause returns when a call refused now may be retried after the end of a
// pause.
func retryAfterPause(end, now time.Time) time.Time {
	spread := time.Duration(pauseRetryFraction * float64(end.Sub(now)))
	return end.Add(rand.N(min(maxPauseRetrySpread, max(retryAfterSpread, spread))))
}
