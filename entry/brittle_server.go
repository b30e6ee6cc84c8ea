package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// maxPermitWait is how long a call waits for a permit for a brittle server.
	maxPermitWait = 250 * time.Millisecond
	// maxPermitRequests bounds the failure domains whose permits one call asks for.
	maxPermitRequests = 3
)

// permit asks for a permit to send the call to the chosen server, or to another brittle one
// that could take it, until latest. It reports false if there is none, and when one is
// likely to be free. The choice of a server that is not brittle needs none.
func (c *session) permit(ctx context.Context, choice dispatch.Choice, avoid map[string]bool, latest time.Time) (permitted dispatch.Choice, retryAt time.Time, ok bool) {
	s := c.service
	if !choice.Candidate.Brittle || s.Permits == nil {
		return choice, time.Time{}, true
	}
	now := s.Clock()
	candidates := c.brittleCandidates(choice, avoid, now)
	request := pomelospring.PermitRequest{
		Team:      c.team,
		Until:     latest,
		ExpiresAt: c.deadline,
	}
	for i := range candidates {
		request.Servers = append(request.Servers, candidates[i].Server)
	}
	permit := s.Permits.AskPermit(ctx, request)
	if !permit.Granted {
		return choice, permit.RetryAt, false
	}
	if ctx.Err() != nil || !s.Board.Accepts(permit.Server, s.Clock()) {
		s.Permits.ReturnPermit(permit, pomelospring.PermitUnsent)
		return choice, s.Clock(), false
	}
	for i := range candidates {
		if candidates[i].Server.ID == permit.Server {
			choice = dispatch.Choice{
				Candidate: candidates[i],
				Wait:      dispatch.Wait(candidates[i], c.requirements()),
				Found:     true,
			}
		}
	}
	choice.Permit = permit
	return choice, time.Time{}, true
}

// brittleCandidates lists the chosen server and the others of its failure domain that are
// brittle and could take the call. Of those that also name a limit, only the chosen one has
// a turn.
func (c *session) brittleCandidates(choice dispatch.Choice, avoid map[string]bool, now time.Time) (candidates []dispatch.Candidate) {
	candidates = append(candidates, choice.Candidate)
	for _, other := range c.candidates(avoid, now) {
		if other.Server.ID != choice.Candidate.Server.ID && other.Server.Domain == choice.Candidate.Server.Domain && other.Brittle && !other.Limited {
			candidates = append(candidates, other)
		}
	}
	return candidates
}

// pickWithPermit picks a backend server among a number of candidates, and has a permit if
// the server is brittle. It waits for one only where no other failure domain has servers
// that could take the call.
func (c *session) pickWithPermit(ctx context.Context) (choice dispatch.Choice, candidates int, refusal *pomelospring.Refusal) {
	choice, candidates, refusal = c.pickWithTurn(ctx)
	if refusal != nil || !choice.Candidate.Brittle {
		return choice, candidates, refusal
	}
	avoid := maps.Clone(c.avoid)
	defer func() { c.avoid = avoid }()
	var retryAt time.Time
	for range maxPermitRequests {
		permitted, freeAt, others := c.tryPermit(ctx, choice)
		if permitted.Permit.Granted {
			return permitted, candidates, c.checkPermitted(ctx, permitted)
		}
		if retryAt.IsZero() || freeAt.Before(retryAt) {
			retryAt = freeAt
		}
		if !others || ctx.Err() != nil {
			break
		}
		next, _, refused := c.pickWithTurn(ctx)
		if refused != nil {
			break
		}
		if !next.Candidate.Brittle {
			return next, candidates, nil
		}
		choice = next
	}
	return choice, candidates, c.noPermitRefusal(ctx, choice, retryAt)
}

