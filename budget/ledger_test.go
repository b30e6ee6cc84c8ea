package budget_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/budget"
)

const (
	pool  = "team/x"
	bound = 300 * time.Millisecond
)

// step is one claim as the ledger folds it.
type step struct {
	holder   string
	sequence int64
	leased   int64
	standing int64
	stamp    float64
	// until ends the leased part, standingUntil the other.
	until         float64
	standingUntil float64
}

func (s step) fold(ledger budget.Ledger) budget.Ledger {
	return ledger.Fold(budget.Claim{
		Holder:   s.holder,
		Sequence: s.sequence,
		Shares: map[string]budget.Share{
			pool: {
				Leased:   s.leased,
				Standing: s.standing,
			},
		},
		LeasedDeadline:   at(s.until),
		StandingDeadline: at(s.standingUntil),
	}, at(s.stamp), bound, budget.Unlimited)
}

func TestLedger(t *testing.T) {
	scenarios := []struct {
		name  string
		steps []step
		want  map[string]budget.Share
	}{
		{
			name: "a claim gets what it asks for while there is enough",
			steps: []step{
				{holder: "a", sequence: 1, leased: 600_000, standing: 100_000, until: 10, standingUntil: 60},
			},
			want: map[string]budget.Share{
				"a": {Leased: 600_000, Standing: 100_000},
			},
		},
		{
			name: "the next gets what is left, the standing part first",
			steps: []step{
				{holder: "a", sequence: 1, leased: 600_000, standing: 100_000, until: 10, standingUntil: 60},
				{holder: "b", sequence: 1, leased: 600_000, standing: 100_000, until: 10, standingUntil: 60},
			},
			want: map[string]budget.Share{
				"a": {Leased: 600_000, Standing: 100_000},
				"b": {Leased: 200_000, Standing: 100_000},
			},
		},
		{
			name: "a lease that has ended counts until the clock bound has passed",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, until: 10, standingUntil: 10},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 10.2, until: 20, standingUntil: 20},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {},
			},
		},
		{
			name: "and no longer",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, until: 10, standingUntil: 10},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 10.4, until: 20, standingUntil: 20},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {Leased: 1_000_000},
			},
		},
		{
			name: "a late writer's old stamp expires nothing",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, stamp: 50, until: 60, standingUntil: 60},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 5, until: 15, standingUntil: 15},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {},
			},
		},
		{
			name: "an earlier claim that arrives late does not undo a later one",
			steps: []step{
				{holder: "a", sequence: 2, leased: 800_000, until: 10, standingUntil: 10},
				{holder: "a", sequence: 1, leased: 100_000, until: 10, standingUntil: 10},
				{holder: "b", sequence: 1, leased: 800_000, until: 10, standingUntil: 10},
			},
			want: map[string]budget.Share{
				"a": {Leased: 800_000},
				"b": {Leased: 200_000},
			},
		},
		{
			name: "nor does one after its holder's lease has ended",
			steps: []step{
				{holder: "a", sequence: 2, leased: 0, until: 1, standingUntil: 1},
				{holder: "b", sequence: 1, leased: 1, stamp: 30, until: 40, standingUntil: 40},
				{holder: "a", sequence: 1, leased: 800_000, stamp: 0, until: 10, standingUntil: 10},
			},
			want: map[string]budget.Share{
				"a": {},
				"b": {Leased: 1},
			},
		},
		{
			name: "a claim below nothing gets nothing",
			steps: []step{
				{holder: "a", sequence: 1, leased: -5, standing: -5, until: 10, standingUntil: 10},
			},
			want: map[string]budget.Share{
				"a": {},
			},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			ledger := budget.Ledger{}
			for _, s := range scenario.steps {
				ledger = s.fold(ledger)
			}
			got := map[string]budget.Share{}
			for holder, held := range ledger {
				got[holder] = held.Shares[pool]
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestHolderUsesTheSmallest(t *testing.T) {
	share := func(leased int64) map[string]budget.Share {
		return map[string]budget.Share{
			pool: {
				Leased: leased,
			},
		}
	}
	h := budget.Holder{
		Name: "a",
	}
	usable := func() int64 { return h.Usable().Shares[pool].Leased }
	got := make([]int64, 0, 7)

	ledger := budget.Ledger{}
	first := h.NewClaim(share(500_000), nil, at(10), at(10))
	got = append(got, usable()) // not read back: nothing
	ledger = ledger.Fold(first, at(0), bound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable()) // read back
	second := h.NewClaim(share(100_000), nil, at(11), at(11))
	got = append(got, usable()) // shrinking counts at once
	h.NewClaim(share(900_000), nil, at(12), at(12))
	got = append(got, usable()) // growing does not
	for range 20 {
		h.NewClaim(share(900_000), nil, at(12), at(12))
	}
	got = append(got, usable()) // however many claims are open
	ledger = ledger.Fold(second, at(1), bound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable()) // the old one may still be the smallest open
	last := h.NewClaim(share(900_000), nil, at(13), at(13))
	ledger = ledger.Fold(last, at(2), bound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable())
	if diff := cmp.Diff([]int64{0, 500_000, 100_000, 100_000, 100_000, 100_000, 900_000}, got); diff != "" {
		t.Error(diff)
	}
}
