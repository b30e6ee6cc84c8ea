package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring/budget"
)

// RefusalCase is a team that sends less than its rate, from all instances.
type RefusalCase struct {
	Name string
	// Rate and Burst are the team's, in tokens a second and tokens.
	Rate  float64
	Burst float64
	// DemandFraction is the part of the rate that the team uses.
	DemandFraction float64
	// HotFraction is the part of the requests that one instance gets, which changes
	// each minute; 0 spreads them evenly.
	HotFraction float64
	// Crash replaces an instance without notice at half time: its leased part
	// is locked up for leasedTime, its standing part to the end.
	Crash bool
	// LogOutage keeps shares as they are for the middle third.
	LogOutage bool
	Length    time.Duration
}

// SharingPolicy is how a team's budget is shared out.
type SharingPolicy struct {
	Name          string
	FollowsDemand bool
	Lends         bool
}

// SharingPolicies are the policy of the daemon and the baseline.
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

// RefusalResult is what one run came to.
type RefusalResult struct {
	Requests int
	// FalseRefusals were refused although one bucket of the whole would have taken
	// them.
	FalseRefusals int
	// MaxBoundUse is the most received over any window, against the bound.
	MaxBoundUse float64
}

const (
	sharers      = 9
	leasedTime   = 75 * time.Second
	standingPart = 3 * budget.FullShare / 10
	teamPool     = "team/x"
	meanCost     = 180
	// leastBurst is the daemon's own default.
	leastBurst = 1000
	// usedPart is what a request uses of its charge, and runTime how long it
	// runs before the rest is given back.
	usedPart = 0.6
	runTime  = 2 * time.Second
)

// refusals is one run.
type refusals struct {
	c       RefusalCase
	policy  SharingPolicy
	random  *rand.Rand
	now     time.Duration
	events  events
	order   int
	banks   []*budget.Bank
	shares  []budget.Share
	oracle  *budget.Bucket
	bound   *budget.Bucket
	crashed time.Duration
	lost    budget.Share
	loans   int
	result  RefusalResult
}

// RunRefusals measures one policy on one case.
func RunRefusals(c RefusalCase, policy SharingPolicy, seed uint64) RefusalResult {
	r := &refusals{
		c:      c,
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 3)),
	}
	r.oracle = r.wholeBucket()
	r.bound = r.wholeBucket()
	for range sharers {
		r.banks = append(r.banks, budget.NewBank())
		r.shares = append(r.shares, budget.Share{
			Leased:   (budget.FullShare - standingPart) / sharers,
			Standing: standingPart / sharers,
		})
	}
	r.apply()
	r.plan()
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r.result
}

func (r *refusals) wholeBucket() *budget.Bucket {
	bucket := budget.NewBucket(epoch)
	bucket.SetTerms(r.terms(budget.Share{
		Leased: budget.FullShare,
	}), epoch)
	return bucket
}

func (r *refusals) terms(share budget.Share) budget.Terms {
	return budget.Terms{
		Rate:             r.c.Rate,
		Burst:            r.c.Burst,
		Share:            share,
		LeasedDeadline:   epoch.Add(1000 * time.Hour),
		StandingDeadline: epoch.Add(1000 * time.Hour),
	}
}

func (r *refusals) apply() {
	for i, bank := range r.banks {
		bank.SetTerms(teamPool, r.terms(r.shares[i]), r.clock())
	}
}

func (r *refusals) clock() time.Time { return epoch.Add(r.now) }

func (r *refusals) after(at time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, event{
		at:    at,
		order: r.order,
		run:   run,
	})
}

func (r *refusals) plan() {
	rate := r.c.DemandFraction * r.c.Rate / (meanCost * usedPart)
	for at := 10 * time.Second; at < r.c.Length; {
		at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		cost := meanCost/2 + r.random.ExpFloat64()*meanCost/2
		instance := r.random.IntN(sharers)
		if r.random.Float64() < r.c.HotFraction {
			instance = int(at/time.Minute) % sharers
		}
		r.after(at, func() { r.arrive(instance, min(cost, r.c.Burst)) })
	}
	for at := renewTime; at < r.c.Length; at += renewTime {
		r.after(at, r.follow)
	}
	if r.c.Crash {
		r.after(r.c.Length/2, r.crash)
	}
}

