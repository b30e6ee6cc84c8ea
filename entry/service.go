// Package entry takes a caller's request to a backend server and its answer
// back: key, team and route, budget, choice of server, retries and resumption.
// It speaks to both sides through the interfaces of the root package.
package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
	"github.com/pomelospring/pomelospring/retry"
)

const (
	// retryEarned is the part of first tries that retries may reach, under the
	// users' bound of a fifth.
	retryEarned = 0.15
	// comeBackLeast and comeBackSpread say when a call that found no place may
	// come back: soon, as places and loads change within a second, and spread
	// so that refused callers do not return together.
	comeBackLeast  = 250 * time.Millisecond
	comeBackSpread = 350 * time.Millisecond
	// costWeight is the weight of one request in the average cost of its route.
	costWeight = 0.05
	// costMemory bounds the routes whose cost is remembered.
	costMemory = 5000
	// Callers leave a stream after a gap of leastPatience, of patienceTargets
	// times its target or patiencePauses times its pause, whichever is longest.
	leastPatience   = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// notReadyWait is when to come back to an instance that just started.
	notReadyWait = 300 * time.Millisecond
)

// Service serves calls.
type Service struct {
	Board       *fleet.Board
	Backend     pomelospring.Backend
	Coordinator pomelospring.Coordinator
	Ledger      *quota.Ledger
	Logger      log.Interface
	Clock       pomelospring.Clock
	// RetrySlack is how many retries this instance may save up for a service
	// until SetRetrySlack is called.
	RetrySlack float64
	// Counters takes what became of calls; nil counts nothing.
	Counters Counters

	mu       sync.Mutex
	retries  map[string]*retry.Budget
	replicas map[string]time.Time
	// costs are what requests of a route cost on average, in tokens.
	costs map[string]float64
}

// Counters counts what became of calls.
type Counters interface {
	Served(team string, first time.Duration)
	Refused(team string, code pomelospring.Code)
}

// session is one call on its way.
type session struct {
	service *Service
	call    *pomelospring.Call
	out     pomelospring.Responder
	route   *pomelospring.PolicyRoute
	limits  *pomelospring.EngineLimits
	target  string
	team    string
	// priority is the engine's; negative for plain services.
	priority int
	charged  float64
	deadline time.Time
	// firstBy is when the caller of a stream leaves without a first event.
	firstBy time.Time
	retries *retry.Budget

	// unseen is the work on the call's adapter that others sent without this
	// instance knowing yet, and draw spreads calls over it.
	unseen time.Duration
	draw   float64

	// avoid names backend servers that failed this call.
	avoid map[string]bool
	// sends counts tries that reached a backend server; runs those that may have run.
	sends int
	runs  int
	// passedOn is set once a part of an answer reached the caller.
	passedOn bool
	// lastEvent is the ID of the last event passed on, firstAt the time of the
	// first and eventAt that of the last.
	lastEvent string
	firstAt   time.Time
	eventAt   time.Time
	// longestPause is the longest time between events passed on.
	longestPause time.Duration
	// placed is how long the call waited for its adapter.
	placed time.Duration
	// resumedAt is the server that a stream goes on at, once that was logged.
	resumedAt string
	// failure is a whole answer of a failed try, to be passed on if no other succeeds.
	failure       *pomelospring.BackendAnswer
	failureBody   []byte
	failureServer pomelospring.FleetServer
}

// Serve takes one call to its final answer.
func (s *Service) Serve(ctx context.Context, call *pomelospring.Call, out pomelospring.Responder) {
	c := &session{
		service:   s,
		call:      call,
		out:       out,
		avoid:     map[string]bool{},
		lastEvent: call.ResumeAfter,
		priority:  -1,
	}
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.run(ctx)
}

// admit checks route, key and budget. What can't be served is refused at once.
func (c *session) admit() *pomelospring.Refusal {
	s := c.service
	now := s.Clock()
	policy := s.Board.Policy()
	if policy == nil || !s.Board.Ready() {
		return pomelospring.NewRefusal(pomelospring.CodeNotReady, now.Add(notReadyWait), "no configuration is known yet")
	}
	c.route = policy.Match(strings.ToLower(c.call.Host), c.call.Path)
	if c.route == nil {
		return s.notKnown(pomelospring.CodeNotFound, now, "no route for this host and path")
	}
	team, refusal := c.authorize(policy, now)
	if refusal != nil {
		return refusal
	}
	c.deadline = c.call.Arrived.Add(c.route.Timeout)
	if !c.call.Deadline.IsZero() && c.call.Deadline.Before(c.deadline) {
		c.deadline = c.call.Deadline
	}
	c.firstBy = c.deadline
	if leaves := c.call.Arrived.Add(patience(c.route)); c.route.Streaming && leaves.Before(c.deadline) {
		c.firstBy = leaves
	}
	c.target = pickSplit(c.route.Splits)
	service := policy.Services[c.target]
	c.limits = service.Engine
	if c.limits != nil {
		c.priority = c.route.Priority
		if team.HasPriority {
			c.priority = team.Priority
		}
	}
	c.retries = s.retryBudget(c.target)
	c.retries.RecordAttempt()
	return c.charge(team, now)
}

