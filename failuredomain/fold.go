package failuredomain

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
)

// Fold returns the state after one record of the domain's stream, without
// changing the given state. A record that was folded before has no effect; one
// that can't be read or has an outdated sequence number changes only Next and
// LastStamp. clockBound is the largest difference assumed between any two clocks.
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

// foldRenewal applies a heartbeat to the members and to the ledger. The ledger
// grants only from the domain's usable holding.
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

// foldMembers renews or releases one lease and removes members whose lease
// expired more than clockBound before the record's time. If that changes who may
// own backend servers, it raises the fencing number and stores the former owners.
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
	state.FormerOwners = append(dropExpired(state.FormerOwners, record.Stamp.Add(-clockBound)), formerOwners(before))
}

// dropExpired drops the sets of owners whose leases all ended before a time.
func dropExpired(sets []FormerOwners, at time.Time) []FormerOwners {
	remaining := make([]FormerOwners, 0, len(sets)+1)
	for _, set := range sets {
		for _, deadline := range set.Deadlines {
			if !deadline.Before(at) {
				remaining = append(remaining, set)
				break
			}
		}
	}
	return remaining
}

// formerOwners is the set of owners among members: those that are not leaving.
func formerOwners(members map[string]Member) FormerOwners {
	former := FormerOwners{
		Deadlines: map[string]time.Time{},
	}
	for id, member := range members {
		if !member.Instance.Leaving {
			former.Deadlines[id] = member.Deadline
		}
	}
	return former
}

// sameOwners reports whether the same members may own backend servers before and
// after a change.
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

// foldDomainClaim appends an announced claim of the domain. Only the claim with
// the next sequence number counts, so of two writers the first wins.
func foldDomainClaim(state *State, record pomelospring.StoredRecord) {
	var domainClaim DomainClaim
	if json.Unmarshal(record.Body, &domainClaim) != nil {
		return
	}
	if domainClaim.Claim.Sequence != state.LastSequence()+1 {
		return
	}
	state.Claims = slices.Concat(state.Claims, []budget.Claim{domainClaim.Claim})
}

// foldDomainGrant replaces the domain's holding and removes the claims that the
// grant answers.
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
