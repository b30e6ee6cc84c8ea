package failuredomain

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// Owner names the member that owns a backend server, by rendezvous hashing
// over the members that are not leaving; empty without any.
func (s *State) Owner(server string) string {
	return highest(s.ActiveMembers(), "owner/"+server)
}

// FormerLeaseDeadline is when the last lease ends of those that owned a backend server
// before its owner of now; the zero time without any.
func (s *State) FormerLeaseDeadline(server string) (deadline time.Time) {
	owner := s.Owner(server)
	for _, set := range s.FormerOwners {
		former := highest(slices.Sorted(maps.Keys(set.Deadlines)), "owner/"+server)
		if former != owner && set.Deadlines[former].After(deadline) {
			deadline = set.Deadlines[former]
		}
	}
	return deadline
}

// Writer names the member that writes the domain's claims and intents. Two
// that think so at once are harmless; one spares the log.
func (s *State) Writer(purpose string) string {
	return highest(s.ActiveMembers(), "writer/"+purpose)
}

// ActiveMembers are the IDs of the members that are not leaving, sorted.
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

// Instances are all members, sorted by ID.
func (s *State) Instances() []pomelospring.Instance {
	instances := make([]pomelospring.Instance, 0, len(s.Members))
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		instances = append(instances, s.Members[id].Instance)
	}
	return instances
}

func highest(ids []string, text string) (winner string) {
	var best uint64
	for _, id := range ids {
		if weight := xxhash.Sum64String(id + "\x00" + text); winner == "" || weight > best {
			winner, best = id, weight
		}
	}
	return winner
}
