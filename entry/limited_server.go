package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// maxCopyTurnWait is how long a call waits for a server that names a limit before its
	// adapter is looked for elsewhere: about the time of a load.
	maxCopyTurnWait = 300 * time.Millisecond
	// maxReservations bounds the reservations that one choice of a server asks for: each
	// that fails tells more of when the servers have turns.
	maxReservations = 3
	// limitRetryFraction is the fraction of the time until a server has a turn by which a
	// refused call may come back later, at random, from retryAfterSpread to
	// maxPauseRetrySpread.
	limitRetryFraction = 0.5
	// turnLapse is how late a call may be sent after its turn, as after the process was
	// suspended.
	turnLapse = 500 * time.Millisecond
)

// pickWithTurn picks a backend server among a number of candidates, and has waited for a
// turn if the server names a limit.
func (c *session) pickWithTurn(ctx context.Context) (choice dispatch.Choice, candidates int, refusal *pomelospring.Refusal) {
	s := c.service
	for tries := 0; ; tries++ {
		if choice, candidates, refusal = c.pick(ctx); refusal != nil || !choice.Candidate.Limited {
			return choice, candidates, refusal
		}
		// With a longer wait, another server may be the better choice.
		patience := maxCopyTurnWait
		if tries == maxReservations {
			patience = c.deadline.Sub(s.Clock())
		}
		if c.reserve(ctx, choice, patience) {
			return choice, candidates, c.checkQuarantine(ctx, s.Clock())
		}
		now := s.Clock()
		switch {
		case ctx.Err() != nil:
			return choice, candidates, c.timeoutRefusal()
		case tries == maxReservations || now.Add(choice.Candidate.TurnWait).After(c.latestStart(now)):
			return choice, candidates, limitRefusal(s.Board.NextTurn(choice.Candidate.Server.ID, now), now)
		}
	}
}

// latestStart returns until when the call may wait for an adapter, or for a turn of a
// server that names a limit.
func (c *session) latestStart(now time.Time) time.Time {
	return now.Add(time.Duration(placementTimeFraction * float64(c.firstEventDeadline.Sub(now))))
}

// maySeekCopy reports, once, that the call's adapter may be looked for on servers that
// name no limit.
func (c *session) maySeekCopy() bool {
	if c.soughtCopy {
		return false
	}
	c.soughtCopy = true
	_, allLimited := c.service.Board.FirstTurn(c.targetService, c.call, c.service.Clock())
	return !allLimited
}

// reserve reserves a turn of the chosen server if it names a limit, and waits for it.
// It reports false if there is none within patience of the expected time, or if the server
// accepts no calls any more, or none at its version of the adapter.
func (c *session) reserve(ctx context.Context, choice dispatch.Choice, patience time.Duration) (reserved bool) {
	if !choice.Candidate.Limited {
		return true
	}
	s := c.service
	server := choice.Candidate.Server
	now := s.Clock()
	latest := c.latestStart(now)
	expected := now.Add(choice.Candidate.TurnWait)
	if expected.After(latest) {
		return false
	}
	if patient := expected.Add(patience); patient.Before(latest) {
		latest = patient
	}
	reservation := s.Coordinator.Reserve(ctx, server, c.team, latest)
	if !reservation.Granted || pomelospring.Sleep(ctx, reservation.At.Sub(s.Clock())) != nil {
		return false
	}
	now = s.Clock()
	return now.Sub(reservation.At) <= turnLapse && s.Board.Accepts(server.ID, now) && c.mayBegin(choice.Candidate, now)
}

// limitRefusal returns the refusal of a call whose servers have no turn before turnAt.
func limitRefusal(turnAt, now time.Time) *pomelospring.Refusal {
	wait := turnAt.Sub(now)
	spread := time.Duration(limitRetryFraction * float64(wait))
	retryAt := turnAt.Add(rand.N(min(maxPauseRetrySpread, max(retryAfterSpread, spread))))
	if wait <= 0 {
		return pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAt, "the backend servers name limits, and the next turns are for teams that have got fewer")
	}
	return pomelospring.NewRefusal(pomelospring.CodeOverloaded, retryAt, "the backend servers name limits, and the first turn is in %s", wait.Round(time.Millisecond))
}
