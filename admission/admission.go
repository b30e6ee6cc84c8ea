// Package admission decides whether a request may run: its key, its team, the
// adapter and version, and the team's budget.
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

// Hash gives the form in which the secret of a key is kept.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Identify finds the key and team of a secret.
func Identify(state *configuration.State, secret string) (key pomelospring.Key, team pomelospring.Team, refusal *pomelospring.Refusal) {
	if secret == "" {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyMissing, time.Time{}, "a key is needed: Authorization: Bearer KEY")
	}
	id, known := state.KeysByHash[sha256.Sum256([]byte(secret))]
	if !known {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyUnknown, time.Time{}, "the key is not valid")
	}
	key = state.Keys[id]
	team, known = state.Teams[key.Team]
	if !known {
		return key, team, pomelospring.NewRefusal(pomelospring.CodeKeyUnknown, time.Time{}, "the key's team does not exist any more")
	}
	return key, team, nil
}

// KeyValid says whether a key still stands.
func KeyValid(state *configuration.State, id string) bool {
	key, known := state.Keys[id]
	if !known {
		return false
	}
	_, known = state.Teams[key.Team]
	return known
}

// Authorize finds the adapter that a team asks for.
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
		return name, adapter, pomelospring.NewRefusal(pomelospring.CodeAdapterUnknown, time.Time{}, "there is no %s", name)
	}
	return name, adapter, nil
}

// LoanClient gets tokens from other instances.
type LoanClient interface {
	// Borrow gets an amount or less.
	Borrow(ctx context.Context, pool string, amount float64) (loans lending.Loans)
	// Spent tells the lenders that their tokens were spent.
	Spent(loans lending.Loans)
	// Close ends loans, gives back what was not used of them, and returns what
	// is left of that.
	Close(loans lending.Loans, unused float64) (left float64)
}

// Charger charges requests to their teams' budgets.
type Charger struct {
	Bank       *budget.Bank
	LoanClient LoanClient
	Clock      pomelospring.Clock
}

// Charge is what a request was charged.
type Charge struct {
	Pool        string
	Reservation budget.Reservation
	// Loans are the part of the cost that came from others.
	Loans lending.Loans
}

// Charge takes a cost from a team's budget before the request is sent on, or
// refuses it with the time at which it would fit.
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

// chargeWithLoans takes what the bucket has and borrows the rest.
func (c *Charger) chargeWithLoans(ctx context.Context, team pomelospring.Team, pool string, cost float64) (charge Charge, refusal *pomelospring.Refusal) {
	charge.Pool = pool
	charge.Reservation = c.Bank.SpendUpTo(pool, cost, c.Clock())
	missing := cost - charge.Reservation.Charged
	charge.Loans = c.LoanClient.Borrow(ctx, pool, missing)
	now := c.Clock()
	if charge.Loans.Amount < missing || now.After(charge.Loans.Deadline) {
		c.LoanClient.Close(charge.Loans, charge.Loans.Amount)
		c.Bank.Settle(pool, charge.Reservation, 0, now)
		return Charge{}, c.overRate(team, pool, cost, now)
	}
	c.LoanClient.Spent(charge.Loans)
	return charge, nil
}

func (c *Charger) overRate(team pomelospring.Team, pool string, cost float64, now time.Time) *pomelospring.Refusal {
	retryAt := now.Add(time.Minute)
	if team.Rate > 0 {
		missing, _ := c.Bank.Shortfall(pool, cost, now)
		retryAt = now.Add(time.Duration(missing / team.Rate * float64(time.Second)))
	}
	if c.Bank.Filling(pool, now) {
		return pomelospring.NewRefusal(pomelospring.CodeBudgetFilling, retryAt, "the budget of team %s is not shared out or still fills after the start of this instance", team.Name)
	}
	return pomelospring.NewRefusal(pomelospring.CodeOverRate, retryAt, "team %s is over its rate of %.0f tokens a second", team.Name, team.Rate)
}

// Settle corrects a charge to the true cost.
func (c *Charger) Settle(charge Charge, used float64) {
	unused := charge.Reservation.Charged + charge.Loans.Amount - used
	unused = c.LoanClient.Close(charge.Loans, unused)
	c.Bank.Settle(charge.Pool, charge.Reservation, charge.Reservation.Charged-unused, c.Clock())
}
