package coordination

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// PlacementCoordinator takes wishes for adapters to the leaders of all failure domains. An
// adapter has a home domain, so that few workers hold it; where that domain's
// leader can't help, the others are asked.
type PlacementCoordinator struct {
	Board *fleet.Board
	// Members are by domain, in the same order on all instances.
	Members []*Member
}

var _ pomelospring.Coordinator = (*PlacementCoordinator)(nil)

// Place implements pomelospring.Coordinator. Each domain is asked whether it
// has room at once; only then does the call wait for room in the first that
// answered.
func (r *PlacementCoordinator) Place(ctx context.Context, wish pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
	err = errNoLeader
	var waits *Member
	for _, member := range r.order(wish) {
		if !member.LeaderAnswers() {
			continue
		}
		hasty := wish
		hasty.AtOnce = true
		hasty.Deadline = earlier(wish.Deadline, member.Clock().Add(hastyTimeout))
		answer, failed := member.Place(ctx, hasty)
		if failed != nil {
			err = errors.Join(err, failed)
			continue
		}
		if answer.Server != "" {
			return r.placed(wish, answer), nil
		}
		if waits == nil {
			waits, outcome, err = member, answer, nil
		}
	}
	if waits == nil || wish.Replica {
		return outcome, err
	}
	outcome, err = waits.Place(ctx, wish)
	if err != nil {
		return pomelospring.PlacementOutcome{}, err
	}
	return r.placed(wish, outcome), nil
}

// hastyTimeout bounds the question for room at once, with the load that follows.
const hastyTimeout = time.Second

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func (r *PlacementCoordinator) placed(wish pomelospring.PlacementRequest, outcome pomelospring.PlacementOutcome) pomelospring.PlacementOutcome {
	if outcome.Server != "" {
		r.Board.AddResident(outcome.Server, wish.Adapter, outcome.Version)
	}
	return outcome
}

// order lists the domains' members, the adapter's home first; one more worker
// is sought after the home.
func (r *PlacementCoordinator) order(wish pomelospring.PlacementRequest) []*Member {
	first := int(xxhash.Sum64String(wish.Adapter) % uint64(len(r.Members)))
	if wish.Replica {
		first = (first + 1) % len(r.Members)
	}
	return append(slices.Clone(r.Members[first:]), r.Members[:first]...)
}

// Leaders gives the leaders' addresses by domain, as far as known.
func (r *PlacementCoordinator) Leaders() map[string]string {
	leaders := map[string]string{}
	for _, member := range r.Members {
		if address := member.Known(); address != "" {
			leaders[member.Domain] = address
		}
	}
	return leaders
}

// AnsweringDomains counts the domains whose leader answers, one at least.
func (r *PlacementCoordinator) AnsweringDomains() (count int) {
	for _, member := range r.Members {
		if member.LeaderAnswers() {
			count++
		}
	}
	return max(1, count)
}

// AddLeaders takes in the leaders that another instance knows, where none is known
// here.
func (r *PlacementCoordinator) AddLeaders(leaders map[string]string) {
	for _, member := range r.Members {
		if address := leaders[member.Domain]; address != "" && address != member.Address {
			member.hint(address)
		}
	}
}
