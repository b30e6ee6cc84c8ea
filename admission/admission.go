// Package admission decides whether a request may run: it checks the key, the
// team, the adapter and version, and the team's budget.
package admission

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/lending"
)

// Hash returns the hex SHA-256 hash of a key's secret, which is stored in place of
// the secret.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Identify returns the key and team of a secret.
func Identify(state *configuration.State, secret string) (key pomelospring.Key, team pomelospring.Team, refusal *pomelospring.Refusal) {
	if secret == "" {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyMissing, time.Time{}, "a key is required: Authorization: Bearer KEY")
	}
	id, known := state.KeysByHash[sha256.Sum256([]byte(secret))]
	if !known {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyUnknown, time.Time{}, "the key is not valid")
	}
	key = state.Keys[id]
	team, known = state.Teams[key.Team]
	if !known {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyUnknown, time.Time{}, "the key's team no longer exists")
	}
	return key, team, nil
}

// KeyValid reports whether a key and its team still exist.
func KeyValid(state *configuration.State, id string) bool {
	key, known := state.Keys[id]
	if !known {
		return false
	}
	_, known = state.Teams[key.Team]
	return known
}

// Authorize returns the adapter version that a request names in its model, if
// the team may use it.
func Authorize(state *configuration.State, team pomelospring.Team, model string) (name pomelospring.AdapterVersion, adapter pomelospring.Adapter, refusal *pomelospring.Refusal) {
	name, err := pomelospring.ParseAdapterVersion(model)
	if err != nil {
		return name, adapter, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "%v", err)
	}
	if !team.Allows(name) {
		return name, adapter, pomelospring.NewRefusal(pomelospring.CodeAdapterNotAllowed, time.Time{}, "team %s may not call %s", team.Name, name)
	}
	adapter, known := state.Adapters[name.Adapter]
	if !known || !slices.Contains(adapter.Versions, name.Version) {
		return name, adapter, pomelospring.NewRefusal(pomelospring.CodeAdapterUnknown, time.Time{}, "adapter %s does not exist", name)
	}
	return name, adapter, nil
}

// LoanClient borrows tokens from other instances.
type LoanClient interface {
	// Borrow borrows up to an amount.
	Borrow(ctx context.Context, pool string, amount float64, loanTime time.Duration) (loans lending.Loans)
	// Spent reports to the lenders that their tokens were spent.
	Spent(loans lending.Loans)
	// Close ends loans and returns unused tokens to the lenders, up to the
	// amount of the loans. left is the rest of unused.
	Close(loans lending.Loans, unused float64) (left float64)
}

// Charger charges requests to their teams' budgets.
type Charger struct {
	Bank       *budget.Bank
	LoanClient LoanClient
	Clock      pomelospring.Clock
}

// Charge holds the tokens that a request was charged.
type Charge struct {
	Pool        string
	Reservation budget.Reservation
	// Loans are the part of the cost that was borrowed from other instances.
	Loans lending.Loans
}

// Charge takes the cost of a request from the team's budget before the request is
// forwarded, and borrows what this instance's bucket lacks. If that doesn't cover
// the cost, the refusal says when to retry, unless the cost is larger than the
// team's burst.
func (c *Charger) Charge(ctx context.Context, team pomelospring.Team, cost float64) (charge Charge, refusal *pomelospring.Refusal) {
	now := c.Clock()
	charge.Pool = lending.PoolOfTeam(team.Name)
	c.Bank.RecordDemand(charge.Pool, cost, now)
	reservation, spent := c.Bank.Spend(charge.Pool, cost, 0, now)
	if spent {
		charge.Reservation = reservation
		return charge, nil
	}
	if cost > team.Burst {
		return charge, pomelospring.NewRefusal(pomelospring.CodeLargerThanBurst, time.Time{}, "the request may cost %.0f tokens, more than team %s's burst of %.0f", cost, team.Name, team.Burst)
	}
	return c.chargeWithLoans(ctx, team, charge.Pool, cost)
}

// chargeWithLoans spends what the bucket has and borrows the rest. If the loans
// don't cover the rest in time, everything is returned.
func (c *Charger) chargeWithLoans(ctx context.Context, team pomelospring.Team, pool string, cost float64) (charge Charge, refusal *pomelospring.Refusal) {
	charge.Pool = pool
	charge.Reservation = c.Bank.SpendUpTo(pool, cost, c.Clock())
	missing := cost - charge.Reservation.Charged
	loanTime := lending.LoanTime
	if c.Bank.Filling(pool, c.Clock()) {
		loanTime = lending.FillingLoanTime
	}
	charge.Loans = c.LoanClient.Borrow(ctx, pool, missing, loanTime)
	now := c.Clock()
	if charge.Loans.Amount < missing || now.After(charge.Loans.Deadline) {
		c.LoanClient.Close(charge.Loans, charge.Loans.Amount)
		c.Bank.Settle(pool, charge.Reservation, 0, now)
		return Charge{}, c.overRateRefusal(team, pool, cost, now)
	}
	c.LoanClient.Spent(charge.Loans)
	return charge, nil
}

// overRateRefusal returns a refusal whose retry time is when the team's rate has
// refilled what is missing. A bucket that is still filling after the start of the
// instance has a code of its own, because the team has not exceeded its rate.
func (c *Charger) overRateRefusal(team pomelospring.Team, pool string, cost float64, now time.Time) *pomelospring.Refusal {
	retryAt := now.Add(time.Minute)
	if team.Rate > 0 {
		missing, _ := c.Bank.Shortfall(pool, cost, now)
		retryAt = now.Add(time.Duration(missing / team.Rate * float64(time.Second)))
	}
	if c.Bank.Filling(pool, now) {
		return pomelospring.NewRefusal(pomelospring.CodeBudgetFilling, retryAt, "the budget of team %s is not allocated yet or is still filling after the start of this instance", team.Name)
	}
	return pomelospring.NewRefusal(pomelospring.CodeOverRate, retryAt, "team %s is over its rate of %.0f tokens a second", team.Name, team.Rate)
}

// Settle corrects a charge to the tokens used. Unused tokens go to the lenders
// first, then to the team's bucket.
func (c *Charger) Settle(charge Charge, used float64) {
	unused := charge.Reservation.Charged + charge.Loans.Amount - used
	unused = c.LoanClient.Close(charge.Loans, unused)
	c.Bank.Settle(charge.Pool, charge.Reservation, charge.Reservation.Charged-unused, c.Clock())
}
