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

// MembershipController renews the instance's lease and its claim on the domain's
// holding, and sets the bank's terms to the holding that it reads back.
type MembershipController struct {
	*Common
	mu     sync.Mutex
	holder budget.Holder
	// failing reports that the last renewal could not be posted.
	failing bool
}

// NewMembershipController returns a controller; Run starts it.
func NewMembershipController(common *Common) *MembershipController {
	return &MembershipController{
		Common: common,
		holder: budget.Holder{
			Name: common.Board.Self.ID,
		},
	}
}

// Run renews until ctx ends. It leaves lease and holdings in place; Release gives
// them up.
func (m *MembershipController) Run(ctx context.Context) error {
	go m.follow(ctx)
	_ = runEvery(ctx, m.renewInterval, m.renew)
	return nil
}

// follow applies each change of the domain or the configuration until ctx ends.
func (m *MembershipController) follow(ctx context.Context) {
	for {
		domain := m.Board.Domain.Changed()
		configuration := m.Board.Configuration.Changed()
		m.applyDomain()
		select {
		case <-domain:
		case <-configuration:
		case <-ctx.Done():
			return
		}
	}
}

// applyDomain updates the holding and the lease deadline from the domain's state.
func (m *MembershipController) applyDomain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.Board.Domain.Get()
	m.holder.ReadBack(state.Ledger)
	if member, known := state.Members[m.Board.Self.ID]; known {
		m.Board.SetLeaseDeadline(member.Deadline)
	}
	m.applyTerms()
}

// applyTerms sets every bucket to the usable holding and the configured rates.
func (m *MembershipController) applyTerms() {
	now := m.Clock()
	usable := m.holder.Usable()
	for pool, limits := range m.pools() {
		m.Board.Bank.SetTerms(pool, budget.Terms{
			Rate:             limits.rate,
			Burst:            limits.burst,
			MinBurst:         limits.minBurst,
			Share:            usable.Shares[pool],
			LeasedDeadline:   usable.LeasedDeadline,
			StandingDeadline: usable.StandingDeadline,
		}, now)
	}
}

// poolLimits are the rate and burst of a whole pool.
type poolLimits struct {
	rate  float64
	burst float64
	// minBurst is that of budget.Terms.
	minBurst float64
}

// pools returns the limits of each pool: those of the teams come from the
// configuration, that of adapter loads from the settings.
func (c *Common) pools() map[string]poolLimits {
	pools := map[string]poolLimits{
		lending.PoolLoads: {
			rate:     c.Settings.Loads.Rate,
			burst:    c.Settings.Loads.Burst,
			minBurst: lending.LoadCost,
		},
	}
	for _, team := range c.Board.Configuration.Get().Teams {
		pools[lending.PoolOfTeam(team.Name)] = poolLimits{
			rate:  team.Rate,
			burst: team.Burst,
		}
	}
	return pools
}

// renew posts a renewal of the lease and of the claim, once the domain's state has
// been read.
func (m *MembershipController) renew(ctx context.Context) {
	state := m.Board.Domain.Get()
	if m.Board.Domain.FreshAt().IsZero() {
		return
	}
	now := m.Clock()
	renewal := failuredomain.Renewal{
		Instance: m.instance(),
		Deadline: now.Add(m.leaseDuration()),
		Claim:    m.claim(state, now),
	}
	m.post(ctx, renewal)
}

// leaseDuration returns how long a renewal extends the lease: at least three
// renewal intervals, which are long in a large domain.
func (m *MembershipController) leaseDuration() time.Duration {
	return max(m.Settings.Membership.LeaseTime, 3*m.renewInterval())
}

// instance returns this instance as renewals post it: with its current Leaving
// flag.
func (m *MembershipController) instance() pomelospring.Instance {
	instance := m.Board.Self
	instance.Leaving = m.Board.Leaving()
	return instance
}

// claim returns the next claim on the domain's holding. What it gives up leaves
// the buckets before the claim is posted.
func (m *MembershipController) claim(state *failuredomain.State, now time.Time) budget.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := m.Board.Bank.DemandRates(now)
	shares := m.targets(state, demand)
	claim := m.holder.NewClaim(shares, demand, now.Add(m.Settings.Budget.LeasedTime), now.Add(m.Settings.Budget.StandingTime))
	m.applyTerms()
	return claim
}

// targets returns the shares to claim: the instance's part of the domain's
// holding. While renewals fail it claims what it has, because a larger share
// counts only once it is read back.
func (m *MembershipController) targets(state *failuredomain.State, demand map[string]float64) map[string]budget.Share {
	if m.failing {
		return m.holder.Usable().Shares
	}
	usable := state.Usable()
	holders := state.ActiveMembers()
	if !slices.Contains(holders, m.Board.Self.ID) && !m.Board.Leaving() {
		holders = append(holders, m.Board.Self.ID)
	}
	shares := map[string]budget.Share{}
	for pool, limits := range m.pools() {
		demands := demandByHolder(state.Ledger, pool)
		demands[m.Board.Self.ID] = demand[pool]
		available := usable.Shares[pool].Minus(state.StrandedShare(pool, m.Clock().Add(-m.Settings.Membership.ClockBound)))
		targets := budget.Targets(m.selectHolders(holders, pool, limits, available), demands, available, m.split())
		shares[pool] = m.coverLoans(pool, targets[m.Board.Self.ID])
	}
	return shares
}

// selectHolders picks the holders among which a pool is divided. A pool with a
// minimum burst is divided among all: each bucket has that burst, however small
// its share.
func (m *MembershipController) selectHolders(holders []string, pool string, limits poolLimits, available budget.Share) []string {
	if limits.minBurst > 0 {
		return holders
	}
	fraction := float64(available.Leased+available.Standing) / float64(budget.FullShare)
	return budget.SelectHolders(holders, pool, limits.burst*fraction, m.Settings.Budget.LeastBurst)
}

// coverLoans raises a share to at least what is lent out of it.
func (m *MembershipController) coverLoans(pool string, share budget.Share) budget.Share {
	lent := m.Board.Bank.LentShare(pool, m.Clock())
	share.Leased = max(share.Leased, lent-share.Standing)
	return share
}

// demandByHolder returns the demand for a pool that each holder reported.
func demandByHolder(ledger budget.Ledger, pool string) map[string]float64 {
	demands := make(map[string]float64, len(ledger))
	for holder, held := range ledger {
		demands[holder] = held.Wanted[pool]
	}
	return demands
}

// split returns the settings' rule for dividing a pool.
func (c *Common) split() budget.Split {
	return budget.Split{
		Floor: int64(c.Settings.Budget.FloorPercent) * budget.FullShare / 100,
	}
}

// post posts a renewal and records whether it failed.
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

// Release gives up the lease and every holding. It is called at the end of a
// planned stop.
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

// Renew posts a renewal now, so that the other instances learn at once of a planned
// stop.
func (m *MembershipController) Renew(ctx context.Context) {
	m.renew(ctx)
}
