package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/quarantine"
)

// tryTimeout bounds the answer of a leader that grants trials, for which a call waits.
const tryTimeout = 250 * time.Millisecond

// addCrashes adds to a request the crashes that the leader doesn't have, and returns
// their version.
func (m *Member) addCrashes(request *coordinationpb.ExchangeRequest) (reported int64) {
	m.mu.Lock()
	since := m.reportedCrashVersion
	request.CrashVersion = m.crashVersion
	m.mu.Unlock()
	crashes, outputs, reported := m.Quarantine.Changes(since)
	now := m.Clock()
	request.Crashes = crashesToProto(crashes, now)
	request.Outputs = outputsToProto(outputs, now)
	return reported
}

// applyCrashes applies the crashes of a reply. A leader that did not issue the
// versions known here gets all crashes with the next exchange.
func (m *Member) applyCrashes(reply *coordinationpb.ExchangeReply, reported int64) {
	now := m.Clock()
	m.Quarantine.Merge(crashesFromProto(reply.Crashes, now), outputsFromProto(reply.Outputs, now), now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != reply.Leader {
		reported = 0
	}
	m.reportedCrashVersion = reported
	m.crashVersion = reply.CrashVersion
}

// exchangeCrashes applies the crashes of a request and adds those to the reply that
// the calling instance doesn't have.
func (s *Server) exchangeCrashes(leader *Leader, request *coordinationpb.ExchangeRequest, reply *coordinationpb.ExchangeReply) {
	now := leader.Clock()
	s.Quarantine.Merge(crashesFromProto(request.Crashes, now), outputsFromProto(request.Outputs, now), now)
	since := request.CrashVersion
	if request.Leader != reply.Leader {
		since = 0
	}
	crashes, outputs, version := s.Quarantine.Changes(since)
	reply.Crashes = crashesToProto(crashes, now)
	reply.Outputs = outputsToProto(outputs, now)
	reply.CrashVersion = version
}

func crashesToProto(crashes []quarantine.Crash, now time.Time) (list []*coordinationpb.Crash) {
	for i := range crashes {
		crash := &crashes[i]
		entry := &coordinationpb.Crash{
			Server:              crash.Server,
			AgeMilliseconds:     now.Sub(crash.At).Milliseconds(),
			SeenAgeMilliseconds: now.Sub(crash.SeenAt).Milliseconds(),
		}
		for part, teams := range crash.Suspects {
			entry.Suspects = append(entry.Suspects, &coordinationpb.SuspectPart{
				Part:   part,
				Teams:  slices.Sorted(maps.Keys(teams)),
				Resent: crash.Resent[part],
			})
		}
		list = append(list, entry)
	}
	return list
}

func crashesFromProto(list []*coordinationpb.Crash, now time.Time) (crashes []quarantine.Crash) {
	for _, entry := range list {
		crash := quarantine.Crash{
			Server:   entry.Server,
			At:       now.Add(-time.Duration(entry.AgeMilliseconds) * time.Millisecond),
			SeenAt:   now.Add(-time.Duration(entry.SeenAgeMilliseconds) * time.Millisecond),
			Suspects: map[string]map[string]bool{},
			Resent:   map[string]bool{},
		}
		for _, suspect := range entry.Suspects {
			teams := map[string]bool{}
			for _, team := range suspect.Teams {
				teams[team] = true
			}
			crash.Suspects[suspect.Part] = teams
			if suspect.Resent {
				crash.Resent[suspect.Part] = true
			}
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

func outputsToProto(outputs []quarantine.Output, now time.Time) (list []*coordinationpb.PartOutput) {
	for _, output := range outputs {
		list = append(list, &coordinationpb.PartOutput{
			Part:            output.Part,
			AgeMilliseconds: now.Sub(output.At).Milliseconds(),
		})
	}
	return list
}

func outputsFromProto(list []*coordinationpb.PartOutput, now time.Time) (outputs []quarantine.Output) {
	for _, entry := range list {
		outputs = append(outputs, quarantine.Output{
			Part: entry.Part,
			At:   now.Add(-time.Duration(entry.AgeMilliseconds) * time.Millisecond),
		})
	}
	return outputs
}

// Try implements the RPC Try.
func (s *Server) Try(_ context.Context, request *coordinationpb.TryRequest) (reply *coordinationpb.TryReply, err error) {
	leader := s.Leaders[request.Domain]
	if leader == nil || !leader.Leading() {
		return nil, errNotLeading
	}
	return &coordinationpb.TryReply{
		Granted: s.Quarantine.BeginTrial(request.Block, leader.Clock()),
	}, nil
}

// MayTry asks the domain's leader for a trial of a block. Without an answer there is none.
func (m *Member) MayTry(ctx context.Context, block string) bool {
	address := m.Known()
	request := &coordinationpb.TryRequest{
		Domain: m.Domain,
		Block:  block,
	}
	if address == "" || !m.LeaderAnswers() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var reply *coordinationpb.TryReply
	var err error
	if address == m.Address {
		reply, err = m.Local.Try(ctx, request)
	} else {
		reply, err = m.client(ctx, address).Try(ctx, request)
	}
	return err == nil && reply.Granted
}

// MayTry implements pomelospring.Coordinator.
func (c *PlacementCoordinator) MayTry(ctx context.Context, block string) bool {
	return c.blockMember(block).MayTry(ctx, block)
}

// blockMember returns the member of the domain whose leader grants the trials of a block
// and keeps its record.
func (c *PlacementCoordinator) blockMember(block string) *Member {
	return c.Members[xxhash.Sum64String(block)%uint64(len(c.Members))]
}

// leadsBlock reports whether this instance leads the domain that keeps a block's record.
func (c *PlacementCoordinator) leadsBlock(block string) bool {
	return c.blockMember(block).Leader.Leading()
}

// ledDomains lists the domains that this instance leads.
func (c *PlacementCoordinator) ledDomains() (domains []string) {
	for _, member := range c.Members {
		if member.Leader.Leading() {
			domains = append(domains, member.Domain)
		}
	}
	return domains
}
