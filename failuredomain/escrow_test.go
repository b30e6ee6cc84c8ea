package failuredomain_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/failuredomain"
	"pgregory.net/rapid"
)

const (
	pool        = "team/x"
	fullRate    = 1000.0
	fullBurst   = 2000.0
	clockBound  = 300 * time.Millisecond
	loanTimeout = 200 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates two failure domains of two instances each. Their domain
// streams and the budget stream delay, reorder, lose and repeat appends.
type fleet struct {
	t       *rapid.T
	now     time.Time
	budget  stream
	domains []*domain
	// oracle is a reference bucket with the full rate and burst. Spending that
	// overdraws it exceeds rate x window + burst over some window.
	oracle        float64
	oracleUpdated time.Time
	loans         []loan
	spent         float64
	nextID        int
}

// stream is a log stream with the appends that it has not stored yet.
type stream struct {
	records  []pomelospring.StoredRecord
	inFlight []pomelospring.Record
}

type domain struct {
	name      string
	stream    stream
	instances []*instance
}

// instance has a skewed clock and lags behind both streams. It may be paused or
// replaced after a crash. local and common are its states of the domain stream
// and of the budget stream.
type instance struct {
	id       string
	skew     time.Duration
	domain   *domain
	local    *failuredomain.State
	common   *budget.State
	holder   budget.Holder
	bucket   *budget.Bucket
	paused   bool
	reserved []reservation
}

// reservation is an open charge with the tokens that it really uses.
type reservation struct {
	reservation budget.Reservation
	used        float64
}

// loan is a loan that the borrower has not received yet.
type loan struct {
	id       string
	from     *instance
	to       *instance
	amount   float64
	deadline time.Time
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t:             t,
		now:           start,
		oracle:        fullBurst,
		oracleUpdated: start,
	}
	for _, name := range []string{"a", "b"} {
		d := &domain{
			name: name,
		}
		f.domains = append(f.domains, d)
		for range 2 {
			f.addInstance(d)
		}
	}
	return f
}

func (f *fleet) addInstance(d *domain) {
	f.nextID++
	i := &instance{
		id:     fmt.Sprintf("%s-%d", d.name, f.nextID),
		skew:   time.Duration(rapid.IntRange(0, int(clockBound/time.Millisecond)).Draw(f.t, "skew")) * time.Millisecond,
		domain: d,
		local:  failuredomain.NewState(),
		common: budget.NewState(),
	}
	i.holder.Name = i.id
	i.bucket = budget.NewBucket(f.clock(i))
	d.instances = append(d.instances, i)
}

func (f *fleet) clock(i *instance) time.Time {
	return f.now.Add(i.skew)
}

func (f *fleet) pickInstance() *instance {
	var all []*instance
	for _, d := range f.domains {
		all = append(all, d.instances...)
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(f.t, "instance")]
}

func (f *fleet) send(s *stream, kind string, stamp time.Time, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	s.inFlight = append(s.inFlight, pomelospring.Record{
		Kind:  kind,
		Stamp: stamp,
		Body:  encoded,
	})
}

// deliver stores a random append that is in flight, or loses it, or stores it
// and leaves it in flight so that it can be stored again.
func (f *fleet) deliver(s *stream) {
	if len(s.inFlight) == 0 {
		return
	}
	n := rapid.IntRange(0, len(s.inFlight)-1).Draw(f.t, "record")
	record := s.inFlight[n]
	outcome := rapid.IntRange(0, 9).Draw(f.t, "fate")
	if outcome != 1 {
		s.inFlight = append(s.inFlight[:n], s.inFlight[n+1:]...)
	}
	if outcome == 0 {
		return
	}
	s.records = append(s.records, pomelospring.StoredRecord{
		Record: record,
		Offset: int64(len(s.records)),
	})
}

// read lets an instance fold a random number of unread records of each stream.
func (f *fleet) read(i *instance) {
	local := rapid.IntRange(int(i.local.Next), len(i.domain.stream.records)).Draw(f.t, "domain offset")
	common := rapid.IntRange(int(i.common.Next), len(f.budget.records)).Draw(f.t, "budget offset")
	f.readUpTo(i, local, common)
}

func (f *fleet) readUpTo(i *instance, local, common int) {
	for _, record := range i.domain.stream.records[i.local.Next:local] {
		i.local = failuredomain.Fold(i.local, record, clockBound)
	}
	for _, record := range f.budget.records[i.common.Next:common] {
		i.common = budget.Fold(i.common, record, clockBound)
	}
	i.holder.ReadBack(i.local.Ledger)
	f.applyTerms(i)
}

func (f *fleet) applyTerms(i *instance) {
	usable := i.holder.Usable()
	i.bucket.SetTerms(budget.Terms{
		Rate:             fullRate,
		Burst:            fullBurst,
		Share:            usable.Shares[pool],
		LeasedDeadline:   usable.LeasedDeadline,
		StandingDeadline: usable.StandingDeadline,
	}, f.clock(i))
}

