package budget

import (
	"time"
)

// maxUnsettled bounds the list of unsettled claims; the oldest ones are merged.
const maxUnsettled = 8

// Holder tracks what one holder may use: the minimum of the last holding that
// it read back from the ledger and of all claims that it made since.
type Holder struct {
	Name string
	// Sequence is that of the last claim made.
	Sequence int64
	// Settled is the last holding read back.
	Settled Holding
	// Unsettled are the claims made after Settled, oldest first.
	Unsettled []Claim
}

// NewClaim records a claim before it is appended to the log.
func (h *Holder) NewClaim(shares map[string]Share, demand map[string]float64, leased, standing time.Time) Claim {
	h.Sequence++
	claim := Claim{
		Holder:           h.Name,
		Sequence:         h.Sequence,
		Shares:           shares,
		Wanted:           demand,
		LeasedDeadline:   leased,
		StandingDeadline: standing,
	}
	h.Unsettled = append(h.Unsettled, claim)
	if len(h.Unsettled) > maxUnsettled {
		h.Unsettled = append([]Claim{merge(h.Unsettled[0], h.Unsettled[1])}, h.Unsettled[2:]...)
	}
	return claim
}

// merge returns the minimum of two unsettled claims. It takes the sequence of
// the later one and settles only with it.
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

// ReadBack applies the ledger's holding and drops the claims that it settles.
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

// Usable returns the holding that is safe to spend from.
func (h *Holder) Usable() Holding {
	return MinHolding(h.Settled, h.Unsettled)
}

// MinHolding returns the minimum of a holding and of the later claims, each of
// which may or may not be folded into the ledger.
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
