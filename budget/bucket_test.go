package budget_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/budget"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// terms give half of 100 tokens a second and of a burst of 200, most of it
// leased until second 10.
func terms() budget.Terms {
	return budget.Terms{
		Rate:  100,
		Burst: 200,
		Share: budget.Share{
			Leased:   400_000,
			Standing: 100_000,
		},
		LeasedDeadline:   at(10),
		StandingDeadline: at(60),
	}
}

func TestBucket(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(b *budget.Bucket) float64
		want float64
	}{
		{
			name: "a fresh holding starts empty",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(0)) },
			want: 0,
		},
		{
			name: "it fills at its part of the rate",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(1)) },
			want: 50,
		},
		{
			name: "it fills up to its part of the burst",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(9)) },
			want: 100,
		},
		{
			name: "a process that was paused past the lease keeps the standing part only",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(30)) },
			want: 20,
		},
		{
			name: "and nothing past the standing part",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(61)) },
			want: 0,
		},
		{
			name: "a spend over the level takes nothing",
			run: func(b *budget.Bucket) float64 {
				if _, spent := b.Spend(51, at(1)); spent {
					return -1
				}
				return b.Level(at(1))
			},
			want: 50,
		},
		{
			name: "a refund at once comes back whole",
			run: func(b *budget.Bucket) float64 {
				r, _ := b.Spend(50, at(1))
				b.Settle(r, 10, at(1))
				return b.Level(at(1))
			},
			want: 40,
		},
		{
			name: "a refund is lost where the bucket would have been full meanwhile",
			run: func(b *budget.Bucket) float64 {
				r, _ := b.Spend(100, at(5))
				_ = b.Level(at(9))
				spent, _ := b.Spend(100, at(9))
				b.Settle(r, 0, at(9))
				b.Settle(spent, 100, at(9))
				return b.Level(at(9))
			},
			want: 0,
		},
		{
			name: "a refund is kept as far as there was room all the time",
			run: func(b *budget.Bucket) float64 {
				r, _ := b.Spend(100, at(5))
				_ = b.Level(at(6))
				spent, _ := b.Spend(50, at(6))
				b.Settle(r, 0, at(6))
				b.Settle(spent, 50, at(6))
				return b.Level(at(6))
			},
			want: 50,
		},
		{
			name: "a cost above the charge leaves a debt",
			run: func(b *budget.Bucket) float64 {
				r, _ := b.Spend(50, at(1))
				b.Settle(r, 60, at(1))
				return b.Level(at(1))
			},
			want: -10,
		},
		{
			name: "a loan leaves the bucket and lowers the cap until it is over",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				return b.Level(at(6.9))
			},
			want: 40,
		},
		{
			name: "after that it fills again",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				return b.Level(at(9))
			},
			want: 100,
		},
		{
			name: "a loan that is given back at once leaves no trace",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.CloseLoan("x", 60, at(5))
				return b.Level(at(5))
			},
			want: 100,
		},
		{
			name: "a loan that was spent lifts the cap again",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.MarkLoanSpent("x", at(5))
				return b.Level(at(6))
			},
			want: 90,
		},
		{
			name: "what a loan did not use comes back as far as there was room",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.MarkLoanSpent("x", at(5))
				_ = b.Level(at(5.8))
				b.CloseLoan("x", 60, at(5.8))
				return b.Level(at(5.8))
			},
			want: 100,
		},
		{
			name: "a loan is closed once",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.CloseLoan("x", 30, at(5))
				b.CloseLoan("x", 60, at(5))
				return b.Level(at(5))
			},
			want: 70,
		},
		{
			name: "what ends before the loan is over is not lent",
			run:  func(b *budget.Bucket) float64 { return b.Lend("x", 100, at(10.5), at(9)) },
			want: 20,
		},
		{
			name: "a deposit goes up to the cap",
			run: func(b *budget.Bucket) float64 {
				b.Deposit(500, at(1))
				return b.Level(at(1))
			},
			want: 100,
		},
		{
			name: "a share that shrinks cuts the level at once",
			run: func(b *budget.Bucket) float64 {
				smaller := terms()
				smaller.Share.Leased = 0
				_ = b.Level(at(5))
				b.SetTerms(smaller, at(5))
				return b.Level(at(5))
			},
			want: 20,
		},
		{
			name: "a clock that goes back fills nothing twice",
			run: func(b *budget.Bucket) float64 {
				_ = b.Level(at(1))
				_ = b.Level(at(0))
				return b.Level(at(1))
			},
			want: 50,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			b := budget.NewBucket(at(0))
			b.SetTerms(terms(), at(0))
			if diff := cmp.Diff(scenario.want, scenario.run(b)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
