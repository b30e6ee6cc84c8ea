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
	pool       = "team/x"
	wholeRate  = 1000.0
	wholeBurst = 2000.0
	clockBound = 300 * time.Millisecond
	loanTime   = 200 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is two failure domains with a few instances each, over two levels of
// streams that delay, reorder, lose and repeat appends.
type fleet struct {
	t       *rapid.T
	now     time.Time
	budget  stream
	domains []*domain
	// oracle is one bucket of the whole rate and burst: spending that ever
	// overdraws it has broken the bound over some window.
	oracle     float64
	oracleLast time.Time
	loans      []loan
	spent      float64
	next       int
}

type stream struct {
	records []pomelospring.StoredRecord
	flying  []pomelospring.Record
}

type domain struct {
	name      string
	stream    stream
	instances []*instance
}

// instance has its own clock, reads late and may be paused or crashed.
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

type reservation struct {
	reservation budget.Reservation
	used        float64
}

type loan struct {
	id       string
	from     *instance
	to       *instance
	amount   float64
	deadline time.Time
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t:          t,
		now:        start,
		oracle:     wholeBurst,
		oracleLast: start,
	}
	for _, name := range []string{"a", "b"} {
		d := &domain{
			name: name,
		}
		f.domains = append(f.domains, d)
		for range 2 {
			f.join(d)
		}
	}
	return f
}

func (f *fleet) join(d *domain) {
	f.next++
	i := &instance{
		id:     fmt.Sprintf("%s-%d", d.name, f.next),
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

func (f *fleet) pick() *instance {
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
	s.flying = append(s.flying, pomelospring.Record{
		Kind:  kind,
		Stamp: stamp,
		Body:  encoded,
	})
}

// deliver moves one append into its stream, in any order, perhaps never,
// perhaps twice.
func (f *fleet) deliver(s *stream) {
	if len(s.flying) == 0 {
		return
	}
	n := rapid.IntRange(0, len(s.flying)-1).Draw(f.t, "record")
	record := s.flying[n]
	fate := rapid.IntRange(0, 9).Draw(f.t, "fate")
	if fate != 1 {
		s.flying = append(s.flying[:n], s.flying[n+1:]...)
	}
	if fate == 0 {
		return
	}
	s.records = append(s.records, pomelospring.StoredRecord{
		Record: record,
		Offset: int64(len(s.records)),
	})
}

// read lets an instance fold some of what it has not read yet.
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
	f.apply(i)
}

func (f *fleet) apply(i *instance) {
	usable := i.holder.Usable()
	i.bucket.SetTerms(budget.Terms{
		Rate:             wholeRate,
		Burst:            wholeBurst,
		Share:            usable.Shares[pool],
		LeasedDeadline:   usable.LeasedDeadline,
		StandingDeadline: usable.StandingDeadline,
	}, f.clock(i))
}

func (f *fleet) share() map[string]budget.Share {
	return map[string]budget.Share{
		pool: {
			Leased:   rapid.SampledFrom([]int64{0, budget.FullShare / 4, budget.FullShare, budget.FullShare}).Draw(f.t, "leased"),
			Standing: rapid.SampledFrom([]int64{0, 0, budget.FullShare / 2}).Draw(f.t, "standing"),
		},
	}
}

// claim makes an instance renew with any share, or give all up.
func (f *fleet) claim(i *instance) {
	now := f.clock(i)
	leased := now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(f.t, "leased millis")) * time.Millisecond)
	standing := now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(f.t, "standing millis")) * time.Millisecond)
	shares := f.share()
	covered := shares[pool]
	covered.Leased = max(covered.Leased, i.bucket.LentShare(now)-covered.Standing)
	shares[pool] = covered
	claim := i.holder.NewClaim(shares, nil, leased, standing)
	f.apply(i)
	f.send(&i.domain.stream, failuredomain.KindRenewal, now, failuredomain.Renewal{
		Instance: pomelospring.Instance{
			ID:     i.id,
			Domain: i.domain.name,
		},
		Deadline: now.Add(3 * time.Second),
		Claim:    claim,
	})
}

// write makes an instance act as its domain's writer, by its own late view:
// several may do so at once.
func (f *fleet) write(i *instance) {
	f.writeStep(i, rapid.IntRange(0, 2).Draw(f.t, "writer's step"))
}

