// Package lending moves tokens between instances within a fraction of a second,
// because the shares of a pool follow demand more slowly.
package lending

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
)

const (
	// LoanTime is how long a borrower may take to borrow and to spend a loan.
	LoanTime = 200 * time.Millisecond
	// FillingLoanTime is the same while the borrower's bucket fills after a start:
	// all instances may lend to it at once then, and it has nothing to fall back on.
	FillingLoanTime = 800 * time.Millisecond
	// callTimeFraction bounds one call to a lender, as a fraction of the loan time.
	callTimeFraction = 0.5
	// maxLenders bounds the lenders called for one request.
	maxLenders = 8
	// exhaustedBackoff is how long a lender without tokens is not called again
	// for the pool. After loans that did not suffice, no lender is called for the
	// pool for the same time.
	exhaustedBackoff = 50 * time.Millisecond
	// closeTimeout bounds the call that reports on or ends a loan.
	closeTimeout = time.Second
)

// Borrower borrows tokens from other instances. It is safe for concurrent use.
type Borrower struct {
	Board  *blackboard.Blackboard
	Client *peer.Client
	Clock  pomelospring.Clock

	mu sync.Mutex
	// levels holds the last reported level of lenders, by instance and pool.
	levels map[levelKey]level
	// exhaustedUntil is the time before which a pool is not borrowed from
	// again.
	exhaustedUntil map[string]time.Time
}

// Loans are the loans of several lenders for one purpose.
type Loans struct {
	Pool   string
	Amount float64
	// Deadline is when the tokens must have been spent or deposited.
	Deadline time.Time
	parts    []part
}

// part is the loan of one lender.
type part struct {
	lender pomelospring.Instance
	id     string
	amount float64
}

type levelKey struct {
	instance string
	pool     string
}

type level struct {
	remaining float64
	at        time.Time
}

// NewBorrower returns a borrower that knows no levels yet.
func NewBorrower(board *blackboard.Blackboard, client *peer.Client, clock pomelospring.Clock) *Borrower {
	return &Borrower{
		Board:  board,
		Client: client,
		Clock:  clock,
		levels: map[levelKey]level{},

		exhaustedUntil: map[string]time.Time{},
	}
}

// Borrow borrows up to an amount of a pool from other instances within a loan
// time. The caller must close the loans, also when they do not suffice: an open loan lowers the
// cap of its lender.
func (b *Borrower) Borrow(ctx context.Context, pool string, amount float64, loanTime time.Duration) (loans Loans) {
	loans = Loans{
		Pool:     pool,
		Deadline: b.Clock().Add(loanTime),
	}
	callTimeout := time.Duration(callTimeFraction * float64(loanTime))
	if b.exhausted(pool) {
		return loans
	}
	for _, lender := range b.lenders(pool) {
		if loans.Amount >= amount || b.Clock().Add(callTimeout).After(loans.Deadline) {
			break
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		b.borrowFrom(callContext, lender, amount-loans.Amount, &loans)
		cancel()
	}
	if b.Clock().After(loans.Deadline) {
		loans.Amount = 0
	}
	if loans.Amount < amount {
		b.markExhausted(pool)
	}
	return loans
}

// Spent reports to the lenders that their tokens were spent, which lifts their
// caps again. The loans stay open until Close.
func (b *Borrower) Spent(loans Loans) {
	for _, p := range loans.parts {
		go b.report(p, &peerpb.CloseLoanRequest{
			Pool:  loans.Pool,
			Loan:  p.id,
			Spent: true,
		})
	}
}

// Close ends the loans and gives back the unused tokens, up to what was lent.
// It returns the rest of unused that exceeds the loans.
func (b *Borrower) Close(loans Loans, unused float64) (remaining float64) {
	for _, p := range loans.parts {
		returned := max(0, min(unused, p.amount))
		unused -= returned
		go b.report(p, &peerpb.CloseLoanRequest{
			Pool:     loans.Pool,
			Loan:     p.id,
			Returned: returned,
		})
	}
	return unused
}

// report sends a loan's use to its lender. If the message is lost, the lender's
// cap stays lowered until the loan expires, and unused tokens are lost.
func (b *Borrower) report(p part, request *peerpb.CloseLoanRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, _ = b.Client.At(ctx, p.lender.PeerAddress).CloseLoan(ctx, request)
}

// borrowFrom borrows from one lender and adds the loan to loans. A lender that
// fails to answer counts as exhausted.
func (b *Borrower) borrowFrom(ctx context.Context, lender pomelospring.Instance, amount float64, loans *Loans) {
	id := uuid.NewString()
	reply, err := b.Client.At(ctx, lender.PeerAddress).Lend(ctx, &peerpb.LendRequest{
		Pool:     loans.Pool,
		Amount:   amount,
		Deadline: loans.Deadline.UnixNano(),
		Loan:     id,
	})
	if err != nil {
		b.recordLevel(lender.ID, loans.Pool, 0)
		return
	}
	b.recordLevel(lender.ID, loans.Pool, reply.GetLeft())
	lent := max(0, min(amount, reply.GetLent()))
	if lent == 0 {
		return
	}
	loans.Amount += lent
	loans.parts = append(loans.parts, part{
		lender: lender,
		id:     id,
		amount: lent,
	})
}

func (b *Borrower) exhausted(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock().Before(b.exhaustedUntil[pool])
}

func (b *Borrower) markExhausted(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exhaustedUntil[pool] = b.Clock().Add(exhaustedBackoff)
}

func (b *Borrower) recordLevel(instance, pool string, remaining float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := levelKey{
		instance: instance,
		pool:     pool,
	}
	b.levels[key] = level{
		remaining: remaining,
		at:        b.Clock(),
	}
}

// lenders returns the reachable instances that are not exhausted, those of the
// instance's own domain first, then those with the highest level.
func (b *Borrower) lenders(pool string) []pomelospring.Instance {
	now := b.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []pomelospring.Instance
	for _, instance := range b.Board.Peers.Get() {
		last, known := b.levels[levelKey{instance: instance.ID, pool: pool}]
		exhausted := known && last.remaining <= 0 && now.Before(last.at.Add(exhaustedBackoff))
		if instance.ID != b.Board.Self.ID && !exhausted && b.Board.Reachable(instance.ID, now) {
			candidates = append(candidates, instance)
		}
	}
	slices.SortFunc(candidates, func(x, y pomelospring.Instance) int {
		return cmp.Or(
			cmp.Compare(b.distance(x), b.distance(y)),
			cmp.Compare(b.remaining(y, pool), b.remaining(x, pool)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return candidates[:min(len(candidates), maxLenders)]
}

func (b *Borrower) distance(instance pomelospring.Instance) int {
	if instance.Domain == b.Board.Self.Domain {
		return 0
	}
	return 1
}

func (b *Borrower) remaining(instance pomelospring.Instance, pool string) float64 {
	return b.levels[levelKey{instance: instance.ID, pool: pool}].remaining
}
