// Package commit enters intents and outcomes in the log of the home failure
// domain, many at once, and answers from what was read back.
package commit

import (
	"context"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/intent"
	"github.com/pomelospring/pomelospring/stream"
)

const (
	// gather is how long claims are gathered into one record.
	gather = 5 * time.Millisecond
	// gatherLimit bounds the claims in one record.
	gatherLimit = 256
	// commitTimeout bounds one commit.
	commitTimeout = 3 * time.Second
)

// ClaimStatus is what a claim met.
type ClaimStatus string

// The standings of a claim.
const (
	// Won: this attempt may run the request.
	Won ClaimStatus = "won"
	// Open: another attempt may be running it.
	Open ClaimStatus = "open"
	// Done: it ran and its answer is known.
	Done ClaimStatus = "done"
	// Unknown: it may have run.
	Unknown ClaimStatus = "unknown"
	// Mismatch: the key stands for another request.
	Mismatch ClaimStatus = "mismatch"
)

// ClaimResult answers a claim.
type ClaimResult struct {
	ClaimStatus ClaimStatus
	Answer      intent.Answer
}

// Committer commits for one failure domain.
type Committer struct {
	Board    *blackboard.Blackboard
	Follower *stream.Follower
	Clock    pomelospring.Clock
	// Retention is how long intents are kept.
	Retention time.Duration

	claims chan *pending
}

type pending struct {
	claim intent.Claim
	done  chan error
}

// NewCommitter makes a committer; Run must be running for claims to move.
func NewCommitter(board *blackboard.Blackboard, follower *stream.Follower, clock pomelospring.Clock, keptFor time.Duration) *Committer {
	return &Committer{
		Board:     board,
		Follower:  follower,
		Clock:     clock,
		Retention: keptFor,
		claims:    make(chan *pending),
	}
}

// Run gathers claims and commits them until the context ends.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.claims:
			batch := c.collect(ctx, first)
			go c.commit(ctx, batch)
		}
	}
}

func (c *Committer) collect(ctx context.Context, first *pending) []*pending {
	batch := []*pending{first}
	timer := time.NewTimer(gather)
	defer timer.Stop()
	for len(batch) < gatherLimit {
		select {
		case next := <-c.claims:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (c *Committer) commit(ctx context.Context, batch []*pending) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	claims := intent.Claims{}
	for _, p := range batch {
		claims.Claims = append(claims.Claims, p.claim)
	}
	_, offset, err := c.Follower.Append(ctx, intent.KindClaims, claims)
	if err == nil {
		err = c.published(ctx, offset)
	}
	for _, p := range batch {
		p.done <- err
	}
}

// published waits until the blackboard shows an offset.
func (c *Committer) published(ctx context.Context, offset int64) error {
	for {
		changed := c.Board.Intents.Changed()
		if c.Board.Intents.Get().Next > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Claim enters an attempt's claim and answers what it met. Asking again with
// the same attempt is harmless.
func (c *Committer) Claim(ctx context.Context, key, request, attempt string) (verdict ClaimResult, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	if verdict, known := c.lookup(key, request, attempt); known {
		return verdict, nil
	}
	p := &pending{
		claim: intent.Claim{
			Key:      key,
			Request:  request,
			Attempt:  attempt,
			Deadline: c.Clock().Add(c.Retention),
		},
		done: make(chan error, 1),
	}
	select {
	case c.claims <- p:
	case <-ctx.Done():
		return ClaimResult{}, ctx.Err()
	}
	select {
	case err = <-p.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return ClaimResult{}, err
	}
	verdict, _ = c.lookup(key, request, attempt)
	return verdict, nil
}

func (c *Committer) lookup(key, request, attempt string) (verdict ClaimResult, known bool) {
	held, known := c.Board.Intents.Get().Intents[key]
	if !known {
		return ClaimResult{
			ClaimStatus: Unknown,
		}, false
	}
	verdict.Answer = held.Answer
	switch {
	case held.Claim.Request != request:
		verdict.ClaimStatus = Mismatch
	case held.Status == intent.NotRun:
		return ClaimResult{
			ClaimStatus: Unknown,
		}, false
	case held.Claim.Attempt == attempt && held.Status == intent.Open:
		verdict.ClaimStatus = Won
	default:
		verdict.ClaimStatus = ClaimStatus(held.Status)
	}
	return verdict, true
}

// Settle enters what became of an attempt. Entering it twice is harmless.
func (c *Committer) Settle(ctx context.Context, outcome intent.Outcome) (err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, _, err = c.Follower.Append(ctx, intent.KindOutcome, outcome)
	return err
}
