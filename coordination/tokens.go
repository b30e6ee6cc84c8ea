package coordination

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/quota"
)

// tokensTimeout bounds the answer to a question for tokens, for which a call waits.
const tokensTimeout = 150 * time.Millisecond

// AskTokens decides on tokens that an instance may not give out by itself; ok is false if
// this instance does not lead, does not know the other, or follows another leader's sums.
func (l *Leader) AskTokens(instance string, request quota.Request) (decision quota.Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Holds(l.Uptime()) || l.Ledger == nil {
		return quota.Decision{}, false
	}
	now := l.Clock()
	others := l.totals.OthersOfTeam(l.Instance, request.Team)
	if !l.totals.Knows(instance) || !l.Ledger.ApplySpending(l.LedgerIndex, l.term(), request.Team, others, now) {
		return quota.Decision{}, false
	}
	decision = l.Ledger.Grant(request, now)
	if decision.Admitted {
		l.totals.Add(instance, request.Team, request.Tokens)
	}
	return decision, true
}

// AskTokens implements the RPC AskTokens.
func (s *Server) AskTokens(_ context.Context, request *coordinationpb.AskTokensRequest) (reply *coordinationpb.AskTokensReply, err error) {
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return nil, errNotLeading
	}
	decision, ok := leader.AskTokens(request.Instance, quota.Request{
		Team:        request.Team,
		Tokens:      request.Tokens,
		UsualTokens: request.UsualTokens,
		Priority:    int(request.Priority),
		Call:        request.Call,
	})
	if !ok {
		return nil, errNotLeading
	}
	reply = &coordinationpb.AskTokensReply{
		Granted: decision.Admitted,
		Reason:  decision.Reason,
	}
	if !decision.Admitted {
		reply.RetryMilliseconds = decision.RetryAt.Sub(leader.Clock()).Milliseconds()
	}
	return reply, nil
}

// AskTokens asks the leader at an index of the ledger for tokens, and charges what is
// granted. Without an answer this instance's part of the tokens decides.
func (c *PlacementCoordinator) AskTokens(ctx context.Context, index int, request quota.Request) (decision quota.Decision) {
	for _, member := range c.Members {
		if member.LeaderIndex == index {
			return member.askTokens(ctx, request)
		}
	}
	return quota.Decision{}
}

func (m *Member) askTokens(ctx context.Context, request quota.Request) (decision quota.Decision) {
	decision, err := m.askTokensAtLeader(ctx, request)
	now := m.Clock()
	if err != nil {
		events.Log(m.Logger, events.TokensDivided, log.Fields{
			"team":   request.Team,
			"tokens": request.Tokens,
			"error":  err.Error(),
		})
		return m.Ledger.AdmitUnanswered(request, now)
	}
	if decision.Admitted {
		m.Ledger.Charge(request.Team, request.Tokens, now)
	}
	return decision
}

// askTokensAtLeader asks the domain's leader for tokens.
func (m *Member) askTokensAtLeader(ctx context.Context, request quota.Request) (decision quota.Decision, err error) {
	address := m.Known()
	switch {
	case address == "" || !m.LeaderAnswers():
		return quota.Decision{}, errNoLeader
	case address == m.Address:
		decision, ok := m.Leader.AskTokens(m.Instance, request)
		if !ok {
			return quota.Decision{}, errNotLeading
		}
		return decision, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).AskTokens(ctx, &coordinationpb.AskTokensRequest{
		Domain:      m.Domain,
		Instance:    m.Instance,
		Team:        request.Team,
		Tokens:      request.Tokens,
		UsualTokens: request.UsualTokens,
		Priority:    int32(request.Priority),
		Call:        request.Call,
	})
	if err != nil {
		return quota.Decision{}, err
	}
	return quota.Decision{
		Admitted: reply.Granted,
		RetryAt:  m.Clock().Add(time.Duration(reply.RetryMilliseconds) * time.Millisecond),
		Reason:   reply.Reason,
	}, nil
}

func spendingFromProto(list []*coordinationpb.TeamSpending) map[string]quota.Spending {
	spending := make(map[string]quota.Spending, len(list))
	for _, entry := range list {
		counts := quota.Spending{
			Spent: entry.Tokens,
			Asked: entry.Asked,
		}
		if len(entry.Ranks) > 0 {
			counts.ByRank = make(map[int]float64, len(entry.Ranks))
		}
		for _, rank := range entry.Ranks {
			counts.ByRank[int(rank.Rank)] = rank.Asked
		}
		spending[entry.Team] = counts
	}
	return spending
}

func spendingToProto(spending map[string]quota.Spending) (list []*coordinationpb.TeamSpending) {
	for team, counts := range spending {
		entry := &coordinationpb.TeamSpending{
			Team:   team,
			Tokens: counts.Spent,
			Asked:  counts.Asked,
		}
		for rank, asked := range counts.ByRank {
			entry.Ranks = append(entry.Ranks, &coordinationpb.RankTokens{
				Rank:  int32(rank),
				Asked: asked,
			})
		}
		list = append(list, entry)
	}
	return list
}
