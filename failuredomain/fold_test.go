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

// domainStream folds each record that is appended to a domain's stream.
type domainStream struct {
	t     *testing.T
	state *failuredomain.State
}

func newDomainStream(t *testing.T) *domainStream {
	return &domainStream{
		t:     t,
		state: failuredomain.NewState(),
	}
}

func (s *domainStream) record(kind string, stamp float64, body any) {
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

func (s *domainStream) renew(id string, sequence int64, stamp, deadline float64, leaving bool) {
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

func (s *domainStream) domainClaim(sequence, leased int64) {
	s.t.Helper()
	s.record(failuredomain.KindDomainClaim, 0, failuredomain.DomainClaim{
		Claim: domainClaim(sequence, leased),
	})
}

func (s *domainStream) grant(sequence, leased int64) {
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
		run  func(s *domainStream)
		want int64
	}{
		{
			name: "an announced claim gives no holding before its grant is copied",
			run:  func(s *domainStream) { s.domainClaim(1, 500_000) },
			want: 0,
		},
		{
			name: "the usable holding is the granted one, not the claimed one",
			run: func(s *domainStream) {
				s.domainClaim(1, 500_000)
				s.grant(1, 400_000)
			},
			want: 400_000,
		},
		{
			name: "an announced smaller claim reduces the usable holding at once",
			run: func(s *domainStream) {
				s.domainClaim(1, 500_000)
				s.grant(1, 500_000)
				s.domainClaim(2, 100_000)
			},
			want: 100_000,
		},
		{
			name: "of two claims with one sequence number the first wins",
			run: func(s *domainStream) {
				s.domainClaim(1, 500_000)
				s.grant(1, 500_000)
				s.domainClaim(2, 100_000)
				s.domainClaim(2, 400_000)
				s.grant(2, 100_000)
			},
			want: 100_000,
		},
		{
			name: "a grant that is copied late does not replace a later one",
			run: func(s *domainStream) {
				s.domainClaim(1, 500_000)
				s.domainClaim(2, 100_000)
				s.grant(2, 100_000)
				s.grant(1, 500_000)
			},
			want: 100_000,
		},
		{
			name: "an old grant does not raise an announced smaller claim",
			run: func(s *domainStream) {
				s.domainClaim(1, 500_000)
				s.domainClaim(2, 100_000)
				s.grant(1, 500_000)
			},
			want: 100_000,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newDomainStream(t)
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
	// FormerLeaseEnd is the latest lease deadline of a former owner of any of
	// 64 servers, in seconds after start; 0 without one.
	FormerLeaseEnd float64
}

func TestMembership(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(s *domainStream)
		want membership
	}{
		{
			name: "the first member owns all servers from its first record on",
			run:  func(s *domainStream) { s.renew("i", 1, 0, 10, false) },
			want: membership{ActiveMembers: []string{"i"}, Fence: 1},
		},
		{
			name: "a renewal keeps the fencing number",
			run: func(s *domainStream) {
				s.renew("i", 1, 0, 10, false)
				s.renew("i", 2, 5, 15, false)
			},
			want: membership{ActiveMembers: []string{"i"}, Fence: 1},
		},
		{
			name: "a second member changes the fencing number, and the first may act as owner until its lease ends",
			run: func(s *domainStream) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
			},
			want: membership{ActiveMembers: []string{"i", "j"}, Fence: 2, FormerLeaseEnd: 10},
		},
		{
			name: "an expired lease is removed once a record is stamped later than the deadline plus the clock bound",
			run: func(s *domainStream) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 20, false)
				s.renew("j", 2, 10.2, 30, false)
				s.renew("j", 3, 10.4, 30, false)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 4, FormerLeaseEnd: 10},
		},
		{
			name: "a leaving member owns nothing and counts as former owner until its lease ends",
			run: func(s *domainStream) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
				s.renew("i", 2, 2, 12, true)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 3, FormerLeaseEnd: 10},
		},
		{
			name: "an old renewal that arrives late does not restore a leaving member",
			run: func(s *domainStream) {
				s.renew("i", 1, 0, 10, false)
				s.renew("j", 1, 1, 11, false)
				s.renew("i", 3, 2, 12, true)
				s.renew("i", 2, 1, 11, false)
			},
			want: membership{ActiveMembers: []string{"j"}, Fence: 3, FormerLeaseEnd: 10},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newDomainStream(t)
			scenario.run(s)
			got := membership{
				ActiveMembers: s.state.ActiveMembers(),
				Fence:         s.state.Fence,
			}
			for n := range 64 {
				if former := s.state.FormerLeaseDeadline(fmt.Sprint("m", n)); !former.IsZero() {
					got.FormerLeaseEnd = max(got.FormerLeaseEnd, former.Sub(start).Seconds())
				}
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