func (f *fleet) writeStep(i *instance, step int) {
	now := f.clock(i)
	switch step {
	case 0:
		f.send(&i.domain.stream, failuredomain.KindDomainClaim, now, failuredomain.DomainClaim{
			Claim: budget.Claim{
				Holder:           i.domain.name,
				Sequence:         i.local.LastSequence() + 1,
				Shares:           f.share(),
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

// spend takes as much as it can, or a part of it, and keeps it open.
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

// check holds the shares in use and the tokens at hand against the whole: the
// bound follows from both, and a break shows here at once.
func (f *fleet) check() {
	var parts int64
	var tokens float64
	for _, d := range f.domains {
		for _, i := range d.instances {
			share := i.holder.Usable().ShareAt(pool, f.clock(i).Add(1))
			parts += share.Leased + share.Standing
			tokens += i.bucket.Level(f.clock(i))
		}
	}
	for _, l := range f.loans {
		if !f.clock(l.to).After(l.deadline) {
			tokens += l.amount
		}
	}
	if parts > budget.FullShare {
		f.t.Fatalf("%d parts per million are in use", parts)
	}
	if tokens > wholeBurst+1e-3 {
		f.t.Fatalf("%.3f tokens are at hand, over the burst", tokens)
	}
}

// consume counts tokens received against the oracle, at the time of charge.
func (f *fleet) consume(tokens float64) {
	f.oracle = min(wholeBurst, f.oracle+wholeRate*f.now.Sub(f.oracleLast).Seconds())
	f.oracleLast = f.now
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
	deadline := f.clock(to).Add(loanTime)
	f.next++
	id := fmt.Sprint(f.next)
	amount := from.bucket.Lend(id, wholeBurst*rapid.Float64Range(0, 1).Draw(f.t, "loan"), deadline.Add(clockBound), f.clock(from))
	f.loans = append(f.loans, loan{
		id:       id,
		from:     from,
		to:       to,
		amount:   amount,
		deadline: deadline,
	})
}

// borrow ends one loan: it is lost, or deposited within its deadline.
func (f *fleet) borrow() {
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

// crash replaces an instance by a new one that knows nothing.
func (f *fleet) crash(i *instance) {
	kept := i.domain.instances[:0]
	for _, other := range i.domain.instances {
		if other != i {
			kept = append(kept, other)
		}
	}
	i.domain.instances = kept
	f.join(i.domain)
}

// round takes one domain through all steps of a renewal in good order, each
// step by an instance of its own, so that holdings come about at all.
func (f *fleet) round(d *domain) {
	for step := range 3 {
		for range 2 {
			i := d.instances[rapid.IntRange(0, len(d.instances)-1).Draw(f.t, "writer")]
			f.readAll(i)
			f.writeStep(i, step)
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

func (f *fleet) step() {
	i := f.pick()
	action := rapid.IntRange(0, 20).Draw(f.t, "action")
	if rapid.Bool().Draw(f.t, "spend") {
		f.spend(f.pick())
	}
	if i.paused {
		i.paused = rapid.IntRange(0, 3).Draw(f.t, "paused on") > 0
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
		f.write(i)
	case 6, 7, 8:
		f.read(i)
	case 9, 10, 11:
		f.spend(i)
	case 12:
		f.settle(i)
	case 13:
		f.lend(i, f.pick())
	case 14:
		f.borrow()
	case 15, 16:
		f.round(i.domain)
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

// TestNoTeamOverItsRateAndBurst drives both ledgers, holders and buckets
// through random schedules: late, lost, repeated and reordered appends, lagging
// readers, two writers in one domain, skewed clocks, pauses, crashes and loans.
func TestNoTeamOverItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			f.step()
			f.check()
		}
	})
}

// TestSpendingMovesAtAll keeps the test above honest: in a quiet schedule of
// the same fleet most of the budget can be spent.
func TestSpendingMovesAtAll(t *testing.T) {
	best := 0.0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 300 {
			f.step()
		}
		best = max(best, f.spent/(wholeBurst+wholeRate*f.now.Sub(start).Seconds()))
	})
	t.Logf("most spent of the bound in one schedule: %.2f", best)
	if best < 0.1 {
		t.Fatalf("only %.2f of the bound was spent in the best schedule", best)
	}
}
