package coordination

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/quota"
)

const (
	// exchangeEvery is the time between exchanges with the leader.
	exchangeEvery = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 350 * time.Millisecond
	// missedLimit is how many exchanges may fail before the leader is looked up anew.
	missedLimit = 3
)

// errNoLeader says that no instance gives orders at the moment.
var errNoLeader = errors.New("no leader is known")

// Member is every instance's side of the exchange with the leader.
type Member struct {
	// Address is where other instances reach this one.
	Address string
	// Instance is unique to this start.
	Instance string
	Board    *fleet.Board
	Ledger   *quota.Ledger
	Leader   *Leader
	Local    *Server
	Peers    *peer.Client
	Logger   log.Interface
	Clock    pomelospring.Clock
	// Heard is told how many instances there are.
	Heard func(instances int)

	mu      sync.Mutex
	address string
	missed  int
	// leaderOffset is how far the leader knows the operators' records.
	leaderOffset int64
}

var _ pomelospring.Coordinator = (*Member)(nil)

// Find sets the leader's address; an empty one says that there is none.
func (m *Member) Find(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == address {
		return
	}
	m.address = address
	m.missed = 0
	m.leaderOffset = 0
	event := events.LeaderFound
	if address == "" {
		event = events.LeaderLost
	}
	events.Log(m.Logger, event, log.Fields{
		"address": address,
	})
}

// Known gives the leader's address; empty where it must be looked up.
func (m *Member) Known() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// Run exchanges with the leader until the context ends.
func (m *Member) Run(ctx context.Context) error {
	for {
		m.exchange(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(exchangeEvery):
		}
	}
}

func (m *Member) exchange(ctx context.Context) {
	m.mu.Lock()
	address, leaderOffset := m.address, m.leaderOffset
	m.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := &coordinationpb.ExchangeRequest{
		Instance:         m.Instance,
		Uses:             m.uses(),
		Spending:         spendingTo(m.Ledger.Spending()),
		OperatorOffset:   m.Board.OperatorOffset(),
		ResidencyVersion: m.Board.ResidencyVersion(),
	}
	if leaderOffset > 0 {
		request.Records = recordsTo(m.Board.RecordsFrom(leaderOffset))
	}
	reply, err := m.call(ctx, address, request)
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	if err != nil {
		m.miss(address, err)
		return
	}
	m.learn(reply)
}

func (m *Member) call(ctx context.Context, address string, request *coordinationpb.ExchangeRequest) (reply *coordinationpb.ExchangeReply, err error) {
	if address == m.Address {
		return m.Local.Exchange(ctx, request)
	}
	return m.client(ctx, address).Exchange(ctx, request)
}

func (m *Member) client(ctx context.Context, address string) coordinationpb.DRPCCoordinationClient {
	return coordinationpb.NewDRPCCoordinationClient(m.Peers.Conn(ctx, address))
}

// miss counts failed exchanges; an instance that says it does not lead is
// given up at once.
func (m *Member) miss(address string, err error) {
	m.mu.Lock()
	m.missed++
	gone := m.address == address && (m.missed >= missedLimit || errors.Is(err, errNotLeading))
	m.mu.Unlock()
	events.Log(m.Logger, events.PeerUnreachable, log.Fields{
		"address": address,
		"error":   err.Error(),
	})
	if gone {
		m.Find("")
	}
}

func (m *Member) learn(reply *coordinationpb.ExchangeReply) {
	now := m.Clock()
	m.mu.Lock()
	m.missed = 0
	m.leaderOffset = reply.OperatorOffset
	m.mu.Unlock()
	m.Ledger.Learn(reply.Leader, spendingFrom(reply.Spending), int(reply.Instances), now)
	if reply.Residency != nil {
		m.Board.SetResidency(residencyFrom(reply.Residency), reply.ResidencyVersion)
	}
	m.Board.HearLeader(usesFrom(reply.Uses), now)
	if len(reply.Records) > 0 {
		m.Local.Absorb(recordsFrom(reply.Records))
	}
	m.Heard(int(reply.Instances))
}

func (m *Member) uses() (list []*coordinationpb.ServerUse) {
	for id, use := range m.Board.Uses() {
		list = append(list, &coordinationpb.ServerUse{
			Server:        id,
			Running:       int32(use.Running),
			WaitingTokens: use.WaitingTokens,
			Adapters:      use.Adapters,
		})
	}
	return list
}

// Place implements pomelospring.Coordinator.
func (m *Member) Place(ctx context.Context, wish pomelospring.PlacementWish) (outcome pomelospring.PlacementOutcome, err error) {
	defer func() {
		if err == nil && outcome.Server != "" {
			m.Board.Placed(outcome.Server, wish.Adapter, outcome.Version)
		}
	}()
	address := m.Known()
	switch address {
	case "":
		return pomelospring.PlacementOutcome{}, errNoLeader
	case m.Address:
		return m.Leader.Place(ctx, wish)
	}
	now := m.Clock()
	ctx, cancel := context.WithDeadline(ctx, wish.Deadline)
	defer cancel()
	reply, err := m.client(ctx, address).Place(ctx, &coordinationpb.PlaceRequest{
		Adapter:          wish.Adapter,
		Version:          wish.Version,
		Domain:           wish.Domain,
		WaitMilliseconds: wish.Deadline.Sub(now).Milliseconds(),
		Replica:          wish.Replica,
		Avoid:            wish.Avoid,
	})
	if err != nil {
		return pomelospring.PlacementOutcome{}, err
	}
	return pomelospring.PlacementOutcome{
		Server:  reply.Server,
		Version: reply.Version,
		Reason:  reply.Reason,
		RetryAt: m.Clock().Add(time.Duration(reply.RetryMilliseconds) * time.Millisecond),
	}, nil
}

func residencyFrom(list []*coordinationpb.ServerResidency) map[string][]pomelospring.ResidentAdapter {
	residency := make(map[string][]pomelospring.ResidentAdapter, len(list))
	for _, server := range list {
		for _, adapter := range server.Adapters {
			residency[server.Server] = append(residency[server.Server], pomelospring.ResidentAdapter{
				Adapter: adapter.Adapter,
				Version: adapter.Version,
			})
		}
	}
	return residency
}
