package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring/budget"
)

// RefusalCase is a workload of one team that sends less than its rate, through
// all instances.
type RefusalCase struct {
	Name string
	// Rate is the team's rate in tokens a second, and Burst its burst in
	// tokens.
	Rate  float64
	Burst float64
	// DemandFraction is the fraction of the rate that the team uses.
	DemandFraction float64
	// HotFraction is the fraction of the requests that go to one hot instance,
	// another one each minute; 0 spreads all requests evenly.
	HotFraction float64
	// Crash replaces an instance without notice halfway through the run. Its
	// leased share is unavailable for leaseDuration, its standing share to the
	// end.
	Crash bool
	// LogOutage makes the log unavailable for the middle third of the run, so
	// that no share changes.
	LogOutage bool
	// Length is the virtual time of the run.
	Length time.Duration
}

// SharingPolicy is how a team's budget is divided among the instances.
type SharingPolicy struct {
	Name string
	// FollowsDemand says whether each renewal moves shares to where the demand
	// is.
	FollowsDemand bool
	// Lends says whether instances lend each other tokens.
	Lends bool
}

// SharingPolicies are the baseline and the daemon's policy.
var SharingPolicies = []SharingPolicy{
	{
		Name: "static split",
	},
	{
		Name:          "current",
		FollowsDemand: true,
		Lends:         true,
	},
}

// RefusalResult holds the figures of one run.
type RefusalResult struct {
	Requests int
	// FalseRefusals is the number of requests that were refused although a
	// single bucket with the whole budget would have admitted them.
	FalseRefusals int
	// MaxBoundUse is the largest number of tokens by which the use over any
	// window exceeded the rate, as a fraction of the burst; above 1, the team
	// got more than its rate and burst allow.
	MaxBoundUse float64
}

const (
	instanceCount = 9
	// leaseDuration is how long a crashed instance's leased share stays
	// unavailable.
	leaseDuration = 75 * time.Second
	// standingShare is the part of the budget that is given out as standing
	// shares; the rest is leased.
	standingShare = 3 * budget.FullShare / 10
	teamPool      = "team/x"
	// meanCost is the mean charge of a request in tokens.
	meanCost = 180
	// defaultMinBurst is the daemon's default for budget.leastBurst, in tokens.
	defaultMinBurst = 1000
	// usedFraction is the fraction of its charge that a request uses. The rest
	// is returned when it ends, after requestDuration.
	usedFraction    = 0.6
	requestDuration = 2 * time.Second
)

// refusalSimulation is the state of one run in virtual time.
type refusalSimulation struct {
	c        RefusalCase
	policy   SharingPolicy
	random   *rand.Rand
	now      time.Duration
	events   events
	sequence int
	banks    []*budget.Bank
	shares   []budget.Share
	// centralBucket holds the whole budget and is charged like a single central
	// bucket, for FalseRefusals.
	centralBucket *budget.Bucket
	// boundBucket holds the whole budget and is charged with what requests use,
	// for MaxBoundUse.
	boundBucket *budget.Bucket
	// crashedAt is the time of the crash; 0 before it.
	crashedAt time.Duration
	// lostShare is the part of the crashed instance's share that is still
	// unavailable.
	lostShare budget.Share
	// loans counts the requests that borrowed, to number their loans.
	loans  int
	result RefusalResult
}

// RunRefusals simulates one policy on one case and returns what it measured.
func RunRefusals(c RefusalCase, policy SharingPolicy, seed uint64) RefusalResult {
	r := &refusalSimulation{
		c:      c,
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 3)),
	}
	r.centralBucket = r.fullBucket()
	r.boundBucket = r.fullBucket()
	for range instanceCount {
		r.banks = append(r.banks, budget.NewBank())
		r.shares = append(r.shares, budget.Share{
			Leased:   (budget.FullShare - standingShare) / instanceCount,
			Standing: standingShare / instanceCount,
		})
	}
	r.apply()
	r.scheduleEvents()
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r.result
}

// fullBucket returns a bucket with the team's whole budget.
func (r *refusalSimulation) fullBucket() *budget.Bucket {
	bucket := budget.NewBucket(virtualStart)
	bucket.SetTerms(r.terms(budget.Share{
		Leased: budget.FullShare,
	}), virtualStart)
	return bucket
}

