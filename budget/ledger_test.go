package budget_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/budget"
)

const (
	pool       = "team/x"
	clockBound = 300 * time.Millisecond
)

// step is one claim to fold into the ledger; its times are in seconds.
type step struct {
	holder   string
	sequence int64
	leased   int64
	standing int64
	stamp    float64
	// leasedEnd and standingEnd are the deadlines of the two parts.
	leasedEnd   float64
	standingEnd float64
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
		LeasedDeadline:   at(s.leasedEnd),
		StandingDeadline: at(s.standingEnd),
	}, at(s.stamp), clockBound, budget.Unlimited)
}

func TestLedger(t *testing.T) {
	scenarios := []struct {
		name  string
		steps []step
		want  map[string]budget.Share
	}{
		{
			name: "a claim is granted in full while enough is free",
			steps: []step{
				{holder: "a", sequence: 1, leased: 600_000, standing: 100_000, leasedEnd: 10, standingEnd: 60},
			},
			want: map[string]budget.Share{
				"a": {Leased: 600_000, Standing: 100_000},
			},
		},
		{
			name: "a later claim is granted what is left, the standing part first",
			steps: []step{
				{holder: "a", sequence: 1, leased: 600_000, standing: 100_000, leasedEnd: 10, standingEnd: 60},
				{holder: "b", sequence: 1, leased: 600_000, standing: 100_000, leasedEnd: 10, standingEnd: 60},
			},
			want: map[string]budget.Share{
				"a": {Leased: 600_000, Standing: 100_000},
				"b": {Leased: 200_000, Standing: 100_000},
			},
		},
		{
			name: "an expired lease counts until the clock bound has passed",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, leasedEnd: 10, standingEnd: 10},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 10.2, leasedEnd: 20, standingEnd: 20},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {},
			},
		},
		{
			name: "an expired lease is free after the clock bound",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, leasedEnd: 10, standingEnd: 10},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 10.4, leasedEnd: 20, standingEnd: 20},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {Leased: 1_000_000},
			},
		},
		{
			name: "an old timestamp of a delayed writer expires nothing",
			steps: []step{
				{holder: "a", sequence: 1, leased: 1_000_000, stamp: 50, leasedEnd: 60, standingEnd: 60},
				{holder: "b", sequence: 1, leased: 1_000_000, stamp: 5, leasedEnd: 15, standingEnd: 15},
			},
			want: map[string]budget.Share{
				"a": {Leased: 1_000_000},
				"b": {},
			},
		},
		{
			name: "an earlier claim that arrives late does not replace a later one",
			steps: []step{
				{holder: "a", sequence: 2, leased: 800_000, leasedEnd: 10, standingEnd: 10},
				{holder: "a", sequence: 1, leased: 100_000, leasedEnd: 10, standingEnd: 10},
				{holder: "b", sequence: 1, leased: 800_000, leasedEnd: 10, standingEnd: 10},
			},
			want: map[string]budget.Share{
				"a": {Leased: 800_000},
				"b": {Leased: 200_000},
			},
		},
		{
			name: "an earlier claim that arrives after its holder's lease ended does not replace a later one",
			steps: []step{
				{holder: "a", sequence: 2, leased: 0, leasedEnd: 1, standingEnd: 1},
				{holder: "b", sequence: 1, leased: 1, stamp: 30, leasedEnd: 40, standingEnd: 40},
				{holder: "a", sequence: 1, leased: 800_000, stamp: 0, leasedEnd: 10, standingEnd: 10},
			},
			want: map[string]budget.Share{
				"a": {},
				"b": {Leased: 1},
			},
		},
		{
			name: "a negative claim is granted nothing",
			steps: []step{
				{holder: "a", sequence: 1, leased: -5, standing: -5, leasedEnd: 10, standingEnd: 10},
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

func TestUsableIsMinOfUnsettledClaims(t *testing.T) {
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
	got = append(got, usable()) // not read back yet: nothing is usable
	ledger = ledger.Fold(first, at(0), clockBound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable()) // read back
	second := h.NewClaim(share(100_000), nil, at(11), at(11))
	got = append(got, usable()) // a smaller claim takes effect at once
	h.NewClaim(share(900_000), nil, at(12), at(12))
	got = append(got, usable()) // a larger claim does not
	for range 20 {
		h.NewClaim(share(900_000), nil, at(12), at(12))
	}
	got = append(got, usable()) // unchanged after claims were merged
	ledger = ledger.Fold(second, at(1), clockBound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable()) // the merged claim may still hold the minimum
	last := h.NewClaim(share(900_000), nil, at(13), at(13))
	ledger = ledger.Fold(last, at(2), clockBound, budget.Unlimited)
	h.ReadBack(ledger)
	got = append(got, usable())
	if diff := cmp.Diff([]int64{0, 500_000, 100_000, 100_000, 100_000, 100_000, 900_000}, got); diff != "" {
		t.Error(diff)
	}
}
