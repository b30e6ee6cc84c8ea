package controllers

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/failuredomain"
)

// repostDelay is how long a posted claim may be missing from the budget stream
// before it is posted again. The sequence number makes a duplicate harmless.
const repostDelay = 2 * time.Second

// BudgetController writes the failure domain's claim on the common budget when
// this instance is the domain's writer. Two writers at once are harmless: the
// domain stream fixes a claim before it goes to the budget stream.
type BudgetController struct {
	*Common
	// These fields prevent a second write before the first one is read back.
	announcedAt    time.Time
	postedAt       time.Time
	postedSequence int64
	copiedSequence int64
}

// NewBudgetController returns a controller; Run starts it.
func NewBudgetController(common *Common) *BudgetController {
	return &BudgetController{
		Common: common,
	}
}

// Run reconciles on every change of both streams, and at each renewal interval,
// until ctx ends.
func (b *BudgetController) Run(ctx context.Context) error {
	for {
		domain := b.Board.Domain.Changed()
		common := b.Board.Budget.Changed()
		b.reconcile(ctx)
		select {
		case <-domain:
		case <-common:
		case <-time.After(b.renewInterval()):
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile does the writer's work on the current state; without a current
// state, or if another instance is the writer, it does nothing.
func (b *BudgetController) reconcile(ctx context.Context) {
	state := b.Board.Domain.Get()
	if state.Writer("budget") != b.Board.Self.ID || b.Board.Domain.FreshAt().IsZero() {
		return
	}
	b.copyGrant(ctx, state)
	b.postClaim(ctx, state)
	b.announce(ctx, state)
}

// copyGrant copies the settled claim of the domain from the budget stream to the
// domain stream.
func (b *BudgetController) copyGrant(ctx context.Context, state *failuredomain.State) {
	held, known := b.Board.Budget.Get().Ledger[b.Board.Self.Domain]
	if !known || held.Sequence <= state.Holding.Sequence || held.Sequence <= b.copiedSequence {
		return
	}
	grant := failuredomain.DomainGrant{
		Holding: held,
	}
	if b.posted(b.Domain.Post(ctx, failuredomain.KindDomainGrant, grant)) {
		b.copiedSequence = held.Sequence
	}
}

// postClaim posts the newest announced claim to the budget stream once the
// instances' holdings fit into it, so that the domain never holds less than its
// instances do.
func (b *BudgetController) postClaim(ctx context.Context, state *failuredomain.State) {
	if len(state.Claims) == 0 {
		return
	}
	claim := state.Claims[len(state.Claims)-1]
	now := b.Clock()
	if b.postedSequence == claim.Sequence && now.Before(b.postedAt.Add(repostDelay)) {
		return
	}
	if b.Board.Budget.Get().Ledger[b.Board.Self.Domain].Sequence >= claim.Sequence || !state.HoldingsFit(claim, now.Add(-b.Settings.Membership.ClockBound)) {
		return
	}
	if b.posted(b.Budget.Post(ctx, budget.KindClaim, claim)) {
		b.postedSequence = claim.Sequence
		b.postedAt = now
	}
}

// announce posts the next claim to the domain stream, at most one a renewal
// interval. While a claim is unsettled it waits until half of the newest claim's
// leased time has passed. A claim covers at least the stranded share, which no
// instance can give up before its deadline.
func (b *BudgetController) announce(ctx context.Context, state *failuredomain.State) {
	now := b.Clock()
	if now.Before(b.announcedAt.Add(b.renewInterval())) || len(state.Claims) > 0 && now.Before(state.Claims[len(state.Claims)-1].LeasedDeadline.Add(-b.Settings.Budget.LeasedTime/2)) {
		return
	}
	claim := budget.Claim{
		Holder:           b.Board.Self.Domain,
		Sequence:         state.LastSequence() + 1,
		Shares:           map[string]budget.Share{},
		Wanted:           b.domainDemand(state),
		LeasedDeadline:   now.Add(b.Settings.Budget.LeasedTime),
		StandingDeadline: now.Add(b.Settings.Budget.StandingTime),
	}
	for pool := range b.pools() {
		claim.Shares[pool] = b.targetShare(pool, claim.Wanted[pool], now).Max(state.StrandedShare(pool, now.Add(-b.Settings.Membership.ClockBound)))
	}
	announced := failuredomain.DomainClaim{
		Claim: claim,
	}
	if b.posted(b.Domain.Post(ctx, failuredomain.KindDomainClaim, announced)) {
		b.announcedAt = now
	}
}

// domainDemand sums the demand of the active members, by pool.
func (b *BudgetController) domainDemand(state *failuredomain.State) map[string]float64 {
	demand := map[string]float64{}
	for pool := range b.pools() {
		for _, id := range state.ActiveMembers() {
			demand[pool] += state.Ledger[id].Wanted[pool]
		}
	}
	return demand
}

// targetShare returns the domain's share of a pool, divided among the domains
// whose leased part has not expired.
func (b *BudgetController) targetShare(pool string, demand float64, now time.Time) budget.Share {
	ledger := b.Board.Budget.Get().Ledger
	holders := []string{b.Board.Self.Domain}
	demands := demandByHolder(ledger, pool)
	demands[b.Board.Self.Domain] = demand
	for _, domain := range slices.Sorted(maps.Keys(ledger)) {
		if domain != b.Board.Self.Domain && !ledger[domain].LeasedDeadline.Before(now) {
			holders = append(holders, domain)
		}
	}
	slices.Sort(holders)
	standing := int64(b.Settings.Budget.StandingPercent) * budget.FullShare / 100
	available := budget.Share{
		Leased:   budget.FullShare - standing,
		Standing: standing,
	}
	return budget.Targets(holders, demands, available, b.split())[b.Board.Self.Domain]
}

// posted reports whether a post succeeded, and logs it if not.
func (b *BudgetController) posted(err error) bool {
	if err == nil {
		return true
	}
	events.Log(b.Logger, events.DomainClaimFailed, log.Fields{
		"error": err.Error(),
	})
	return false
}
