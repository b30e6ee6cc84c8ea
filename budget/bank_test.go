package budget_test

import (
	"testing"

	"github.com/pomelospring/pomelospring/budget"
)

// SpendUpTo must take nothing from a bucket in debt, and settling its empty
// reservation must not change the debt.
func TestSpendUpToTakesNothingInDebt(t *testing.T) {
	bank := budget.NewBank()
	bank.SetTerms(pool, terms(), at(0))
	first, _ := bank.Spend(pool, 50, 0, at(1))
	bank.Settle(pool, first, 100, at(1))
	none := bank.SpendUpTo(pool, 70, at(1))
	bank.Settle(pool, none, 0, at(1))
	shortfall, _ := bank.Shortfall(pool, 10, at(1))
	if none.Charged != 0 || shortfall < 60 || shortfall > 60.01 {
		t.Errorf("%v was taken, and %v is missing for 10 on a debt of 50", none.Charged, shortfall)
	}
}

// Costs that do not add up exactly in floating point must be covered by a loan
// of the shortfall.
func TestLoanOfShortfallCoversCost(t *testing.T) {
	for i := range 1000 {
		bank := budget.NewBank()
		bank.SetTerms(pool, terms(), at(0))
		now := at(0.1 + float64(i)*0.001)
		cost := 77.7 + float64(i)/7
		shortfall, _ := bank.Shortfall(pool, cost, now)
		if _, spent := bank.Spend(pool, cost, shortfall, now); !spent {
			t.Fatalf("a cost of %v with %v borrowed is refused", cost, shortfall)
		}
	}
}
