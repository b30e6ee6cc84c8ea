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

// repostPause is how long a claim may take to show in the budget stream until
// it is posted again. A second one is ignored by its sequence number.
const repostPause = 2 * time.Second

// BudgetController writes the failure domain's claim on the common budget when
// this instance is the domain's writer. Two writers at once are harmless: a
// claim is fixed by the domain stream before it goes to the budget stream.
type BudgetController struct {
	*Common
	// announcedAt and postedAt keep from writing the same thing at once again.
	announcedAt    time.Time
	postedAt       time.Time
	postedSequence int64
	copiedSequence int64
}

// NewBudgetController makes the controller.
func NewBudgetController(common *Common) *BudgetController {
	return &BudgetController{
		Common: common,
	}
}

// Run acts on every change of both streams until the context ends.
func (b *BudgetController) Run(ctx context.Context) error {
	for {
		domain := b.Board.Domain.Changed()
		common := b.Board.Budget.Changed()
		b.act(ctx)
		select {
		case <-domain:
		case <-common:
		case <-time.After(b.renewInterval()):
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *BudgetController) act(ctx context.Context) {
	state := b.Board.Domain.Get()
	if state.Writer("budget") != b.Board.Self.ID || b.Board.Domain.FreshAt().IsZero() {
		return
	}
	b.copyGrant(ctx, state)
	b.postClaim(ctx, state)
	b.announce(ctx, state)
}

// copyGrant brings the outcome of the domain's claim into its own stream.
func (b *BudgetController) copyGrant(ctx context.Context, state *failuredomain.State) {
	held, known := b.Board.Budget.Get().Ledger[b.Board.Self.Domain]
	if !known || held.Sequence <= state.Holding.Sequence || held.Sequence <= b.copiedSequence {
		return
	}
	grant := failuredomain.DomainGrant{
		Holding: held,
	}
	if b.report(b.Domain.Post(ctx, failuredomain.KindDomainGrant, grant)) {
		b.copiedSequence = held.Sequence
	}
}

// postClaim posts the newest announced claim once the instances' holdings fit
// into it, so that the domain never holds less than its instances do.
func (b *BudgetController) postClaim(ctx context.Context, state *failuredomain.State) {
	if len(state.Claims) == 0 {
		return
	}
	claim := state.Claims[len(state.Claims)-1]
	now := b.Clock()
	if b.postedSequence == claim.Sequence && now.Before(b.postedAt.Add(repostPause)) {
		return
	}
	if b.Board.Budget.Get().Ledger[b.Board.Self.Domain].Sequence >= claim.Sequence || !state.HoldingsFit(claim, now.Add(-b.Settings.Membership.ClockBound)) {
		return
	}
	if b.report(b.Budget.Post(ctx, budget.KindClaim, claim)) {
		b.postedSequence = claim.Sequence
		b.postedAt = now
	}
}

// announce enters the next claim in the domain stream.
func (b *BudgetController) announce(ctx context.Context, state *failuredomain.State) {
	now := b.Clock()
	if now.Before(b.announcedAt.Add(b.renewInterval())) || len(state.Claims) > 0 && now.Before(state.Claims[len(state.Claims)-1].LeasedDeadline.Add(-b.Settings.Budget.LeasedTime/2)) {
		return
	}
	claim := budget.Claim{
		Holder:           b.Board.Self.Domain,
		Sequence:         state.LastSequence() + 1,
		Shares:           map[string]budget.Share{},
		Wanted:           b.domainWants(state),
		LeasedDeadline:   now.Add(b.Settings.Budget.LeasedTime),
		StandingDeadline: now.Add(b.Settings.Budget.StandingTime),
	}
	for pool := range b.pools() {
		claim.Shares[pool] = b.target(pool, claim.Wanted[pool], now).Max(state.StrandedShare(pool, now.Add(-b.Settings.Membership.ClockBound)))
	}
	announced := failuredomain.DomainClaim{
		Claim: claim,
	}
	if b.report(b.Domain.Post(ctx, failuredomain.KindDomainClaim, announced)) {
		b.announcedAt = now
	}
}

func (b *BudgetController) domainWants(state *failuredomain.State) map[string]float64 {
	wanted := map[string]float64{}
	for pool := range b.pools() {
		for _, id := range state.ActiveMembers() {
			wanted[pool] += state.Ledger[id].Wanted[pool]
		}
	}
	return wanted
}

// target is the domain's part of a pool among the domains that renew.
func (b *BudgetController) target(pool string, wanted float64, now time.Time) budget.Share {
	ledger := b.Board.Budget.Get().Ledger
	holders := []string{b.Board.Self.Domain}
	wants := wantsOf(ledger, pool)
	wants[b.Board.Self.Domain] = wanted
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
	return budget.Targets(holders, wants, available, b.split())[b.Board.Self.Domain]
}

func (b *BudgetController) report(err error) bool {
	if err == nil {
		return true
	}
	events.Log(b.Logger, events.DomainClaimFailed, log.Fields{
		"error": err.Error(),
	})
	return false
}
