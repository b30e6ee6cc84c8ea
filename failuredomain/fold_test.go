package failuredomain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/failuredomain"
)

// script appends records to one domain's stream and folds them.
type script struct {
	t     *testing.T
	state *failuredomain.State
}

func newScript(t *testing.T) *script {
	return &script{
		t:     t,
		state: failuredomain.NewState(),
	}
}

func (s *script) record(kind string, stamp float64, body any) {
	s.t.Helper()
	record, err := pomelospring.NewRecord("", kind, at(stamp), body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.state = failuredomain.Fold(s.state, pomelospring.StoredRecord{
		Record: record,
		Offset: s.state.Next,
	}, clockBound)
}

func (s *script) renew(id string, sequence int64, stamp, deadline float64, leaving bool) {
	s.t.Helper()
	s.record(failuredomain.KindRenewal, stamp, failuredomain.Renewal{
		Instance: pomelospring.Instance{
			ID:      id,
			Leaving: leaving,
		},
		Deadline: at(deadline),
		Claim: budget.Claim{
			Sequence: sequence,
		},
	})
}

func (s *script) domainClaim(sequence, leased int64) {
	s.t.Helper()
	s.record(failuredomain.KindDomainClaim, 0, failuredomain.DomainClaim{
		Claim: domainClaim(sequence, leased),
	})
}

func (s *script) grant(sequence, leased int64) {
	s.t.Helper()
	s.record(failuredomain.KindDomainGrant, 0, failuredomain.DomainGrant{
		Holding: budget.Holding{
			Sequence:         sequence,
			Shares:           domainClaim(sequence, leased).Shares,
			LeasedDeadline:   at(60),
			StandingDeadline: at(60),
		},
	})
}

func domainClaim(sequence, leased int64) budget.Claim {
	return budget.Claim{
		Holder:   "d",
		Sequence: sequence,
		Shares: map[string]budget.Share{
			pool: {
				Leased: leased,
			},
		},
		LeasedDeadline:   at(60),
		StandingDeadline: at(60),
	}
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestDomainHolding(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(s *script)
		want int64
	}{
		{
			name: "an announced claim gives nothing before its grant is copied",
			run:  func(s *script) { s.domainClaim(1, 500_000) },
			want: 0,
		},
		{
			name: "a grant gives what it says",
			run: func(s *script) {
				s.domainClaim(1, 500_000)
				s.grant(1, 400_000)
			},
			want: 400_000,
		},
		{
			name: "an announced smaller claim counts at once",
			run: func(s *script) {
				s.domainClaim(1, 500_000)
				s.grant(1, 500_000)
				s.domainClaim(2, 100_000)
			},
			want: 100_000,
		},
		{
			name: "of two writers that announce at once the first wins",
			run: func(s *script) {
				s.domainClaim(1, 500_000)
				s.grant(1, 500_000)
				s.domainClaim(2, 100_000)
				s.domainClaim(2, 400_000)
				s.grant(2, 100_000)
			},
			want: 100_000,
		},
		{
			name: "a grant that is copied late does not undo a later one",
			run: func(s *script) {
				s.domainClaim(1, 500_000)
				s.domainClaim(2, 100_000)
				s.grant(2, 100_000)
				s.grant(1, 500_000)
			},
			want: 100_000,
		},
		{
			name: "an old grant does not lift an announced smaller claim",
			run: func(s *script) {
				s.domainClaim(1, 500_000)
				s.domainClaim(2, 100_000)
				s.grant(1, 500_000)
			},
			want: 100_000,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newScript(t)
			scenario.run(s)
			if diff := cmp.Diff(scenario.want, s.state.Usable().Shares[pool].Leased); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// membership is what a test compares of a state.
type membership struct {
	ActiveMembers []string
	Fence         int64
	// Former is when the last lease ends of former owners of a server, as the
	// candidates have owned it in turn.
	Former float64
}

func TestMembership(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(s *script)
		want membership
	}{
		{
			name: "the first member owns everything from its first record on",
			run:  func(s *script) { s.renew("i", 1, 0, 10, false) },
			want: membership{ActiveMembers: []string{"i"}, Fence: 1},
		},
		{
			name: "a renewal changes no fencing number",
			run: func(s *script) {
				s.renew("i", 1, 0, 10, false)
				s.renew("i", 2, 5, 15, false)
			},
			want: membership{ActiveMembers: []string{"i"}, Fence: 1},
		},
		{
			name: "a second member changes it, and the first may go on until its lease ends",
			run: func(s *script) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
			},
			want: membership{ActiveMembers: []string{"i", "j"}, Fence: 2, Former: 10},
		},
		{
			name: "a lease that lapsed ends once a stamp lies beyond the clock bound",
			run: func(s *script) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 20, false)
				s.renew("j", 2, 10.2, 30, false)
				s.renew("j", 3, 10.4, 30, false)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 4, Former: 10},
		},
		{
			name: "a leaving member owns nothing and is still known",
			run: func(s *script) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
				s.renew("i", 2, 2, 12, true)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 3, Former: 10},
		},
		{
			name: "an old renewal that arrives late brings nobody back",
			run: func(s *script) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
				s.renew("i", 3, 2, 12, true)
				s.renew("i", 2, 1, 11, false)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 3, Former: 10},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newScript(t)
			scenario.run(s)
			got := membership{
				ActiveMembers: s.state.ActiveMembers(),
				Fence:         s.state.Fence,
			}
			for n := range 64 {
				if former := s.state.FormerLeaseDeadline(fmt.Sprint("m", n)); !former.IsZero() {
					got.Former = max(got.Former, former.Sub(start).Seconds())
				}
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
