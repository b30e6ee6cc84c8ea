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
	// OneLoad is what one load costs; the pool counts in loads.
	OneLoad = 1.0
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
	reservation, spent := l.Bank.Spend(PoolLoads, OneLoad, 0, now)
	if !spent {
		return false
	}
	l.Bank.Settle(PoolLoads, reservation, OneLoad, now)
	return true
}

// Want counts the need of a load, so that shares follow it.
func (l *Loads) Want() {
	l.Bank.Want(PoolLoads, OneLoad, l.Clock())
}

// Refill borrows what one load lacks; what comes is deposited. Where a bucket
// holds less than one load, the loan is what makes a load possible.
func (l *Loads) Refill(ctx context.Context) {
	missing, _ := l.Bank.Missing(PoolLoads, OneLoad, l.Clock())
	if missing > 0 {
		borrowed, _ := l.Borrower.Borrow(ctx, PoolLoads, missing)
		l.Bank.Deposit(PoolLoads, borrowed, l.Clock())
	}
	if missing, _ = l.Bank.Missing(PoolLoads, OneLoad, l.Clock()); missing <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(refillPause):
	}
}