func (f *fleet) drawShares() map[string]budget.Share {
	return map[string]budget.Share{
		pool: {
			Leased:   rapid.SampledFrom([]int64{0, budget.FullShare / 4, budget.FullShare, budget.FullShare}).Draw(f.t, "leased"),
			Standing: rapid.SampledFrom([]int64{0, 0, budget.FullShare / 2}).Draw(f.t, "standing"),
		},
	}
}

// claim makes an instance renew its lease with random shares, possibly none.
// The claim still covers the shares that the instance has lent.
func (f *fleet) claim(i *instance) {
	now := f.clock(i)
	leased := now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(f.t, "leased millis")) * time.Millisecond)
	standing := now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(f.t, "standing millis")) * time.Millisecond)
	shares := f.drawShares()
	covered := shares[pool]
	covered.Leased = max(covered.Leased, i.bucket.LentShare(now)-covered.Standing)
	shares[pool] = covered
	claim := i.holder.NewClaim(shares, nil, leased, standing)
	f.applyTerms(i)
	f.send(&i.domain.stream, failuredomain.KindRenewal, now, failuredomain.Renewal{
		Instance: pomelospring.Instance{
			ID:     i.id,
			Domain: i.domain.name,
		},
		Deadline: now.Add(3 * time.Second),
		Claim:    claim,
	})
}

// actAsWriter makes an instance act as its domain's writer on its own, possibly
// stale state. Several instances may do so at the same time.
func (f *fleet) actAsWriter(i *instance) {
	f.writerStep(i, rapid.IntRange(0, 2).Draw(f.t, "writer's step"))
}

// writerStep does one of the writer's tasks: it announces a claim of the domain
// (0), sends the newest announced claim to the budget stream if the instances'
// holdings fit (1), or copies the domain's grant from the budget stream (2).
func (f *fleet) writerStep(i *instance, step int) {
	now := f.clock(i)
	switch step {
	case 0:
		f.send(&i.domain.stream, failuredomain.KindDomainClaim, now, failuredomain.DomainClaim{
			Claim: budget.Claim{
				Holder:           i.domain.name,
				Sequence:         i.local.LastSequence() + 1,
				Shares:           f.drawShares(),
				LeasedDeadline:   now.Add(5 * time.Second),
				StandingDeadline: now.Add(10 * time.Second),
			},
		})
	case 1:
		if n := len(i.local.Claims); n > 0 && i.local.HoldingsFit(i.local.Claims[n-1], now.Add(-clockBound)) {
			f.send(&f.budget, budget.KindClaim, now, i.local.Claims[n-1])
		}
	case 2:
		if held, known := i.common.Ledger[i.domain.name]; known {
			f.send(&i.domain.stream, failuredomain.KindDomainGrant, now, failuredomain.DomainGrant{
				Holding: held,
			})
		}
	}
}

// spend reserves all available tokens or half of them, and leaves the
// reservation open. The tokens used count at once.
func (f *fleet) spend(i *instance) {
	if i.paused {
		return
	}
	now := f.clock(i)
	cost := i.bucket.Level(now) * rapid.SampledFrom([]float64{1, 1, 0.5}).Draw(f.t, "part")
	r, spent := i.bucket.Spend(cost, now)
	if !spent || cost <= 0 {
		return
	}
	used := cost * rapid.SampledFrom([]float64{1, 0.5, 0}).Draw(f.t, "used")
	i.reserved = append(i.reserved, reservation{
		reservation: r,
		used:        used,
	})
	f.consume(used)
}

// checkInvariants fails the test if the shares in use exceed the full pool, or
// the available tokens exceed the burst. The bound on spending follows from
// both, and a violation shows here before it shows in the spending.
func (f *fleet) checkInvariants() {
	var inUse int64
	var tokens float64
	for _, d := range f.domains {
		for _, i := range d.instances {
			share := i.holder.Usable().ShareAt(pool, f.clock(i).Add(1))
			inUse += share.Leased + share.Standing
			tokens += i.bucket.Level(f.clock(i))
		}
	}
	for _, l := range f.loans {
		if !f.clock(l.to).After(l.deadline) {
			tokens += l.amount
		}
	}
	if inUse > budget.FullShare {
		f.t.Fatalf("%d parts per million of the pool are in use", inUse)
	}
	if tokens > fullBurst+1e-3 {
		f.t.Fatalf("%.3f tokens are available, more than the burst", tokens)
	}
}

// consume charges used tokens to the oracle.
func (f *fleet) consume(tokens float64) {
	f.oracle = min(fullBurst, f.oracle+fullRate*f.now.Sub(f.oracleUpdated).Seconds())
	f.oracleUpdated = f.now
	f.oracle -= tokens
	f.spent += tokens
	if f.oracle < -1e-3 {
		f.t.Fatalf("%.3f tokens over the bound of rate x window + burst", -f.oracle)
	}
}

func (f *fleet) settle(i *instance) {
	if len(i.reserved) == 0 {
		return
	}
	n := rapid.IntRange(0, len(i.reserved)-1).Draw(f.t, "reservation")
	r := i.reserved[n]
	i.reserved = append(i.reserved[:n], i.reserved[n+1:]...)
	i.bucket.Settle(r.reservation, r.used, f.clock(i))
}

