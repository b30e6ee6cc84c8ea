// Package budget divides each pool of tokens among holders by escrow over the
// log. The ledger is a pure fold of claims; the bucket is what a holder spends
// from. One ledger divides each pool among failure domains, and one in each
// domain divides the domain's holding among its instances.
package budget

import (
	"maps"
	"slices"
	"time"
)

// FullShare is the size of every pool, in parts per million of its rate and
// burst.
const FullShare int64 = 1_000_000

// Share is a part of one pool, in parts per million of the full pool.
type Share struct {
	// Leased follows demand and ends at the claim's LeasedDeadline.
	Leased int64 `json:"leased"`
	// Standing lasts through an outage of the log, until the claim's
	// StandingDeadline.
	Standing int64 `json:"standing"`
}

// Minus subtracts another share from each part, down to 0.
func (s Share) Minus(other Share) Share {
	return Share{
		Leased:   max(0, s.Leased-other.Leased),
		Standing: max(0, s.Standing-other.Standing),
	}
}

// Max returns the larger of both shares, part by part.
func (s Share) Max(other Share) Share {
	return Share{
		Leased:   max(s.Leased, other.Leased),
		Standing: max(s.Standing, other.Standing),
	}
}

// Claim requests shares for a holder. It replaces the holder's earlier claims.
type Claim struct {
	// Holder is unique to one start of an instance, or names a failure domain.
	Holder string `json:"holder"`
	// Sequence rises by one with each claim of the holder, from 1.
	Sequence int64 `json:"sequence"`
	// Shares maps a pool to the requested share.
	Shares map[string]Share `json:"shares"`
	// Wanted maps a pool to its recent demand, in tokens a second.
	Wanted           map[string]float64 `json:"wanted,omitempty"`
	LeasedDeadline   time.Time          `json:"leasedDeadline"`
	StandingDeadline time.Time          `json:"standingDeadline"`
}

// Holding is what the ledger grants to one holder.
type Holding struct {
	Sequence         int64              `json:"sequence"`
	Shares           map[string]Share   `json:"shares"`
	Wanted           map[string]float64 `json:"wanted,omitempty"`
	LeasedDeadline   time.Time          `json:"leasedDeadline"`
	StandingDeadline time.Time          `json:"standingDeadline"`
}

// Limit bounds what all holders of one pool may have together.
type Limit struct {
	Leased   int64
	Standing int64
	// Total bounds the sum of leased and standing.
	Total            int64
	LeasedDeadline   time.Time
	StandingDeadline time.Time
}

// Limiter returns the limit of a pool.
type Limiter func(pool string) Limit

// Unlimited is the limiter of the ledger among failure domains: the full pool
// without a deadline.
func Unlimited(string) Limit {
	return Limit{
		Leased:           FullShare,
		Standing:         FullShare,
		Total:            FullShare,
		LeasedDeadline:   noDeadline,
		StandingDeadline: noDeadline,
	}
}

var noDeadline = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// tombstoneRetention is how long a holder's sequence is kept after its last
// deadline, so that an old claim that arrives late is recognized.
const tombstoneRetention = time.Hour

// Ledger maps a holder to its holding. It is immutable: Fold returns a new one.
type Ledger map[string]Holding

// Fold returns the ledger after one claim with the given log timestamp.
// clockBound is the largest assumed difference between any two clocks.
func (l Ledger) Fold(claim Claim, stamp time.Time, clockBound time.Duration, limiter Limiter) Ledger {
	if held, known := l[claim.Holder]; known && claim.Sequence <= held.Sequence {
		return l
	}
	next := maps.Clone(l)
	if next == nil {
		next = Ledger{}
	}
	next.dropExpired(stamp.Add(-clockBound - tombstoneRetention))
	granted := Holding{
		Sequence:         claim.Sequence,
		Shares:           make(map[string]Share, len(claim.Shares)),
		Wanted:           claim.Wanted,
		LeasedDeadline:   claim.LeasedDeadline,
		StandingDeadline: claim.StandingDeadline,
	}
	for _, pool := range slices.Sorted(maps.Keys(claim.Shares)) {
		limit := limiter(pool)
		granted.Shares[pool] = l.grant(claim, pool, stamp.Add(-clockBound), limit)
		granted.LeasedDeadline = earlier(granted.LeasedDeadline, limit.LeasedDeadline)
		granted.StandingDeadline = earlier(granted.StandingDeadline, limit.StandingDeadline)
	}
	next[claim.Holder] = granted
	return next
}

// grant limits the requested share to what the other holders and the limit
// leave. The standing part is granted first.
func (l Ledger) grant(claim Claim, pool string, expired time.Time, limit Limit) Share {
	others := l.TotalHeld(pool, claim.Holder, expired)
	free := max(0, limit.Total-others.Leased-others.Standing)
	standing := min(max(0, claim.Shares[pool].Standing), max(0, limit.Standing-others.Standing), free)
	free -= standing
	leased := min(max(0, claim.Shares[pool].Leased), max(0, limit.Leased-others.Leased), free)
	return Share{
		Leased:   leased,
		Standing: standing,
	}
}

// TotalHeld sums what all holders but one hold of a pool with deadlines at or
// after a time.
func (l Ledger) TotalHeld(pool, except string, at time.Time) Share {
	var sum Share
	for holder, held := range l {
		if holder == except {
			continue
		}
		share := held.ShareAt(pool, at)
		sum.Leased += share.Leased
		sum.Standing += share.Standing
	}
	return sum
}

// ShareAt returns the share of a pool that the holding still has at a time.
func (h Holding) ShareAt(pool string, at time.Time) Share {
	share := h.Shares[pool]
	if h.LeasedDeadline.Before(at) {
		share.Leased = 0
	}
	if h.StandingDeadline.Before(at) {
		share.Standing = 0
	}
	return share
}

// dropExpired drops the holders whose deadlines all lie before a time.
func (l Ledger) dropExpired(before time.Time) {
	for holder, held := range l {
		if held.LeasedDeadline.Before(before) && held.StandingDeadline.Before(before) {
			delete(l, holder)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
