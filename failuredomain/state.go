// Package failuredomain folds the stream of one failure domain: its members, the
// owners of its backend servers, the domain's claim on the budget that all
// domains share, and the instances' claims on the domain's holding. The fold is
// pure: every instance reaches the same state at the same offset.
package failuredomain

import (
	"encoding/json"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
)

// Stream names the log stream of one failure domain.
func Stream(domain string) string {
	return "domain-" + domain
}

// The kinds of record in a failure domain's stream.
const (
	// KindRenewal carries a Renewal.
	KindRenewal = "renewal"
	// KindDomainClaim carries a DomainClaim.
	KindDomainClaim = "domainClaim"
	// KindDomainGrant carries a DomainGrant.
	KindDomainGrant = "domainGrant"
)

// Renewal is an instance's heartbeat: it renews the membership lease and states
// the instance's claim on the domain's holding.
type Renewal struct {
	Instance pomelospring.Instance `json:"instance"`
	// Deadline ends the membership lease; the zero time releases it.
	Deadline time.Time    `json:"deadline"`
	Claim    budget.Claim `json:"claim"`
}

// DomainClaim announces a claim of the domain before it goes to the budget
// stream. Of several with the same sequence number the first wins.
type DomainClaim struct {
	Claim budget.Claim `json:"claim"`
}

// DomainGrant copies the result of the domain's claim from the budget stream.
type DomainGrant struct {
	Holding budget.Holding `json:"holding"`
}

// Member is an instance with a membership lease.
type Member struct {
	Instance pomelospring.Instance `json:"instance"`
	Deadline time.Time             `json:"deadline"`
}

// FormerOwners is a former set of members that could own backend servers.
type FormerOwners struct {
	// Deadlines maps the ID of each member to the end of the lease that it had
	// when the set changed.
	Deadlines map[string]time.Time `json:"deadlines"`
}

// State is a failure domain at one offset. It is never changed in place: a fold
// copies what it changes.
type State struct {
	// Next is the offset of the first record that is not folded yet.
	Next int64 `json:"next"`
	// Started is set once the state is based on a snapshot or on offset 0.
	Started bool              `json:"started"`
	Members map[string]Member `json:"members"`
	// Fence is the fencing number: the offset after the record that last
	// changed which members may own backend servers.
	Fence int64 `json:"fence"`
	// FormerOwners are the sets of owners before the present one. Each change of
	// owners drops the sets whose leases have all ended on every clock.
	FormerOwners []FormerOwners `json:"past,omitempty"`
	// Holding is the last granted holding of the domain in the shared budget.
	Holding budget.Holding `json:"holding"`
	// Claims are the domain's claims without a grant, oldest first.
	Claims []budget.Claim `json:"claims"`
	// Ledger divides the domain's holding among its instances.
	Ledger budget.Ledger `json:"ledger"`
	// LastStamp is the latest timestamp of a folded record.
	LastStamp time.Time `json:"lastStamp"`
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Members: map[string]Member{},
		Ledger:  budget.Ledger{},
	}
}

// Usable is the holding that instances may claim from: the smallest of the
// granted holding and the open claims.
func (s *State) Usable() budget.Holding {
	return budget.MinHolding(s.Holding, s.Claims)
}

// LastSequence is the sequence number of the domain's newest claim.
func (s *State) LastSequence() int64 {
	if len(s.Claims) > 0 {
		return s.Claims[len(s.Claims)-1].Sequence
	}
	return s.Holding.Sequence
}

// Decode reads a state from a snapshot.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode failure domain snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	return state, nil
}
