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
	// exchangeLeast is the time between exchanges with the leader in a small
	// fleet, and exchangePerInstance what each instance adds to it, so that the
	// leader's work stays the same.
	exchangeLeast       = 100 * time.Millisecond
	exchangePerInstance = 1500 * time.Microsecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// missedLimit is how many exchanges may fail before the leader is looked up anew.
	missedLimit = 4
	// hintPause is how long an address that failed is not taken from others.
	hintPause = 2 * time.Second
	// wordIntervals is how many intervals between exchanges a leader's word on
	// what workers hold goes before the workers' own, which is older.
	wordIntervals = 5
	// wordLeast is the least time that it goes, so that one exchange that is
	// late does not end it.
	wordLeast = time.Second
	// relayMargin is how late an exchange may be before an instance reads the
	// platform's topics itself.
	relayMargin = 500 * time.Millisecond
	// relayAge is how old the leader's own reading of the topics may be, well
	// within the two seconds in which a change must be in force.
	relayAge = time.Second
	// untold is the age of what a leader did not tell.
	untold = time.Hour
)

// errNoLeader says that no instance gives orders at the moment.
var errNoLeader = errors.New("no leader is known")

// Member is an instance's side of the exchange with the leader of one failure
// domain.
type Member struct {
	// Domain is the one whose leader it exchanges with.
	Domain string
	// Relay takes over what the leader read of the store; of other domains'
	// leaders it is asked for only while what is known is old.
	Relay bool
	// LeaderIndex is the leader's place among those that add up what teams spend.
	LeaderIndex int
	// Address is where other instances reach this one.
	Address string
	// Instance is unique to this start.
	Instance string
	Board    *fleet.Board
	Ledger   *quota.Ledger
	// Leader is this instance's own, asked without the network while it leads;
	// Local answers its exchanges.
	Leader *Leader
	Local  *Server
	Peers  *peer.Client
	Logger log.Interface
	Clock  pomelospring.Clock
	// OnReply is told how many instances there are, and the leaders of other
	// domains that this one's knows.
	OnReply func(instances int, leaders map[string]string)
	// LeadsAny reports whether this instance leads any domain.
	LeadsAny func() bool
	// Servers takes in the leader's list of backend servers.
	Servers *fleet.ServerList

	mu sync.Mutex
	// found is signalled when a leader is found, so that the first exchange
	// does not wait.
	found     chan struct{}
	address   string
	missed    int
	instances int
	// failed is the address that was given up last; hints of it are not
	// followed for a while.
	failed      string
	failedUntil time.Time
	// leader is the one that the versions held are of.
	leader        string
	serverVersion int64
	// heardAt is the last exchange, with the age of what the leader read then.
	heardAt     time.Time
	operatorAge time.Duration
	serverAge   time.Duration
	// leaderOffset is how far the leader knows the operators' records.
	leaderOffset int64
}

// SetLeader sets the leader's address; an empty one says that there is none.
func (m *Member) SetLeader(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == address {
		return
	}
	m.address = address
	m.missed = 0
	m.leaderOffset = 0
	if address != "" {
		m.signal()
	}
	event := events.LeaderFound
	if address == "" {
		event = events.LeaderLost
	}
	events.Log(m.Logger, event, log.Fields{
		"domain":  m.Domain,
		"address": address,
	})
}

// hint takes over an address that another instance knows, unless it failed
// here a moment ago.
func (m *Member) hint(address string) {
	m.mu.Lock()
	usable := m.address == "" && (address != m.failed || m.Clock().After(m.failedUntil))
	m.mu.Unlock()
	if usable {
		m.SetLeader(address)
	}
}

// signal wakes Run; the lock is held.
func (m *Member) signal() {
	if m.found == nil {
		m.found = make(chan struct{}, 1)
	}
	select {
	case m.found <- struct{}{}:
	default:
	}
}

// awaited is signalled when a leader is found.
func (m *Member) awaited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.found == nil {
		m.found = make(chan struct{}, 1)
	}
	return m.found
}

// Known gives the leader's address; empty where it must be looked up.
func (m *Member) Known() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// LeaderAnswers reports whether the leader's last exchange went well.
func (m *Member) LeaderAnswers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address != "" && m.missed == 0
}

// InstanceCount is how many instances the leader counted last.
func (m *Member) InstanceCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances
}

// Run exchanges with the leader until the context ends.
func (m *Member) Run(ctx context.Context) error {
	for {
		m.exchange(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-m.awaited():
		case <-time.After(m.interval()):
		}
	}
}

// interval is the time between exchanges.
func (m *Member) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchangeInterval(m.instances)
}

// exchangeInterval is the time between exchanges in a fleet of some instances.
func exchangeInterval(instances int) time.Duration {
	return exchangeLeast + time.Duration(instances)*exchangePerInstance
}

// OperatorsRelayed reports whether another instance, the leader, tells what
// operators wrote, so that it need not be read here.
func (m *Member) OperatorsRelayed() bool { return m.relayed(&m.operatorAge) }

// ServersRelayed is the same for the list of backend servers.
func (m *Member) ServersRelayed() bool { return m.relayed(&m.serverAge) }

// relayed reports whether the leader's reading was of an age, a field that the
// lock protects, at which it replaces an own one.
func (m *Member) relayed(age *time.Duration) bool {
	interval := m.interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == "" || m.LeadsAny() {
		// Those who lead read for the others.
		return false
	}
	return *age < relayAge && m.Clock().Sub(m.heardAt) < interval+relayMargin
}

