// Package failuredomain folds the stream of one failure domain: its members,
// who owns which backend server, the domain's claim on the common budget, and
// the instances' claims on the domain's holding. The fold is pure.
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
	// KindRenewal carries Renewal.
	KindRenewal = "renewal"
	// KindDomainClaim carries DomainClaim.
	KindDomainClaim = "domainClaim"
	// KindDomainGrant carries DomainGrant.
	KindDomainGrant = "domainGrant"
)

// Renewal is an instance's heartbeat: its membership lease and its claim.
type Renewal struct {
	Instance pomelospring.Instance `json:"instance"`
	// Deadline ends the membership lease; the zero time gives it up.
	Deadline time.Time    `json:"deadline"`
	Claim    budget.Claim `json:"claim"`
}

// DomainClaim announces a claim of the whole domain before it goes to the
// budget stream. The first with the next sequence number wins.
type DomainClaim struct {
	Claim budget.Claim `json:"claim"`
}

// DomainGrant copies the outcome of a domain's claim from the budget stream.
type DomainGrant struct {
	Holding budget.Holding `json:"holding"`
}

// Member is an instance with a membership lease.
type Member struct {
	Instance pomelospring.Instance `json:"instance"`
	Deadline time.Time             `json:"deadline"`
}

// FormerOwners is a former set of owners.
type FormerOwners struct {
	// Deadlines maps each member that could own servers to the end of the
	// lease that it had when the set changed.
	Deadlines map[string]time.Time `json:"deadlines"`
}

// State is a failure domain at one offset. It is never changed in place.
type State struct {
	// Next is the offset of the first record that is not folded in.
	Next    int64             `json:"next"`
	Started bool              `json:"started"`
	Members map[string]Member `json:"members"`
	// Fence is the offset after the record that last changed who may own
	// backend servers; it goes out as fencing number.
	Fence int64 `json:"fence"`
	// FormerOwners are the sets of owners before that change, of which some member's
	// lease may still hold by its own clock.
	FormerOwners []FormerOwners `json:"past,omitempty"`
	// Holding is the domain's last settled part of the common budget.
	Holding budget.Holding `json:"holding"`
	// Claims are the domain's claims that are not settled, oldest first.
	Claims []budget.Claim `json:"claims"`
	// Ledger divides the domain's holding among its instances.
	Ledger budget.Ledger `json:"ledger"`
	// LastStamp is the latest stamp folded in.
	LastStamp time.Time `json:"lastStamp"`
}

// NewState gives the state before the first record.
func NewState() *State {
	return &State{
		Members: map[string]Member{},
		Ledger:  budget.Ledger{},
	}
}

// Usable is the part of the common budget that instances may claim from.
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

// Decode reads a state from its snapshot form.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode failure domain snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	return state, nil
}
