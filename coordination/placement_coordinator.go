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

// PlacementCoordinator sends placement requests to the leaders of the failure
// domains. Each adapter has a home domain that is asked first, so that it is
// resident on few workers; if its leader can't place the adapter, the others are
// asked. Copies beyond the first go to the domain that asks.
type PlacementCoordinator struct {
	Board *fleet.Board
	// Members has one member for each domain, in the same order on all instances.
	Members []*Member
}

var _ pomelospring.Coordinator = (*PlacementCoordinator)(nil)

// Place implements pomelospring.Coordinator. It first asks each domain for a
// placement without waiting for a free slot. If none has one, it waits for the
// first domain that answered.
func (c *PlacementCoordinator) Place(ctx context.Context, request pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
	members := c.membersByPreference(request)
	if len(members) == 0 {
		return pomelospring.PlacementOutcome{}, errNoDomain
	}
	err = errNoLeader
	var fallback *Member
	for _, member := range members {
		if request.OwnDomain && member.Domain != request.Domain {
			break
		}
		if !member.LeaderAnswers() {
			continue
		}
		noWait := request
		noWait.AtOnce = true
		noWait.Deadline = earlier(request.Deadline, member.Clock().Add(noWaitTimeout))
		answer, placeErr := member.Place(ctx, noWait)
		if placeErr != nil {
			err = errors.Join(err, placeErr)
			continue
		}
		if answer.Server != "" {
			return c.recordPlacement(request, answer), nil
		}
		if fallback == nil {
			fallback, outcome, err = member, answer, nil
		}
	}
	if fallback == nil || request.Replica || request.Optional {
		return outcome, err
	}
	outcome, err = fallback.Place(ctx, request)
	if err != nil {
		return pomelospring.PlacementOutcome{}, err
	}
	return c.recordPlacement(request, outcome), nil
}

// errNoDomain is why no leader is asked.
var errNoDomain = errors.New("all failure domains are evacuated, or outside the call's homes")

// noWaitTimeout limits a placement request that doesn't wait for a free slot, the
// load included.
const noWaitTimeout = time.Second

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// recordPlacement adds a placed adapter to the board and returns the outcome
// unchanged.
func (c *PlacementCoordinator) recordPlacement(request pomelospring.PlacementRequest, outcome pomelospring.PlacementOutcome) pomelospring.PlacementOutcome {
	if outcome.Server != "" {
		c.Board.AddResident(outcome.Server, request.Adapter, outcome.Version)
	}
	return outcome
}

// membersByPreference lists the domains' members, the adapter's home domain
// first, without those that are evacuated or outside the homes. For a further copy it starts with the domain of
// the request.
func (c *PlacementCoordinator) membersByPreference(request pomelospring.PlacementRequest) []*Member {
	first := int(xxhash.Sum64String(request.Adapter) % uint64(len(c.Members)))
	if request.Replica || request.OwnDomain {
		first = max(0, slices.IndexFunc(c.Members, func(m *Member) bool { return m.Domain == request.Domain }))
	}
	members := append(slices.Clone(c.Members[first:]), c.Members[:first]...)
	return slices.DeleteFunc(members, func(m *Member) bool {
		return c.Board.Evacuated(m.Domain) || !c.Board.InHomes(request.Homes, m.Domain)
	})
}

// Leaders returns the addresses of the known leaders by domain.
func (c *PlacementCoordinator) Leaders() map[string]string {
	leaders := map[string]string{}
	for _, member := range c.Members {
		if address := member.Known(); address != "" {
			leaders[member.Domain] = address
		}
	}
	return leaders
}

// AnsweringDomains counts the domains whose leader answers and that are not evacuated,
// and returns at least 1.
func (c *PlacementCoordinator) AnsweringDomains() (count int) {
	for _, member := range c.Members {
		if member.LeaderAnswers() && !c.Board.Evacuated(member.Domain) {
			count++
		}
	}
	return max(1, count)
}

// AddLeaders adds the leader addresses that another instance knows for domains
// without a known leader.
func (c *PlacementCoordinator) AddLeaders(leaders map[string]string) {
	for _, member := range c.Members {
		if address := leaders[member.Domain]; address != "" && address != member.Address {
			member.suggestLeader(address)
		}
	}
}