// tryPermit asks for a permit for the chosen server or others of its failure domain. If
// there is none, it avoids these, and others says whether there are yet other servers.
func (c *session) tryPermit(ctx context.Context, choice dispatch.Choice) (permitted dispatch.Choice, freeAt time.Time, others bool) {
	now := c.service.Clock()
	asked := c.brittleCandidates(choice, c.avoid, now)
	until := now
	if others = c.othersThan(asked); !others {
		until = c.latestPermit(now)
	}
	permitted, freeAt, ok := c.permit(ctx, choice, c.avoid, until)
	if !ok {
		for i := range asked {
			c.avoid[asked[i].Server.ID] = true
		}
	}
	return permitted, freeAt, others
}

// noPermitRefusal returns the refusal of a call that got no permit, the last one for the
// chosen server. A copy of its adapter elsewhere may have room for later calls.
func (c *session) noPermitRefusal(ctx context.Context, choice dispatch.Choice, retryAt time.Time) *pomelospring.Refusal {
	if ctx.Err() != nil {
		return c.timeoutRefusal()
	}
	if c.limits != nil && c.call.NeedsAdapter() {
		c.service.requestRoomierCopy(c, choice)
	}
	return brittleRefusal(retryAt, c.service.Clock())
}

// othersThan reports whether there are other servers that have what the call needs.
func (c *session) othersThan(excluded []dispatch.Candidate) bool {
	candidates := c.candidates(c.avoid, c.service.Clock())
	return len(candidates) > len(excluded)
}

// latestPermit returns until when the call may wait for a permit.
func (c *session) latestPermit(now time.Time) time.Time {
	latest := c.latestStart(now)
	if patient := now.Add(maxPermitWait); patient.Before(latest) {
		return patient
	}
	return latest
}

// checkPermitted refuses a call whose content was blocked while it waited, and gives its
// permit back.
func (c *session) checkPermitted(ctx context.Context, choice dispatch.Choice) *pomelospring.Refusal {
	refusal := c.checkQuarantine(ctx, c.service.Clock())
	if refusal != nil {
		c.returnPermit(choice, pomelospring.PermitUnsent)
	}
	return refusal
}

// returnPermit gives the permit of a choice back, if it has one.
func (c *session) returnPermit(choice dispatch.Choice, outcome pomelospring.PermitOutcome) {
	if choice.Permit.Granted {
		c.service.Permits.ReturnPermit(choice.Permit, outcome)
	}
}

// requestRoomierCopy asks for a copy of the call's adapter on another server than the
// brittle ones that have it and no room.
func (s *Service) requestRoomierCopy(c *session, choice dispatch.Choice) {
	now := s.Clock()
	s.requestCopy(pomelospring.PlacementRequest{
		Adapter:  c.call.Adapter,
		Domain:   s.Board.Domain,
		Deadline: now.Add(replicaRequestTimeout),
		Replica:  true,
		Homes:    c.call.Homes,
		Unusable: s.Board.UnusableServers(choice.Candidate.Server.Service, now.Add(maxCopyTurnWait), now),
	}, now)
}

// brittleRefusal returns the refusal of a call whose servers have no room before freeAt.
func brittleRefusal(freeAt, now time.Time) *pomelospring.Refusal {
	wait := max(0, freeAt.Sub(now))
	retryAt := now.Add(max(wait, minRetryAfter) + rand.N(min(maxPauseRetrySpread, max(retryAfterSpread, wait/2))))
	return pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAt, "the backend servers fall over under rejections, and have no room for more calls")
}

// permitOutcome says how an attempt with a permit ended, by the head of its answer or the
// error in its place. A 421 says nothing of the server's room.
func permitOutcome(answer *pomelospring.BackendAnswer, err error, abandoned bool) pomelospring.PermitOutcome {
	switch {
	case err != nil && abandoned:
		return pomelospring.PermitUnsent
	case err != nil:
		return pomelospring.PermitBroken
	case answer.NotRun && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests):
		return pomelospring.PermitRejected
	}
	return pomelospring.PermitServed
}