// terms returns the team's terms for a share. The share outlasts every run.
func (r *refusalSimulation) terms(share budget.Share) budget.Terms {
	return budget.Terms{
		Rate:             r.c.Rate,
		Burst:            r.c.Burst,
		Share:            share,
		LeasedDeadline:   virtualStart.Add(1000 * time.Hour),
		StandingDeadline: virtualStart.Add(1000 * time.Hour),
	}
}

// apply sets the current shares at the instances.
func (r *refusalSimulation) apply() {
	for i, bank := range r.banks {
		bank.SetTerms(teamPool, r.terms(r.shares[i]), r.clock())
	}
}

// clock returns the virtual time as a wall-clock time.
func (r *refusalSimulation) clock() time.Time { return virtualStart.Add(r.now) }

// scheduleAt schedules a function to run at a virtual time.
func (r *refusalSimulation) scheduleAt(at time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, event{
		at:       at,
		sequence: r.sequence,
		run:      run,
	})
}

// scheduleEvents schedules the requests, the renewals of shares and the crash.
func (r *refusalSimulation) scheduleEvents() {
	rate := r.c.DemandFraction * r.c.Rate / (meanCost * usedFraction)
	for at := 10 * time.Second; at < r.c.Length; {
		at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		cost := meanCost/2 + r.random.ExpFloat64()*meanCost/2
		instance := r.random.IntN(instanceCount)
		if r.random.Float64() < r.c.HotFraction {
			instance = int(at/time.Minute) % instanceCount
		}
		r.scheduleAt(at, func() { r.arrive(instance, min(cost, r.c.Burst)) })
	}
	for at := renewInterval; at < r.c.Length; at += renewInterval {
		r.scheduleAt(at, r.updateShares)
	}
	if r.c.Crash {
		r.scheduleAt(r.c.Length/2, r.crash)
	}
}

// crash replaces the first instance by one without a share.
func (r *refusalSimulation) crash() {
	r.banks[0] = budget.NewBank()
	r.lostShare = r.shares[0]
	r.crashedAt = r.now
	r.shares[0] = budget.Share{}
	r.banks[0].SetTerms(teamPool, r.terms(budget.Share{}), r.clock())
}

// updateShares divides the budget by demand, without the share that a crash has
// made unavailable.
func (r *refusalSimulation) updateShares() {
	if r.c.LogOutage && r.now > r.c.Length/3 && r.now < 2*r.c.Length/3 {
		return
	}
	if r.crashedAt > 0 && r.now > r.crashedAt+leaseDuration {
		r.lostShare.Leased = 0
	}
	if !r.policy.FollowsDemand {
		return
	}
	demand := map[string]float64{}
	for i, bank := range r.banks {
		demand[fmt.Sprint(i)] = bank.DemandRates(r.clock())[teamPool]
	}
	available := budget.Share{
		Leased:   budget.FullShare - standingShare,
		Standing: standingShare,
	}
	for domain := range domainCount {
		r.rebalanceDomain(domain, demand, available.Minus(r.lostShare))
	}
	r.apply()
}

// rebalanceDomain divides one failure domain's share among its instances by
// demand. The shares of the domains stay even.
func (r *refusalSimulation) rebalanceDomain(domain int, demand map[string]float64, available budget.Share) {
	domainShare := budget.Share{
		Leased:   available.Leased / domainCount,
		Standing: available.Standing / domainCount,
	}
	var holders []string
	for i := domain; i < instanceCount; i += domainCount {
		holders = append(holders, fmt.Sprint(i))
	}
	burst := r.c.Burst * float64(domainShare.Leased+domainShare.Standing) / float64(budget.FullShare)
	chosen := budget.SelectHolders(holders, teamPool, burst, defaultMinBurst)
	targets := budget.Targets(chosen, demand, domainShare, budget.Split{
		Floor: 3 * budget.FullShare / 10,
	})
	for i := domain; i < instanceCount; i += domainCount {
		r.shares[i] = targets[fmt.Sprint(i)]
	}
}

