package failuredomain

import (
	"time"

	"github.com/pomelospring/pomelospring/budget"
)

// HoldingsFit says whether the instances' holdings that may still be used at a time
// fit into a claim of the whole domain. Only then may the claim go to the
// budget stream: what the domain gives up there, others may take at once.
func (s *State) HoldingsFit(claim budget.Claim, at time.Time) bool {
	for pool := range s.Holding.Shares {
		held := s.Ledger.TotalHeld(pool, "", at)
		if held.Leased > claim.Shares[pool].Leased || held.Standing > claim.Shares[pool].Standing {
			return false
		}
	}
	return true
}

// StrandedShare is what holders that are not members any more still have of a pool:
// a crashed instance's part, which nobody can shrink before its deadline.
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
