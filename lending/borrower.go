// Package lending moves tokens between instances within a fraction of a
// second, where shares follow demand too slowly.
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
	// loanTime is how long a borrower may take to spend a loan.
	loanTime = 200 * time.Millisecond
	// callTimeout bounds one call to a lender; it lies below loanTime.
	callTimeout = 100 * time.Millisecond
	// lendersAsked bounds the lenders asked for one request.
	lendersAsked = 8
	// poorTime is how long a lender that had nothing is not asked again, nor
	// anyone for a pool of which too little was to be had.
	poorTime = 50 * time.Millisecond
	// closeTimeout bounds the message that ends a loan.
	closeTimeout = time.Second
)

// Borrower asks other instances for tokens. It is safe for concurrent use.
type Borrower struct {
	Board  *blackboard.Blackboard
	Client *peer.Client
	Clock  pomelospring.Clock

	mu sync.Mutex
	// levels remember what lenders had left, by instance and pool.
	levels map[levelKey]level
	// poorUntil is when a pool is worth asking for again.
	poorUntil map[string]time.Time
}

// Loans are what several lenders lent for one purpose.
type Loans struct {
	Pool   string
	Amount float64
	// Deadline is when the tokens must have been spent or deposited.
	Deadline time.Time
	parts    []part
}

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
	left float64
	at   time.Time
}

// NewBorrower makes a borrower that knows no levels yet.
func NewBorrower(board *blackboard.Blackboard, client *peer.Client, clock pomelospring.Clock) *Borrower {
	return &Borrower{
		Board:  board,
		Client: client,
		Clock:  clock,
		levels: map[levelKey]level{},

		poorUntil: map[string]time.Time{},
	}
}

// Borrow gets an amount of a pool from other instances, or less. The loans must
// be closed: a loan that does not suffice is given back, as it would only keep
// room at its lender.
func (b *Borrower) Borrow(ctx context.Context, pool string, amount float64) (loans Loans) {
	loans = Loans{
		Pool:     pool,
		Deadline: b.Clock().Add(loanTime),
	}
	if b.poor(pool) {
		return loans
	}
	for _, lender := range b.lenders(pool) {
		if loans.Amount >= amount || b.Clock().Add(callTimeout).After(loans.Deadline) {
			break
		}
		b.ask(ctx, lender, amount-loans.Amount, &loans)
	}
	if b.Clock().After(loans.Deadline) {
		loans.Amount = 0
	}
	if loans.Amount < amount {
		b.setPoor(pool)
	}
	return loans
}

// Spent tells the lenders that their tokens were spent, so that they need not
// keep room for them. The loans stay open until Close.
func (b *Borrower) Spent(loans Loans) {
	for _, p := range loans.parts {
		go b.tell(p, &peerpb.CloseLoanRequest{
			Pool:  loans.Pool,
			Loan:  p.id,
			Spent: true,
		})
	}
}

// Close ends loans and gives back what was not used, up to what was lent; it
// returns what is left of that.
func (b *Borrower) Close(loans Loans, unused float64) (left float64) {
	for _, p := range loans.parts {
		returned := max(0, min(unused, p.amount))
		unused -= returned
		go b.tell(p, &peerpb.CloseLoanRequest{
			Pool:     loans.Pool,
			Loan:     p.id,
			Returned: returned,
		})
	}
	return unused
}

// tell sends word of a loan. A lost message costs the lender its room until
// the loan's deadline, or what was not used.
func (b *Borrower) tell(p part, request *peerpb.CloseLoanRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, _ = b.Client.At(ctx, p.lender.PeerAddress).CloseLoan(ctx, request)
}

func (b *Borrower) ask(ctx context.Context, lender pomelospring.Instance, amount float64, loans *Loans) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := uuid.NewString()
	reply, err := b.Client.At(ctx, lender.PeerAddress).Lend(ctx, &peerpb.LendRequest{
		Pool:     loans.Pool,
		Amount:   amount,
		Deadline: loans.Deadline.UnixNano(),
		Loan:     id,
	})
	if err != nil {
		b.note(lender.ID, loans.Pool, 0)
		return
	}
	b.note(lender.ID, loans.Pool, reply.GetLeft())
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

func (b *Borrower) poor(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock().Before(b.poorUntil[pool])
}

func (b *Borrower) setPoor(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poorUntil[pool] = b.Clock().Add(poorTime)
}

func (b *Borrower) note(instance, pool string, left float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := levelKey{
		instance: instance,
		pool:     pool,
	}
	b.levels[key] = level{
		left: left,
		at:   b.Clock(),
	}
}

// lenders are the instances worth asking, those of the own domain first, then
// those that had most left.
func (b *Borrower) lenders(pool string) []pomelospring.Instance {
	now := b.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []pomelospring.Instance
	for _, instance := range b.Board.Peers.Get() {
		held, known := b.levels[levelKey{instance: instance.ID, pool: pool}]
		poor := known && held.left <= 0 && now.Before(held.at.Add(poorTime))
		if instance.ID != b.Board.Self.ID && !poor && b.Board.Reachable(instance.ID, now) {
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(x, y pomelospring.Instance) int {
		return cmp.Or(
			cmp.Compare(b.distance(x), b.distance(y)),
			cmp.Compare(b.left(y, pool), b.left(x, pool)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return found[:min(len(found), lendersAsked)]
}

func (b *Borrower) distance(instance pomelospring.Instance) int {
	if instance.Domain == b.Board.Self.Domain {
		return 0
	}
	return 1
}

func (b *Borrower) left(instance pomelospring.Instance, pool string) float64 {
	return b.levels[levelKey{instance: instance.ID, pool: pool}].left
}
