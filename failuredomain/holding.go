package failuredomain

import (
	"time"

	"github.com/pomelospring/pomelospring/budget"
)

// HoldingsFit reports whether the instances' holdings that may still be used at
// a time fit into a claim of the domain. Only then may the claim go to the budget
// stream: other domains may take at once what the domain releases there.
func (s *State) HoldingsFit(claim budget.Claim, at time.Time) bool {
	for pool := range s.Holding.Shares {
		held := s.Ledger.TotalHeld(pool, "", at)
		if held.Leased > claim.Shares[pool].Leased || held.Standing > claim.Shares[pool].Standing {
			return false
		}
	}
	return true
}

// StrandedShare is the share of a pool that holders still have although they are
// no longer members. Nobody can shrink a crashed instance's share before its
// deadline.
func (s *State) StrandedShare(pool string, at time.Time) budget.Share {
	var sum budget.Share
	for holder, held := range s.Ledger {
		if _, member := s.Members[holder]; member {
			continue
		}
		share := held.ShareAt(pool, at)
		sum.Leased += share.Leased
		sum.Standing += share.Standing
	}
	return sum
}