func (m *Member) exchange(ctx context.Context) {
	m.mu.Lock()
	address, leaderOffset := m.address, m.leaderOffset
	leader, serverVersion := m.leader, m.serverVersion
	m.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := m.Relay || m.stale()
	request := &coordinationpb.ExchangeRequest{
		Instance:         m.Instance,
		Name:             m.Address,
		Domain:           m.Domain,
		Uses:             m.uses(),
		ResidencyVersion: m.Board.ResidencyVersion(m.Domain),
		Leader:           leader,
		Relay:            asked,
		Spending:         spendingTo(m.Ledger.Spending()),
	}
	if asked {
		request.OperatorOffset = m.Board.OperatorOffset()
		request.ServerVersion = serverVersion
		if leaderOffset > 0 {
			request.Records = recordsTo(m.Board.RecordsFrom(leaderOffset))
		}
	}
	reply, err := m.call(ctx, address, request)
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	if err != nil {
		m.miss(address, err)
		return
	}
	m.learn(reply, asked && address != m.Address, serverVersion == 0)
}

// stale reports whether what is known of the store is older than it should be.
func (m *Member) stale() bool {
	now := m.Clock()
	return m.Board.PolicyAge(now) > relayAge || m.Board.ServersAge(now) > relayAge
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
	if errors.Is(err, context.DeadlineExceeded) {
		m.Board.RecordLeaderTimeout(m.Domain)
	}
	gone := m.address == address && (m.missed >= missedLimit || errors.Is(err, errNotLeading))
	m.mu.Unlock()
	events.Log(m.Logger, events.PeerUnreachable, log.Fields{
		"address": address,
		"error":   err.Error(),
	})
	if gone {
		m.mu.Lock()
		m.failed, m.failedUntil = address, m.Clock().Add(hintPause)
		m.mu.Unlock()
		m.SetLeader("")
	}
}

// learn takes in a reply. relayed says that it has what another instance, the
// leader, read of the store, and allServers that it lists all backend servers.
func (m *Member) learn(reply *coordinationpb.ExchangeReply, relayed, allServers bool) {
	now := m.Clock()
	operatorAge := time.Duration(reply.OperatorAgeMilliseconds) * time.Millisecond
	serverAge := time.Duration(reply.ServerAgeMilliseconds) * time.Millisecond
	if !relayed {
		operatorAge, serverAge = untold, untold
	}
	m.mu.Lock()
	whole := m.leader != reply.Leader
	m.missed = 0
	m.leader = reply.Leader
	m.leaderOffset = reply.OperatorOffset
	m.serverVersion = 0
	if m.Relay && serverAge < relayAge {
		m.serverVersion = reply.ServerVersion
	}
	m.instances = int(reply.Instances)
	m.heardAt = now
	m.operatorAge = operatorAge
	m.serverAge = serverAge
	m.mu.Unlock()
	interval := m.interval()
	m.Ledger.ApplyReport(m.LeaderIndex, quota.LeaderReport{
		Leader:    reply.Leader,
		Others:    spendingFrom(reply.Spending),
		Instances: int(reply.Instances),
		Known:     int(reply.Known),
		Interval:  interval,
	}, now)
	m.Board.SetResidency(m.Domain, residencyFrom(reply.Residency), whole, reply.ResidencyVersion)
	if m.Board.RecordContact(m.Domain, now) {
		events.Log(m.Logger, events.DomainReached, log.Fields{
			"domain": m.Domain,
			"leader": reply.Leader,
		})
	}
	m.Board.SetReportStaleness(int(reply.Instances), interval)
	m.Board.UpdateFromLeader(m.Domain, usesFrom(reply.Uses), now.Add(max(wordLeast, wordIntervals*interval)))
	if relayed {
		m.Local.AddRecords(recordsFrom(reply.Records))
		m.Board.ConfirmOperatorOffset(reply.OperatorOffset, now.Add(-operatorAge))
		if serverAge < relayAge {
			m.Servers.Relay(serversFrom(reply.Servers), reply.ServersGone, whole || allServers, now.Add(-serverAge))
		}
	}
	leaders := map[string]string{}
	for _, leader := range reply.Leaders {
		leaders[leader.Domain] = leader.Address
	}
	m.OnReply(int(reply.Instances), leaders)
}

func (m *Member) uses() (list []*coordinationpb.ServerUse) {
	for id, use := range m.Board.ServerLoads(m.Domain) {
		list = append(list, &coordinationpb.ServerUse{
			Server:        id,
			Running:       int32(use.Running),
			WaitingTokens: use.WaitingTokens,
			Adapters:      use.Adapters,
		})
	}
	return list
}

// Place asks the domain's leader for an adapter.
func (m *Member) Place(ctx context.Context, wish pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
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
		LeaderDomain:     m.Domain,
		Request:          wish.Request,
		Adapter:          wish.Adapter,
		Version:          wish.Version,
		Domain:           wish.Domain,
		WaitMilliseconds: wish.Deadline.Sub(now).Milliseconds(),
		Replica:          wish.Replica,
		AtOnce:           wish.AtOnce,
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

func residencyFrom(list []*coordinationpb.ServerResidency) map[string]pomelospring.Residency {
	changes := make(map[string]pomelospring.Residency, len(list))
	for _, server := range list {
		change := pomelospring.Residency{
			Whole: server.Whole,
			Gone:  server.Gone,
		}
		for _, adapter := range server.Adapters {
			change.Ready = append(change.Ready, pomelospring.ResidentAdapter{
				Adapter: adapter.Adapter,
				Version: adapter.Version,
			})
		}
		changes[server.Server] = change
	}
	return changes
}