func (r *refusals) crash() {
	r.banks[0] = budget.NewBank()
	r.lost = r.shares[0]
	r.crashed = r.now
	r.shares[0] = budget.Share{}
	r.banks[0].SetTerms(teamPool, r.terms(budget.Share{}), r.clock())
}

// follow shares out by demand, less what a crash has locked up.
func (r *refusals) follow() {
	if r.c.LogOutage && r.now > r.c.Length/3 && r.now < 2*r.c.Length/3 {
		return
	}
	if r.crashed > 0 && r.now > r.crashed+leasedTime {
		r.lost.Leased = 0
	}
	if !r.policy.FollowsDemand {
		return
	}
	wanted := map[string]float64{}
	for i, bank := range r.banks {
		wanted[fmt.Sprint(i)] = bank.DemandRates(r.clock())[teamPool]
	}
	available := budget.Share{
		Leased:   budget.FullShare - standingPart,
		Standing: standingPart,
	}
	for domain := range domains {
		r.followDomain(domain, wanted, available.Minus(r.lost))
	}
	r.apply()
}

// followDomain shares one domain's part out among its instances. Demand moves
// parts between instances here; between domains the parts stay even.
func (r *refusals) followDomain(domain int, wanted map[string]float64, available budget.Share) {
	part := budget.Share{
		Leased:   available.Leased / domains,
		Standing: available.Standing / domains,
	}
	var holders []string
	for i := domain; i < sharers; i += domains {
		holders = append(holders, fmt.Sprint(i))
	}
	burst := r.c.Burst * float64(part.Leased+part.Standing) / float64(budget.FullShare)
	chosen := budget.SelectHolders(holders, teamPool, burst, leastBurst)
	targets := budget.Targets(chosen, wanted, part, budget.Split{
		Floor: 3 * budget.FullShare / 10,
	})
	for i := domain; i < sharers; i += domains {
		r.shares[i] = targets[fmt.Sprint(i)]
	}
}

func (r *refusals) arrive(instance int, cost float64) {
	r.result.Requests++
	now := r.clock()
	used := cost * usedPart
	whole, taken := r.oracle.Spend(cost, now)
	if taken {
		r.after(r.now+runTime, func() { r.oracle.Settle(whole, used, r.clock()) })
	}
	bank := r.banks[instance]
	bank.RecordDemand(teamPool, cost, now)
	charge := charged{}
	own, spent := bank.Spend(teamPool, cost, 0, now)
	charge.own = own
	if !spent && r.policy.Lends {
		charge, spent = r.spendWithLoans(instance, cost)
	}
	if !spent {
		if taken {
			r.result.FalseRefusals++
		}
		return
	}
	r.received(used)
	r.after(r.now+runTime, func() { r.settle(instance, charge, used) })
}

// received holds what is used, at the time of the charge, against the bound.
func (r *refusals) received(used float64) {
	now := r.clock()
	level := r.bound.Level(now)
	r.result.MaxBoundUse = max(r.result.MaxBoundUse, (r.c.Burst-level+used)/r.c.Burst)
	reservation, spent := r.bound.Spend(min(used, level), now)
	if spent {
		r.bound.Settle(reservation, used, now)
	}
}

// spendWithLoans borrows what is missing from the others in turn and gives it
// back where it does not suffice, as lending.Borrower does.
func (r *refusals) spendWithLoans(instance int, cost float64) (charge charged, spent bool) {
	bank, now := r.banks[instance], r.clock()
	missing, _ := bank.Shortfall(teamPool, cost, now)
	r.loans++
	charge = charged{
		id:    fmt.Sprint(r.loans),
		loans: map[int]float64{},
	}
	for i := 1; i < sharers && charge.borrowed < missing; i++ {
		lender := (instance + i) % sharers
		lent, _ := r.banks[lender].Lend(teamPool, charge.id, missing-charge.borrowed, now.Add(lendTime), now)
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

// charged is what one request was charged, here and at lenders.
type charged struct {
	own      budget.Reservation
	id       string
	borrowed float64
	loans    map[int]float64
}

// settle gives back what was not used, to the lenders first.
func (r *refusals) settle(instance int, charge charged, used float64) {
	unused := charge.own.Charged + charge.borrowed - used
	for lender := range sharers {
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

// RefusalCases are what refusals inside the rate are measured under.
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
