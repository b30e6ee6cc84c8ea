package coordination

import (
	"context"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// Roster takes wishes for adapters to the leaders of all failure domains. An
// adapter has a home domain, so that few workers hold it; where that domain's
// leader can't help, the others are asked.
type Roster struct {
	Board *fleet.Board
	// Members are by domain, in the same order on all instances.
	Members []*Member
}

var _ pomelospring.Coordinator = (*Roster)(nil)

// Place implements pomelospring.Coordinator.
func (r *Roster) Place(ctx context.Context, wish pomelospring.PlacementWish) (outcome pomelospring.PlacementOutcome, err error) {
	err = errNoLeader
	for _, member := range r.order(wish) {
		if member.Known() == "" {
			continue
		}
		var failed error
		outcome, failed = member.Place(ctx, wish)
		if failed != nil {
			err = errors.Join(err, failed)
			continue
		}
		err = nil
		if outcome.Server != "" {
			r.Board.Placed(outcome.Server, wish.Adapter, outcome.Version)
			return outcome, nil
		}
	}
	return outcome, err
}

// order lists the domains' members, the adapter's home first; one more worker
// is sought after the home.
func (r *Roster) order(wish pomelospring.PlacementWish) []*Member {
	first := int(xxhash.Sum64String(wish.Adapter) % uint64(len(r.Members)))
	if wish.Replica {
		first = (first + 1) % len(r.Members)
	}
	return append(slices.Clone(r.Members[first:]), r.Members[:first]...)
}

// Leaders gives the leaders' addresses by domain, as far as known.
func (r *Roster) Leaders() map[string]string {
	leaders := map[string]string{}
	for _, member := range r.Members {
		if address := member.Known(); address != "" {
			leaders[member.Domain] = address
		}
	}
	return leaders
}

// Hear takes in the leaders that another instance knows, where none is known
// here.
func (r *Roster) Hear(leaders map[string]string) {
	for _, member := range r.Members {
		if address := leaders[member.Domain]; address != "" && address != member.Address {
			member.hint(address)
		}
	}
}
