package budget_test

import (
	"testing"

	"github.com/pomelospring/pomelospring/budget"
)

// TestABucketInDebtTakesNothing settles what could not be taken at all.
func TestABucketInDebtTakesNothing(t *testing.T) {
	bank := budget.NewBank()
	bank.SetTerms(pool, terms(), at(0))
	first, _ := bank.Spend(pool, 50, 0, at(1))
	bank.Settle(pool, first, 100, at(1))
	none := bank.SpendUpTo(pool, 70, at(1))
	bank.Settle(pool, none, 0, at(1))
	missing, _ := bank.Shortfall(pool, 10, at(1))
	if none.Charged != 0 || missing < 60 || missing > 60.01 {
		t.Errorf("%v was taken, and %v is missing for 10 on a debt of 50", none.Charged, missing)
	}
}

// TestALoanOfWhatIsMissingSuffices asks for costs that do not add up exactly
// in floating point.
func TestALoanOfWhatIsMissingSuffices(t *testing.T) {
	for i := range 1000 {
		bank := budget.NewBank()
		bank.SetTerms(pool, terms(), at(0))
		now := at(0.1 + float64(i)*0.001)
		cost := 77.7 + float64(i)/7
		missing, _ := bank.Shortfall(pool, cost, now)
		if _, spent := bank.Spend(pool, cost, missing, now); !spent {
			t.Fatalf("a cost of %v with %v borrowed is refused", cost, missing)
		}
	}
}
