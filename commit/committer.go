// Package commit appends claims and outcomes of intents to the stream of the
// home failure domain. Claims are batched; a claim is answered from the folded
// stream once its record was read back.
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
	// gatherDelay is how long claims are gathered for one record.
	gatherDelay = 5 * time.Millisecond
	// maxGatheredClaims bounds the claims in one record.
	maxGatheredClaims = 256
	// commitTimeout bounds one append and, for claims, the wait until its record
	// was read back.
	commitTimeout = 3 * time.Second
)

// ClaimStatus says whether an attempt may run the request that it claimed.
type ClaimStatus string

// The statuses of a claim.
const (
	// Won: this attempt may run the request.
	Won ClaimStatus = "won"
	// Open: another attempt may be running it.
	Open ClaimStatus = "open"
	// Done: the request ran, and its answer is known.
	Done ClaimStatus = "done"
	// Unknown: the request may have run.
	Unknown ClaimStatus = "unknown"
	// Mismatch: the idempotency key was used for a different request.
	Mismatch ClaimStatus = "mismatch"
)

// ClaimResult is the status of a claim and, if the request is done, its answer.
type ClaimResult struct {
	ClaimStatus ClaimStatus
	Answer      intent.Answer
}

// Committer commits claims and outcomes for one failure domain.
type Committer struct {
	Board    *blackboard.Blackboard
	Follower *stream.Follower
	Clock    pomelospring.Clock
	// Retention is how long intents are retained.
	Retention time.Duration

	claims chan *pendingClaim
}

type pendingClaim struct {
	claim intent.Claim
	done  chan error
}

// NewCommitter returns a committer. Claims are only committed while Run runs.
func NewCommitter(board *blackboard.Blackboard, follower *stream.Follower, clock pomelospring.Clock, retention time.Duration) *Committer {
	return &Committer{
		Board:     board,
		Follower:  follower,
		Clock:     clock,
		Retention: retention,
		claims:    make(chan *pendingClaim),
	}
}

// Run gathers claims into batches and commits them until the context ends.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.claims:
			batch := c.gatherBatch(ctx, first)
			go c.commit(ctx, batch)
		}
	}
}

// gatherBatch adds the claims that arrive within gatherDelay to the first one.
func (c *Committer) gatherBatch(ctx context.Context, first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	timer := time.NewTimer(gatherDelay)
	defer timer.Stop()
	for len(batch) < maxGatheredClaims {
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

// commit appends a batch as one record, waits until it was read back, and sends
// the result to each claim of the batch.
func (c *Committer) commit(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	claims := intent.Claims{}
	for _, p := range batch {
		claims.Claims = append(claims.Claims, p.claim)
	}
	_, offset, err := c.Follower.Append(ctx, intent.KindClaims, claims)
	if err == nil {
		err = c.waitPublished(ctx, offset)
	}
	for _, p := range batch {
		p.done <- err
	}
}

// waitPublished waits until the intents on the blackboard include an offset.
func (c *Committer) waitPublished(ctx context.Context, offset int64) error {
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

// Claim commits an attempt's claim and returns its status. It is idempotent for
// one attempt.
func (c *Committer) Claim(ctx context.Context, key, request, attempt string) (result ClaimResult, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	if result, known := c.lookup(key, request, attempt); known {
		return result, nil
	}
	p := &pendingClaim{
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
	result, _ = c.lookup(key, request, attempt)
	return result, nil
}

// lookup returns the status of a claim from the blackboard. known is false if no
// intent blocks the claim, so that it must be committed.
func (c *Committer) lookup(key, request, attempt string) (result ClaimResult, known bool) {
	existing, known := c.Board.Intents.Get().Intents[key]
	if !known {
		return ClaimResult{
			ClaimStatus: Unknown,
		}, false
	}
	result.Answer = existing.Answer
	switch {
	case existing.Claim.Request != request:
		result.ClaimStatus = Mismatch
	case existing.Status == intent.NotRun:
		return ClaimResult{
			ClaimStatus: Unknown,
		}, false
	case existing.Claim.Attempt == attempt && existing.Status == intent.Open:
		result.ClaimStatus = Won
	default:
		result.ClaimStatus = ClaimStatus(existing.Status)
	}
	return result, true
}

// Settle commits the outcome of an attempt. It is idempotent.
func (c *Committer) Settle(ctx context.Context, outcome intent.Outcome) (err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, _, err = c.Follower.Append(ctx, intent.KindOutcome, outcome)
	return err
}
