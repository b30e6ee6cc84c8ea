package lending

import (
	"context"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
)

const (
	// PoolLoads is the pool of loads from the weight store.
	PoolLoads = "loads"
	// LoadCost is the cost of one load; the pool is counted in loads.
	LoadCost = 1.0
	// refillPause is the pause between attempts to borrow for a load.
	refillPause = 50 * time.Millisecond
)

// PoolOfTeam returns the name of a team's pool of tokens.
func PoolOfTeam(team string) string {
	return "team/" + team
}

// Loads is the fleet-wide budget of loads from the weight store.
type Loads struct {
	Bank     *budget.Bank
	Borrower *Borrower
	Clock    pomelospring.Clock
}

// Take spends one load, or returns false if none is available.
func (l *Loads) Take() bool {
	now := l.Clock()
	reservation, spent := l.Bank.Spend(PoolLoads, LoadCost, 0, now)
	if !spent {
		return false
	}
	l.Bank.Settle(PoolLoads, reservation, LoadCost, now)
	return true
}

// RecordDemand adds one load to the pool's demand, which the shares follow.
func (l *Loads) RecordDemand() {
	l.Bank.RecordDemand(PoolLoads, LoadCost, l.Clock())
}

// Refill borrows what the bucket lacks for one load. It keeps the loans only if
// they suffice, and otherwise gives them back and pauses.
func (l *Loads) Refill(ctx context.Context) {
	shortfall, _ := l.Bank.Shortfall(PoolLoads, LoadCost, l.Clock())
	if shortfall <= 0 {
		return
	}
	loans := l.Borrower.Borrow(ctx, PoolLoads, shortfall, LoanTime)
	enough := loans.Amount >= shortfall && l.Clock().Before(loans.Deadline)
	if enough {
		l.Bank.Deposit(PoolLoads, loans.Amount, l.Clock())
		l.Borrower.Close(loans, 0)
		return
	}
	l.Borrower.Close(loans, loans.Amount)
	select {
	case <-ctx.Done():
	case <-time.After(refillPause):
	}
}
