package budget_test

import (
	"testing"

	"github.com/pomelospring/pomelospring/budget"
)

// TestALoanOfWhatIsMissingSuffices asks for costs that do not add up exactly
// in floating point.
func TestALoanOfWhatIsMissingSuffices(t *testing.T) {
	for i := range 1000 {
		bank := budget.NewBank()
		bank.SetTerms(pool, terms(), at(0))
		now := at(0.1 + float64(i)*0.001)
		cost := 77.7 + float64(i)/7
		missing, _ := bank.Missing(pool, cost, now)
		if _, spent := bank.Spend(pool, cost, missing, now); !spent {
			t.Fatalf("a cost of %v with %v borrowed is refused", cost, missing)
		}
	}
}
