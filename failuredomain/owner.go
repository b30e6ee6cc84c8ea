package failuredomain

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// Owner returns the ID of the member that owns a backend server, by rendezvous
// hashing over the active members; empty without any.
func (s *State) Owner(server string) string {
	return highestWeight(s.ActiveMembers(), "owner/"+server)
}

// FormerLeaseDeadline is the latest lease deadline of any former owner of a
// backend server other than its present owner; the zero time without one. Until
// then the former owner may still act as owner.
func (s *State) FormerLeaseDeadline(server string) (deadline time.Time) {
	owner := s.Owner(server)
	for _, set := range s.FormerOwners {
		former := highestWeight(slices.Sorted(maps.Keys(set.Deadlines)), "owner/"+server)
		if former != owner && set.Deadlines[former].After(deadline) {
			deadline = set.Deadlines[former]
		}
	}
	return deadline
}

// Writer returns the ID of the member that writes the domain's claims and
// intents. Two members that consider themselves the writer do no harm; a single
// one saves appends to the log.
func (s *State) Writer(purpose string) string {
	return highestWeight(s.ActiveMembers(), "writer/"+purpose)
}

// ActiveMembers returns the IDs of the members that are not leaving, sorted.
func (s *State) ActiveMembers() []string {
	ids := make([]string, 0, len(s.Members))
	for id, member := range s.Members {
		if !member.Instance.Leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Instances returns all members, sorted by ID.
func (s *State) Instances() []pomelospring.Instance {
	instances := make([]pomelospring.Instance, 0, len(s.Members))
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		instances = append(instances, s.Members[id].Instance)
	}
	return instances
}

// highestWeight returns the ID with the highest rendezvous hash for a text.
func highestWeight(ids []string, text string) (winner string) {
	var best uint64
	for _, id := range ids {
		if weight := xxhash.Sum64String(id + "\x00" + text); winner == "" || weight > best {
			winner, best = id, weight
		}
	}
	return winner
}
