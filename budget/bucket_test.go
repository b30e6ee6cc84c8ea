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

// terms grants half of a rate of 100 tokens a second and of a burst of 200
// tokens, most of it leased until second 10.
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
			name: "a new bucket starts empty",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(0)) },
			want: 0,
		},
		{
			name: "a bucket fills at its share of the rate",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(1)) },
			want: 50,
		},
		{
			name: "a bucket fills up to its share of the burst",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(9)) },
			want: 100,
		},
		{
			name: "a process that was paused past the leased deadline keeps the standing part only",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(30)) },
			want: 20,
		},
		{
			name: "a process that was paused past the standing deadline keeps nothing",
			run:  func(b *budget.Bucket) float64 { return b.Level(at(61)) },
			want: 0,
		},
		{
			name: "a cost above the level takes nothing",
			run: func(b *budget.Bucket) float64 {
				if _, spent := b.Spend(51, at(1)); spent {
					return -1
				}
				return b.Level(at(1))
			},
			want: 50,
		},
		{
			name: "an immediate refund is credited in full",
			run: func(b *budget.Bucket) float64 {
				r, _ := b.Spend(50, at(1))
				b.Settle(r, 10, at(1))
				return b.Level(at(1))
			},
			want: 40,
		},
		{
			name: "a refund is lost if the bucket would have been full meanwhile",
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
			name: "a refund is credited up to the lowest headroom since the spend",
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
			name: "a loan lowers the level and the cap until it expires",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				return b.Level(at(6.9))
			},
			want: 40,
		},
		{
			name: "a bucket fills to its full cap after a loan expired",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				return b.Level(at(9))
			},
			want: 100,
		},
		{
			name: "a loan that is returned at once leaves the level unchanged",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.CloseLoan("x", 60, at(5))
				return b.Level(at(5))
			},
			want: 100,
		},
		{
			name: "a loan that is reported spent no longer lowers the cap",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.MarkLoanSpent("x", at(5))
				return b.Level(at(6))
			},
			want: 90,
		},
		{
			name: "the unused part of a loan is credited up to the lowest headroom",
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
			name: "closing a loan twice credits it once",
			run: func(b *budget.Bucket) float64 {
				b.Lend("x", 60, at(7), at(5))
				b.CloseLoan("x", 30, at(5))
				b.CloseLoan("x", 60, at(5))
				return b.Level(at(5))
			},
			want: 70,
		},
		{
			name: "a share that ends before the loan expires is not lent",
			run:  func(b *budget.Bucket) float64 { return b.Lend("x", 100, at(10.5), at(9)) },
			want: 20,
		},
		{
			name: "a deposit is limited by the cap",
			run: func(b *budget.Bucket) float64 {
				b.Deposit(500, at(1))
				return b.Level(at(1))
			},
			want: 100,
		},
		{
			name: "a smaller share lowers the level at once",
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
			name: "a clock that goes back does not refill twice",
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