func (f *fleet) lend(from, to *instance) {
	if from == to {
		return
	}
	deadline := f.clock(to).Add(loanTimeout)
	f.nextID++
	id := fmt.Sprint(f.nextID)
	amount := from.bucket.Lend(id, fullBurst*rapid.Float64Range(0, 1).Draw(f.t, "loan"), deadline.Add(clockBound), f.clock(from))
	f.loans = append(f.loans, loan{
		id:       id,
		from:     from,
		to:       to,
		amount:   amount,
		deadline: deadline,
	})
}

// endLoan ends the oldest loan: it is lost, expired, given back to the lender,
// or deposited with the borrower.
func (f *fleet) endLoan() {
	if len(f.loans) == 0 {
		return
	}
	l := f.loans[0]
	f.loans = f.loans[1:]
	if rapid.Bool().Draw(f.t, "lost") || f.clock(l.to).After(l.deadline) {
		return
	}
	if rapid.Bool().Draw(f.t, "given back") {
		l.from.bucket.CloseLoan(l.id, l.amount, f.clock(l.from))
		return
	}
	l.to.bucket.Deposit(l.amount, f.clock(l.to))
	if rapid.Bool().Draw(f.t, "closed") {
		l.from.bucket.MarkLoanSpent(l.id, f.clock(l.from))
	}
}

// crash replaces an instance by a new one with an empty state.
func (f *fleet) crash(i *instance) {
	remaining := i.domain.instances[:0]
	for _, other := range i.domain.instances {
		if other != i {
			remaining = append(remaining, other)
		}
	}
	i.domain.instances = remaining
	f.addInstance(i.domain)
}

// renewDomain takes a domain through the steps of a renewal in order: the
// announced claim, the budget claim, the copied grant and the instances' claims.
// Each of the first three steps is done twice, by instances picked at random.
// Random steps alone would rarely give an instance a holding.
func (f *fleet) renewDomain(d *domain) {
	for step := range 3 {
		for range 2 {
			i := d.instances[rapid.IntRange(0, len(d.instances)-1).Draw(f.t, "writer")]
			f.readAll(i)
			f.writerStep(i, step)
			f.deliver(&d.stream)
			f.deliver(&f.budget)
		}
	}
	for _, i := range d.instances {
		f.claim(i)
		f.deliver(&d.stream)
		f.readAll(i)
	}
}

func (f *fleet) readAll(i *instance) {
	f.readUpTo(i, len(i.domain.stream.records), len(f.budget.records))
}

// step takes one random action on one instance and then delivers appends. In half
// of the steps a random instance spends first. If the chosen instance is paused,
// time passes instead of the action.
func (f *fleet) step() {
	i := f.pickInstance()
	action := rapid.IntRange(0, 20).Draw(f.t, "action")
	if rapid.Bool().Draw(f.t, "spend") {
		f.spend(f.pickInstance())
	}
	if i.paused {
		i.paused = rapid.IntRange(0, 3).Draw(f.t, "still paused") > 0
	} else {
		i.paused = action == 0
	}
	if i.paused {
		action = 20
	}
	switch action {
	case 1, 2:
		f.claim(i)
	case 3, 4, 5:
		f.actAsWriter(i)
	case 6, 7, 8:
		f.read(i)
	case 9, 10, 11:
		f.spend(i)
	case 12:
		f.settle(i)
	case 13:
		f.lend(i, f.pickInstance())
	case 14:
		f.endLoan()
	case 15, 16:
		f.renewDomain(i.domain)
	case 17:
		if rapid.IntRange(0, 9).Draw(f.t, "crash") == 0 {
			f.crash(i)
		}
	default:
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(f.t, "millis")) * time.Millisecond)
	}
	for _, d := range f.domains {
		f.deliver(&d.stream)
	}
	f.deliver(&f.budget)
}

// TestTeamSpendingWithinRateAndBurst guards against a team that spends more
// than its rate and burst. It drives both ledgers, holders and buckets through
// random schedules: delayed, lost, repeated and reordered appends, lagging
// readers, two writers in one domain, skewed clocks, pauses, crashes and loans.
func TestTeamSpendingWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			f.step()
			f.checkInvariants()
		}
	})
}

// TestRandomSchedulesSpendBudget checks that the random schedules of
// TestTeamSpendingWithinRateAndBurst spend tokens at all: that test would pass
// without any spending. At least one schedule must spend 10 % of the bound.
func TestRandomSchedulesSpendBudget(t *testing.T) {
	maxFraction := 0.0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 300 {
			f.step()
		}
		maxFraction = max(maxFraction, f.spent/(fullBurst+fullRate*f.now.Sub(start).Seconds()))
	})
	t.Logf("largest fraction of the bound spent in one schedule: %.2f", maxFraction)
	if maxFraction < 0.1 {
		t.Fatalf("at most %.2f of the bound was spent in a schedule", maxFraction)
	}
}
