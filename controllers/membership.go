package controllers

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/lending"
)

// MembershipController renews the instance's lease and its claim on the
// domain's holding, and puts the bank under what is read back.
type MembershipController struct {
	*Common
	mu      sync.Mutex
	holder  budget.Holder
	failing bool
}

// NewMembershipController makes the controller.
func NewMembershipController(common *Common) *MembershipController {
	return &MembershipController{
		Common: common,
		holder: budget.Holder{
			Name: common.Board.Self.ID,
		},
	}
}

// Run renews until the context ends, then gives everything up.
func (m *MembershipController) Run(ctx context.Context) error {
	go m.follow(ctx)
	_ = every(ctx, m.renewInterval, m.renew)
	return nil
}

// follow takes what is read back as soon as it is.
func (m *MembershipController) follow(ctx context.Context) {
	for {
		domain := m.Board.Domain.Changed()
		configuration := m.Board.Configuration.Changed()
		m.readBack()
		select {
		case <-domain:
		case <-configuration:
		case <-ctx.Done():
			return
		}
	}
}

func (m *MembershipController) readBack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.Board.Domain.Get()
	m.holder.ReadBack(state.Ledger)
	if member, known := state.Members[m.Board.Self.ID]; known {
		m.Board.SetLeaseDeadline(member.Deadline)
	}
	m.applyTerms()
}

// applyTerms puts every bucket under the usable holding and today's rates.
func (m *MembershipController) applyTerms() {
	now := m.Clock()
	usable := m.holder.Usable()
	for pool, whole := range m.pools() {
		m.Board.Bank.SetTerms(pool, budget.Terms{
			Rate:             whole.rate,
			Burst:            whole.burst,
			MinBurst:         whole.unit,
			Share:            usable.Shares[pool],
			LeasedDeadline:   usable.LeasedDeadline,
			StandingDeadline: usable.StandingDeadline,
		}, now)
	}
}

type wholePool struct {
	rate  float64
	burst float64
	// unit is the least that a bucket may hold.
	unit float64
}

// pools are the pools that the configuration and the settings make.
func (c *Common) pools() map[string]wholePool {
	pools := map[string]wholePool{
		lending.PoolLoads: {
			rate:  c.Settings.Loads.Rate,
			burst: c.Settings.Loads.Burst,
			unit:  lending.LoadCost,
		},
	}
	for _, team := range c.Board.Configuration.Get().Teams {
		pools[lending.PoolOfTeam(team.Name)] = wholePool{
			rate:  team.Rate,
			burst: team.Burst,
		}
	}
	return pools
}

func (m *MembershipController) renew(ctx context.Context) {
	state := m.Board.Domain.Get()
	if m.Board.Domain.FreshAt().IsZero() {
		return
	}
	now := m.Clock()
	renewal := failuredomain.Renewal{
		Instance: m.instance(),
		Deadline: now.Add(m.leaseTime()),
		Claim:    m.claim(state, now),
	}
	m.post(ctx, renewal)
}

// leaseTime stays well above the renewal interval of a large domain.
func (m *MembershipController) leaseTime() time.Duration {
	return max(m.Settings.Membership.LeaseTime, 3*m.renewInterval())
}

func (m *MembershipController) instance() pomelospring.Instance {
	instance := m.Board.Self
	instance.Leaving = m.Board.Leaving()
	return instance
}

func (m *MembershipController) claim(state *failuredomain.State, now time.Time) budget.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := m.Board.Bank.DemandRates(now)
	shares := m.targets(state, wanted)
	claim := m.holder.NewClaim(shares, wanted, now.Add(m.Settings.Budget.LeasedTime), now.Add(m.Settings.Budget.StandingTime))
	m.applyTerms()
	return claim
}

// targets asks for the instance's part of the domain's holding. While the log
// fails, it asks for what it has: nothing could be read back to grow on.
func (m *MembershipController) targets(state *failuredomain.State, wanted map[string]float64) map[string]budget.Share {
	if m.failing {
		return m.holder.Usable().Shares
	}
	usable := state.Usable()
	holders := state.ActiveMembers()
	if !slices.Contains(holders, m.Board.Self.ID) && !m.Board.Leaving() {
		holders = append(holders, m.Board.Self.ID)
	}
	shares := map[string]budget.Share{}
	for pool, whole := range m.pools() {
		wants := wantsOf(state.Ledger, pool)
		wants[m.Board.Self.ID] = wanted[pool]
		available := usable.Shares[pool].Minus(state.StrandedShare(pool, m.Clock().Add(-m.Settings.Membership.ClockBound)))
		targets := budget.Targets(m.concentrated(holders, pool, whole, available), wants, available, m.split())
		shares[pool] = m.coverLoans(pool, targets[m.Board.Self.ID])
	}
	return shares
}

// concentrated picks the holders of a pool. A pool with a unit has them all:
// each of its buckets holds a unit, however small its part.
func (m *MembershipController) concentrated(holders []string, pool string, whole wholePool, available budget.Share) []string {
	if whole.unit > 0 {
		return holders
	}
	part := float64(available.Leased+available.Standing) / float64(budget.FullShare)
	return budget.SelectHolders(holders, pool, whole.burst*part, m.Settings.Budget.LeastBurst)
}

// coverLoans keeps a share from shrinking below what is lent out.
func (m *MembershipController) coverLoans(pool string, share budget.Share) budget.Share {
	lent := m.Board.Bank.LentShare(pool, m.Clock())
	share.Leased = max(share.Leased, lent-share.Standing)
	return share
}

func wantsOf(ledger budget.Ledger, pool string) map[string]float64 {
	wants := make(map[string]float64, len(ledger))
	for holder, held := range ledger {
		wants[holder] = held.Wanted[pool]
	}
	return wants
}

func (c *Common) split() budget.Split {
	return budget.Split{
		Floor: int64(c.Settings.Budget.FloorPercent) * budget.FullShare / 100,
	}
}

func (m *MembershipController) post(ctx context.Context, renewal failuredomain.Renewal) {
	err := m.Domain.Post(ctx, failuredomain.KindRenewal, renewal)
	m.mu.Lock()
	m.failing = err != nil
	m.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		events.Log(m.Logger, events.RenewalFailed, log.Fields{
			"error": err.Error(),
		})
	}
}

// Release gives up the lease and every holding, at the end of a planned stop.
func (m *MembershipController) Release(ctx context.Context) {
	m.mu.Lock()
	now := m.Clock()
	zero := map[string]budget.Share{}
	for _, pool := range slices.Sorted(maps.Keys(m.holder.Settled.Shares)) {
		zero[pool] = budget.Share{}
	}
	claim := m.holder.NewClaim(zero, nil, now, now)
	m.applyTerms()
	m.mu.Unlock()
	m.post(ctx, failuredomain.Renewal{
		Instance: m.instance(),
		Claim:    claim,
	})
}

// Renew posts a renewal now, so that others hear at once of a planned stop.
func (m *MembershipController) Renew(ctx context.Context) {
	m.renew(ctx)
}
