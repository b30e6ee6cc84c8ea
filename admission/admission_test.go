package admission_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/lending"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func clock() time.Time { return now }

// loanClient is a fake LoanClient that lends up to an amount.
type loanClient struct {
	amount   float64
	expired  bool
	spent    bool
	returned float64
	loanTime time.Duration
}

// Borrow implements admission.LoanClient.
func (l *loanClient) Borrow(_ context.Context, pool string, amount float64, loanTime time.Duration) lending.Loans {
	l.loanTime = loanTime
	loans := lending.Loans{
		Pool:     pool,
		Amount:   min(amount, l.amount),
		Deadline: now.Add(time.Second),
	}
	if l.expired {
		loans.Deadline = now.Add(-time.Second)
	}
	return loans
}

// Spent implements admission.LoanClient.
func (l *loanClient) Spent(lending.Loans) { l.spent = true }

// Close implements admission.LoanClient.
func (l *loanClient) Close(loans lending.Loans, unused float64) float64 {
	l.returned = max(0, min(unused, loans.Amount))
	return unused - l.returned
}

func newCharger(l *loanClient, level float64) *admission.Charger {
	bank := budget.NewBank()
	terms := budget.Terms{
		Rate:  100,
		Burst: 1000,
		Share: budget.Share{
			Leased: budget.FullShare / 2,
		},
		LeasedDeadline: now.Add(time.Hour),
	}
	// The bucket has filled up, and the team has spent it down to the level.
	const fullLevel = 500
	bank.SetTerms("team/red", terms, now.Add(-time.Minute))
	bank.Spend("team/red", fullLevel-level, 0, now)
	return &admission.Charger{
		Bank:       bank,
		LoanClient: l,
		Clock:      clock,
	}
}

