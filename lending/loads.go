package lending

import (
	"context"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
)

const (
	// PoolLoads is the pool of the weight store's loads.
	PoolLoads = "loads"
	// LoadCost is what one load costs; the pool counts in loads.
	LoadCost = 1.0
	// refillPause is the pause between tries to get a load.
	refillPause = 50 * time.Millisecond
)

// PoolOfTeam names the pool of a team's tokens.
func PoolOfTeam(team string) string {
	return "team/" + team
}

// Loads is the fleet-wide budget of loads from the weight store.
type Loads struct {
	Bank     *budget.Bank
	Borrower *Borrower
	Clock    pomelospring.Clock
}

// Take spends one load, or reports that there is none at hand.
func (l *Loads) Take() bool {
	now := l.Clock()
	reservation, spent := l.Bank.Spend(PoolLoads, LoadCost, 0, now)
	if !spent {
		return false
	}
	l.Bank.Settle(PoolLoads, reservation, LoadCost, now)
	return true
}

// RecordDemand counts the need of a load, so that shares follow it.
func (l *Loads) RecordDemand() {
	l.Bank.RecordDemand(PoolLoads, LoadCost, l.Clock())
}

// Refill borrows what one load lacks, if all of it is to be had.
func (l *Loads) Refill(ctx context.Context) {
	missing, _ := l.Bank.Shortfall(PoolLoads, LoadCost, l.Clock())
	if missing <= 0 {
		return
	}
	loans := l.Borrower.Borrow(ctx, PoolLoads, missing)
	enough := loans.Amount >= missing && l.Clock().Before(loans.Deadline)
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
