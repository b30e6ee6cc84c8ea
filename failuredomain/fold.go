package failuredomain

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
)

// Fold returns the state after one record of the domain's stream. clockBound
// is the largest difference assumed between any two clocks.
func Fold(state *State, record pomelospring.StoredRecord, clockBound time.Duration) *State {
	if record.Offset < state.Next {
		return state
	}
	next := *state
	next.Next = record.Offset + 1
	if record.Offset == 0 {
		next.Started = true
	}
	if !next.Started {
		return &next
	}
	if record.Stamp.After(next.LastStamp) {
		next.LastStamp = record.Stamp
	}
	switch record.Kind {
	case KindRenewal:
		foldRenewal(&next, record, clockBound)
	case KindDomainClaim:
		foldDomainClaim(&next, record)
	case KindDomainGrant:
		foldDomainGrant(&next, record)
	}
	return &next
}

func foldRenewal(state *State, record pomelospring.StoredRecord, clockBound time.Duration) {
	var renewal Renewal
	if json.Unmarshal(record.Body, &renewal) != nil || renewal.Instance.ID == "" {
		return
	}
	renewal.Claim.Holder = renewal.Instance.ID
	held, known := state.Ledger[renewal.Instance.ID]
	if known && renewal.Claim.Sequence <= held.Sequence {
		return
	}
	foldMembers(state, renewal, record, clockBound)
	usable := state.Usable()
	state.Ledger = state.Ledger.Fold(renewal.Claim, record.Stamp, clockBound, func(pool string) budget.Limit {
		return budget.Limit{
			Leased:           usable.Shares[pool].Leased,
			Standing:         usable.Shares[pool].Standing,
			Total:            usable.Shares[pool].Leased + usable.Shares[pool].Standing,
			LeasedDeadline:   usable.LeasedDeadline,
			StandingDeadline: usable.StandingDeadline,
		}
	})
}

// foldMembers renews one lease and ends those that lapsed before the stamp.
func foldMembers(state *State, renewal Renewal, record pomelospring.StoredRecord, clockBound time.Duration) {
	before := state.Members
	state.Members = maps.Clone(before)
	for id, member := range before {
		if member.Deadline.Add(clockBound).Before(record.Stamp) {
			delete(state.Members, id)
		}
	}
	if renewal.Deadline.IsZero() {
		delete(state.Members, renewal.Instance.ID)
	} else {
		state.Members[renewal.Instance.ID] = Member{
			Instance: renewal.Instance,
			Deadline: renewal.Deadline,
		}
	}
	if sameOwners(before, state.Members) {
		return
	}
	state.Fence = record.Offset + 1
	state.FormerOwners = append(stillHeld(state.FormerOwners, record.Stamp.Add(-clockBound)), pastOf(before))
}

// stillHeld drops the sets of which every lease has ended everywhere.
func stillHeld(past []FormerOwners, at time.Time) []FormerOwners {
	kept := make([]FormerOwners, 0, len(past)+1)
	for _, set := range past {
		for _, deadline := range set.Deadlines {
			if !deadline.Before(at) {
				kept = append(kept, set)
				break
			}
		}
	}
	return kept
}

func pastOf(members map[string]Member) FormerOwners {
	past := FormerOwners{
		Deadlines: map[string]time.Time{},
	}
	for id, member := range members {
		if !member.Instance.Leaving {
			past.Deadlines[id] = member.Deadline
		}
	}
	return past
}

func sameOwners(before, after map[string]Member) bool {
	for id, member := range before {
		if !member.Instance.Leaving && (after[id].Instance.ID == "" || after[id].Instance.Leaving) {
			return false
		}
	}
	for id, member := range after {
		if !member.Instance.Leaving && (before[id].Instance.ID == "" || before[id].Instance.Leaving) {
			return false
		}
	}
	return true
}

func foldDomainClaim(state *State, record pomelospring.StoredRecord) {
	var announced DomainClaim
	if json.Unmarshal(record.Body, &announced) != nil {
		return
	}
	if announced.Claim.Sequence != state.LastSequence()+1 {
		return
	}
	state.Claims = slices.Concat(state.Claims, []budget.Claim{announced.Claim})
}

func foldDomainGrant(state *State, record pomelospring.StoredRecord) {
	var grant DomainGrant
	if json.Unmarshal(record.Body, &grant) != nil || grant.Holding.Sequence <= state.Holding.Sequence {
		return
	}
	state.Holding = grant.Holding
	for len(state.Claims) > 0 && state.Claims[0].Sequence <= grant.Holding.Sequence {
		state.Claims = state.Claims[1:]
	}
}