// arrive charges a request at an instance and, for comparison, to the single
// bucket.
func (r *refusalSimulation) arrive(instance int, cost float64) {
	r.result.Requests++
	now := r.clock()
	used := cost * usedFraction
	reservation, admittedCentrally := r.centralBucket.Spend(cost, now)
	if admittedCentrally {
		r.scheduleAt(r.now+requestDuration, func() { r.centralBucket.Settle(reservation, used, r.clock()) })
	}
	bank := r.banks[instance]
	bank.RecordDemand(teamPool, cost, now)
	charge := requestCharge{}
	own, spent := bank.Spend(teamPool, cost, 0, now)
	charge.own = own
	if !spent && r.policy.Lends {
		charge, spent = r.spendWithLoans(instance, cost)
	}
	if !spent {
		if admittedCentrally {
			r.result.FalseRefusals++
		}
		return
	}
	r.recordUse(used)
	r.scheduleAt(r.now+requestDuration, func() { r.settle(instance, charge, used) })
}

// recordUse compares the tokens that a request uses, counted at the time of its
// charge, with what the team's rate and burst allow.
func (r *refusalSimulation) recordUse(used float64) {
	now := r.clock()
	level := r.boundBucket.Level(now)
	r.result.MaxBoundUse = max(r.result.MaxBoundUse, (r.c.Burst-level+used)/r.c.Burst)
	reservation, spent := r.boundBucket.Spend(min(used, level), now)
	if spent {
		r.boundBucket.Settle(reservation, used, now)
	}
}

// spendWithLoans borrows the shortfall from the other instances one after the
// other, and returns the loans if they don't suffice, as lending.Borrower does.
func (r *refusalSimulation) spendWithLoans(instance int, cost float64) (charge requestCharge, spent bool) {
	bank, now := r.banks[instance], r.clock()
	shortfall, _ := bank.Shortfall(teamPool, cost, now)
	r.loans++
	charge = requestCharge{
		id:    fmt.Sprint(r.loans),
		loans: map[int]float64{},
	}
	for i := 1; i < instanceCount && charge.borrowed < shortfall; i++ {
		lender := (instance + i) % instanceCount
		lent, _ := r.banks[lender].Lend(teamPool, charge.id, shortfall-charge.borrowed, now.Add(loanTimeout), now)
		charge.loans[lender] = lent
		charge.borrowed += lent
	}
	charge.own, spent = bank.Spend(teamPool, cost, charge.borrowed, now)
	for lender, lent := range charge.loans {
		if spent {
			r.banks[lender].MarkLoanSpent(teamPool, charge.id, now)
			continue
		}
		r.banks[lender].CloseLoan(teamPool, charge.id, lent, now)
	}
	return charge, spent
}

// requestCharge is the charge of one request at its instance and its lenders.
type requestCharge struct {
	own      budget.Reservation
	id       string
	borrowed float64
	loans    map[int]float64
}

// settle returns the unused tokens of a charge, to the lenders first.
func (r *refusalSimulation) settle(instance int, charge requestCharge, used float64) {
	unused := charge.own.Charged + charge.borrowed - used
	for lender := range instanceCount {
		lent, known := charge.loans[lender]
		if !known {
			continue
		}
		returned := max(0, min(unused, lent))
		unused -= returned
		r.banks[lender].CloseLoan(teamPool, charge.id, returned, r.clock())
	}
	r.banks[instance].Settle(teamPool, charge.own, charge.own.Charged-unused, r.clock())
}

// RefusalCases returns the workloads and faults under which refusals of requests
// within the team's rate are measured.
func RefusalCases(length time.Duration) []RefusalCase {
	var cases []RefusalCase
	for _, team := range []struct {
		name  string
		rate  float64
		burst float64
	}{
		{
			name:  "large team",
			rate:  5000,
			burst: 20000,
		},
		{
			name:  "small team",
			rate:  500,
			burst: 2000,
		},
	} {
		base := RefusalCase{
			Rate:           team.rate,
			Burst:          team.burst,
			DemandFraction: 0.8,
			Length:         length,
		}
		add := func(name string, change func(c *RefusalCase)) {
			c := base
			c.Name = team.name + ", " + name
			change(&c)
			cases = append(cases, c)
		}
		add("steady", func(*RefusalCase) {})
		add("steady at 0.95 of the rate", func(c *RefusalCase) { c.DemandFraction = 0.95 })
		add("half at one instance, another each minute", func(c *RefusalCase) { c.HotFraction = 0.5 })
		add("an instance crashes", func(c *RefusalCase) { c.Crash = true })
		add("log out for a third", func(c *RefusalCase) { c.LogOutage = true })
		add("log out and half at one instance", func(c *RefusalCase) {
			c.LogOutage = true
			c.HotFraction = 0.5
		})
	}
	return cases
}