func (c *session) authorize(policy *pomelospring.Policy, now time.Time) (team pomelospring.PolicyTeam, refusal *pomelospring.Refusal) {
	name, known := policy.KeyTeams[c.call.Key]
	if known {
		c.team = name
		return policy.Teams[name], nil
	}
	if c.route.Open || len(policy.Teams) == 0 {
		return pomelospring.PolicyTeam{}, nil
	}
	return pomelospring.PolicyTeam{}, c.service.notKnown(pomelospring.CodeKeyUnknown, now, "the key is not known")
}

// notKnown refuses what the configuration does not have: for good while it is
// current, otherwise until it is.
func (s *Service) notKnown(code pomelospring.Code, now time.Time, message string) *pomelospring.Refusal {
	if s.Board.PolicyFresh(now) {
		return pomelospring.NewRefusal(code, time.Time{}, "%s", message)
	}
	return pomelospring.NewRefusal(pomelospring.CodeNotReady, comeBack(now), "%s, in a configuration that may be old", message)
}

// charge takes the call's tokens from its team's budget.
func (c *session) charge(team pomelospring.PolicyTeam, now time.Time) *pomelospring.Refusal {
	if c.team == "" {
		return nil
	}
	tokens := team.PlainTokens
	if c.call.Counted {
		tokens = float64(c.call.PromptTokens + c.call.OutputTokens)
	}
	admitted, retryAt := c.service.Ledger.Admit(c.team, tokens, c.service.usualCost(c.route.Name, tokens), now)
	if !admitted {
		return pomelospring.NewRefusal(pomelospring.CodeOverRate, retryAt, "the team is over its rate")
	}
	c.charged = tokens
	return nil
}

func (c *session) refuse(refusal *pomelospring.Refusal) {
	s := c.service
	now := s.Clock()
	if refusal.Outcome == pomelospring.NotRun && c.charged > 0 {
		s.Ledger.Refund(c.team, c.charged, now)
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
		"sends":   c.sends,
		"path":    c.call.Path,
		"tokens":  c.call.PromptTokens + c.call.OutputTokens,
		"level":   int64(s.Ledger.Level(c.team, now)),
	}
	if !refusal.RetryAt.IsZero() {
		fields["retryMs"] = refusal.RetryAt.Sub(now).Milliseconds()
	}
	events.Log(s.Logger, events.CallRefused, fields)
	c.out.Refuse(refusal)
}

// usualCost takes in what a request of a route costs, and gives the average.
// A team's bucket must hold that much for a route's requests, so that those of
// cheap routes are not refused because of expensive ones.
func (s *Service) usualCost(route string, tokens float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.costs == nil || len(s.costs) > costMemory {
		s.costs = map[string]float64{}
	}
	cost, known := s.costs[route]
	if !known {
		cost = tokens
	}
	cost += (tokens - cost) * costWeight
	s.costs[route] = cost
	return cost
}

func (s *Service) retryBudget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retries == nil {
		s.retries = map[string]*retry.Budget{}
	}
	budget := s.retries[service]
	if budget == nil {
		budget = retry.NewBudgetWithCapacity(retryEarned, s.RetrySlack)
		s.retries[service] = budget
	}
	return budget
}

// SetRetrySlack changes how many retries this instance may save up for a service.
func (s *Service) SetRetrySlack(slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.RetrySlack = slack
	for _, budget := range s.retries {
		budget.SetCapacity(slack)
	}
}

// patience is how long callers of a stream wait for its next event, by the
// users' page.
func patience(route *pomelospring.PolicyRoute) time.Duration {
	return max(leastPatience, patienceTargets*route.Target, patiencePauses*route.PauseTarget)
}

func pickSplit(splits []pomelospring.ServiceSplit) string {
	if len(splits) == 1 {
		return splits[0].Service
	}
	total := 0.0
	for _, split := range splits {
		total += split.Weight
	}
	at := rand.Float64() * total
	for _, split := range splits {
		if at -= split.Weight; at < 0 {
			return split.Service
		}
	}
	return splits[len(splits)-1].Service
}

func comeBack(now time.Time) time.Time {
	return now.Add(comeBackLeast + rand.N(comeBackSpread))
}