func TestCharge(t *testing.T) {
	type outcome struct {
		Code     pomelospring.Code
		Retry    bool
		Spent    bool
		Returned float64
	}
	scenarios := []struct {
		name       string
		loanClient loanClient
		level      float64
		cost       float64
		want       outcome
	}{
		{
			name:  "a cost that the bucket covers is charged",
			level: 200,
			cost:  200,
			want:  outcome{},
		},
		{
			name:       "the shortfall is borrowed and spent",
			loanClient: loanClient{amount: 500},
			level:      200,
			cost:       600,
			want:       outcome{Spent: true},
		},
		{
			name:       "loans that do not cover the shortfall are returned",
			loanClient: loanClient{amount: 100},
			level:      200,
			cost:       600,
			want:       outcome{Code: pomelospring.CodeOverRate, Retry: true, Returned: 100},
		},
		{
			name:       "an expired loan is returned, not spent",
			loanClient: loanClient{amount: 500, expired: true},
			level:      200,
			cost:       600,
			want:       outcome{Code: pomelospring.CodeOverRate, Retry: true, Returned: 400},
		},
		{
			name:       "a cost above the burst is refused without a retry time",
			loanClient: loanClient{amount: 5000},
			level:      200,
			cost:       1001,
			want:       outcome{Code: pomelospring.CodeLargerThanBurst},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			l := scenario.loanClient
			team := pomelospring.Team{
				Name:  "red",
				Rate:  100,
				Burst: 1000,
			}
			_, refusal := newCharger(&l, scenario.level).Charge(context.Background(), team, scenario.cost)
			got := outcome{
				Spent:    l.spent,
				Returned: l.returned,
			}
			if refusal != nil {
				got.Code = refusal.Code
				got.Retry = refusal.RetryAt.After(now)
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSettleRepaysLoansFirst(t *testing.T) {
	l := &loanClient{
		amount: 500,
	}
	charger := newCharger(l, 200)
	team := pomelospring.Team{
		Name:  "red",
		Rate:  100,
		Burst: 1000,
	}
	charge, refusal := charger.Charge(context.Background(), team, 600)
	if refusal != nil {
		t.Fatal(refusal)
	}
	charger.Settle(charge, 100)
	missing, _ := charger.Bank.Shortfall("team/red", 100, now)
	if diff := cmp.Diff([]float64{400, 0}, []float64{l.returned, missing}, cmp.Comparer(near)); diff != "" {
		t.Error(diff)
	}
}

// TestConcurrentRequestsDoNotSpendTheSameTokens charges a second request while
// the first one waits for its loan. The second must not spend the tokens that
// the first one has taken from the bucket.
func TestConcurrentRequestsDoNotSpendTheSameTokens(t *testing.T) {
	l := &loanClient{
		amount: 500,
	}
	charger := newCharger(l, 200)
	team := pomelospring.Team{
		Name:  "red",
		Rate:  100,
		Burst: 1000,
	}
	nested := &nestedLoanClient{
		loanClient: l,
		during: func() {
			if _, refusal := charger.Charge(context.Background(), team, 400); refusal != nil {
				t.Errorf("the second request is refused: %v", refusal)
			}
		},
	}
	charger.LoanClient = nested
	if _, refusal := charger.Charge(context.Background(), team, 600); refusal != nil {
		t.Errorf("the first request is refused: %v", refusal)
	}
}

// nestedLoanClient calls during once, while a loan is in flight.
type nestedLoanClient struct {
	*loanClient
	during func()
}

// Borrow implements admission.LoanClient.
func (n *nestedLoanClient) Borrow(ctx context.Context, pool string, amount float64, loanTime time.Duration) lending.Loans {
	during := n.during
	n.during = nil
	if during != nil {
		during()
	}
	return n.loanClient.Borrow(ctx, pool, amount, loanTime)
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

func state(adapters int) *configuration.State {
	s := configuration.NewState()
	for n := range adapters {
		name := fmt.Sprint("adapter", n)
		s.Adapters[name] = pomelospring.Adapter{
			Name:     name,
			Base:     "base",
			Versions: []string{"v1"},
		}
	}
	s.Teams["red"] = pomelospring.Team{
		Name:  "red",
		Rate:  1e12,
		Burst: 1e12,
		Adapters: map[string][]string{
			"*": {"*"},
		},
	}
	s.Keys["web"] = pomelospring.Key{
		ID:   "web",
		Team: "red",
		Hash: admission.Hash("secret"),
	}
	s.KeysByHash[sha256.Sum256([]byte("secret"))] = "web"
	return s
}

// BenchmarkAdmission measures admission from the key check to the settled charge,
// by the number of adapters.
func BenchmarkAdmission(b *testing.B) {
	for _, adapters := range []int{130, 1300, 13000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			s := state(adapters)
			bank := budget.NewBank()
			bank.SetTerms("team/red", budget.Terms{
				Rate:  1e12,
				Burst: 1e12,
				Share: budget.Share{
					Leased: budget.FullShare,
				},
				LeasedDeadline: time.Now().Add(time.Hour),
			}, time.Now())
			charger := &admission.Charger{
				Bank:       bank,
				LoanClient: &loanClient{},
				Clock:      time.Now,
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				_, team, refusal := admission.Identify(s, "secret")
				if refusal != nil {
					b.Fatal(refusal)
				}
				if _, _, refusal = admission.Authorize(s, team, "adapter7@v1"); refusal != nil {
					b.Fatal(refusal)
				}
				charge, refusal := charger.Charge(context.Background(), team, 100)
				if refusal != nil {
					b.Fatal(n, refusal)
				}
				charger.Settle(charge, 80)
			}
		})
	}
}

// TestFillingBudgetIsNotOverRate charges a team that has used nothing, while its
// budget is not allocated or its bucket is not filled yet. The refusal must not
// say that the team is over its rate.
func TestFillingBudgetIsNotOverRate(t *testing.T) {
	const fillTime = 10 * time.Second
	terms := budget.Terms{
		Rate:  100,
		Burst: 1000,
		Share: budget.Share{
			Leased: budget.FullShare / 2,
		},
		LeasedDeadline: now.Add(time.Hour),
	}
	scenarios := []struct {
		name string
		// shared is the age of the instance's first share; negative for none.
		shared time.Duration
		// opened is the age of the bucket; negative for none.
		opened   time.Duration
		expected pomelospring.Code
	}{
		{"no bucket yet", -1, -1, pomelospring.CodeBudgetFilling},
		{"a bucket without a share yet", -1, time.Second, pomelospring.CodeBudgetFilling},
		{"a share just allocated", 0, time.Second, pomelospring.CodeBudgetFilling},
		{"a share for half of the fill time", fillTime / 2, fillTime, pomelospring.CodeBudgetFilling},
		{"a share for the whole fill time", fillTime, fillTime, pomelospring.CodeOverRate},
		{"no share long after the bucket was created", -1, time.Minute, pomelospring.CodeOverRate},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			bank := budget.NewBank()
			without := terms
			without.Share = budget.Share{}
			if s.opened >= 0 {
				bank.SetTerms("team/red", without, now.Add(-s.opened))
			}
			if s.shared >= 0 {
				bank.SetTerms("team/red", terms, now.Add(-s.shared))
				bank.Spend("team/red", 1000*min(0.5, s.shared.Seconds()/20), 0, now)
			}
			charger := &admission.Charger{
				Bank:       bank,
				LoanClient: &loanClient{},
				Clock:      clock,
			}
			_, refusal := charger.Charge(context.Background(), pomelospring.Team{
				Name:  "red",
				Rate:  100,
				Burst: 1000,
			}, 600)
			if refusal == nil {
				t.Fatal("the request is admitted")
			}
			if diff := cmp.Diff(s.expected, refusal.Code); diff != "" {
				t.Error(diff)
			}
			if !refusal.RetryAt.After(now) {
				t.Errorf("retry at %v, not later than now", refusal.RetryAt)
			}
		})
	}
}

// TestLoansTakeLongerWhileTheBucketFills checks the loan time of an instance that
// has just started, and of one whose team has spent its budget.
func TestLoansTakeLongerWhileTheBucketFills(t *testing.T) {
	scenarios := []struct {
		name    string
		running time.Duration
		want    time.Duration
	}{
		{name: "just started", want: lending.FillingLoanTime},
		{name: "a full bucket was spent", running: time.Minute, want: lending.LoanTime},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			client := &loanClient{amount: 600}
			charger := newCharger(client, 0)
			charger.Bank = budget.NewBank()
			charger.Bank.SetTerms("team/red", budget.Terms{
				Rate:           100,
				Burst:          1000,
				Share:          budget.Share{Leased: budget.FullShare / 2},
				LeasedDeadline: now.Add(time.Hour),
			}, now.Add(-scenario.running))
			if _, refusal := charger.Charge(t.Context(), pomelospring.Team{Name: "red", Rate: 100, Burst: 1000}, 600); refusal != nil {
				t.Fatal(refusal)
			}
			if diff := cmp.Diff(scenario.want, client.loanTime); diff != "" {
				t.Error(diff)
			}
		})
	}
}
