package budget

import (
	"time"
)

// unsettledKept bounds the unsettled claims kept apart.
const unsettledKept = 8

// Holder tracks what one holder may use: the smallest of its last holding
// read back and of all its claims not read back yet.
type Holder struct {
	Name string
	// Sequence is that of the last claim made.
	Sequence int64
	// Settled is the last holding read back.
	Settled Holding
	// Unsettled are claims made after the settled one, oldest first.
	Unsettled []Claim
}

// NewClaim records a claim as made, before it is appended.
func (h *Holder) NewClaim(shares map[string]Share, wanted map[string]float64, leased, standing time.Time) Claim {
	h.Sequence++
	claim := Claim{
		Holder:           h.Name,
		Sequence:         h.Sequence,
		Shares:           shares,
		Wanted:           wanted,
		LeasedDeadline:   leased,
		StandingDeadline: standing,
	}
	h.Unsettled = append(h.Unsettled, claim)
	if len(h.Unsettled) > unsettledKept {
		h.Unsettled = append([]Claim{merge(h.Unsettled[0], h.Unsettled[1])}, h.Unsettled[2:]...)
	}
	return claim
}

// merge stands in for two unsettled claims by the smaller of both, settled
// only with the later one.
func merge(a, b Claim) Claim {
	merged := b
	merged.Shares = make(map[string]Share, len(a.Shares))
	for pool, share := range a.Shares {
		merged.Shares[pool] = Share{
			Leased:   min(share.Leased, b.Shares[pool].Leased),
			Standing: min(share.Standing, b.Shares[pool].Standing),
		}
	}
	merged.LeasedDeadline = earlier(a.LeasedDeadline, b.LeasedDeadline)
	merged.StandingDeadline = earlier(a.StandingDeadline, b.StandingDeadline)
	return merged
}

// ReadBack takes the ledger's word and drops the claims that it settles.
func (h *Holder) ReadBack(ledger Ledger) {
	held, known := ledger[h.Name]
	if !known || held.Sequence <= h.Settled.Sequence {
		return
	}
	h.Settled = held
	for len(h.Unsettled) > 0 && h.Unsettled[0].Sequence <= held.Sequence {
		h.Unsettled = h.Unsettled[1:]
	}
}

// Usable is the holding that is safe to spend from.
func (h *Holder) Usable() Holding {
	return MinHolding(h.Settled, h.Unsettled)
}

// MinHolding bounds a holding by later claims whose fate is not known.
func MinHolding(settled Holding, unsettled []Claim) Holding {
	usable := Holding{
		Sequence:         settled.Sequence,
		Shares:           make(map[string]Share, len(settled.Shares)),
		Wanted:           settled.Wanted,
		LeasedDeadline:   settled.LeasedDeadline,
		StandingDeadline: settled.StandingDeadline,
	}
	for pool, share := range settled.Shares {
		for _, claim := range unsettled {
			share.Leased = min(share.Leased, claim.Shares[pool].Leased)
			share.Standing = min(share.Standing, claim.Shares[pool].Standing)
		}
		usable.Shares[pool] = share
	}
	for _, claim := range unsettled {
		usable.LeasedDeadline = earlier(usable.LeasedDeadline, claim.LeasedDeadline)
		usable.StandingDeadline = earlier(usable.StandingDeadline, claim.StandingDeadline)
	}
	return usable
}
