// Package lending moves tokens between instances within a fraction of a
// second, where shares follow demand too slowly.
package lending

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

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
	// poorTime is how long a lender that had nothing is not asked again.
	poorTime = 100 * time.Millisecond
)

// Borrower asks other instances for tokens. It is safe for concurrent use.
type Borrower struct {
	Board  *blackboard.Blackboard
	Client *peer.Client
	Clock  pomelospring.Clock

	mu sync.Mutex
	// levels remember what lenders had left, by instance and pool.
	levels map[levelKey]level
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
	}
}

// Borrow gets up to an amount of a pool from other instances. What it returns
// must be spent or deposited at once: the loan ends by the returned deadline.
func (b *Borrower) Borrow(ctx context.Context, pool string, amount float64) (borrowed float64, deadline time.Time) {
	deadline = b.Clock().Add(loanTime)
	for _, lender := range b.lenders(pool) {
		if borrowed >= amount || b.Clock().Add(callTimeout).After(deadline) {
			break
		}
		borrowed += b.ask(ctx, lender, pool, amount-borrowed, deadline)
	}
	if b.Clock().After(deadline) {
		return 0, deadline
	}
	return borrowed, deadline
}

func (b *Borrower) ask(ctx context.Context, lender pomelospring.Instance, pool string, amount float64, deadline time.Time) float64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := b.Client.At(ctx, lender.PeerAddress).Lend(ctx, &peerpb.LendRequest{
		Pool:     pool,
		Amount:   amount,
		Deadline: deadline.UnixNano(),
	})
	if err != nil {
		b.note(lender.ID, pool, 0)
		return 0
	}
	b.note(lender.ID, pool, reply.GetLeft())
	return max(0, min(amount, reply.GetLent()))
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
