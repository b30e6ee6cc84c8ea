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
	"github.com/pomelospring/pomelospring/pacing"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/quarantine"
	"github.com/pomelospring/pomelospring/quota"
	"google.golang.org/protobuf/proto"
)

const (
	// minExchangeInterval is the shortest time between exchanges with the leader,
	// and exchangeIntervalPerInstance what each instance adds to it, so that the
	// leader's load stays about the same in a larger fleet.
	minExchangeInterval         = 100 * time.Millisecond
	exchangeIntervalPerInstance = 1500 * time.Microsecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// maxFailedExchanges is the number of failed exchanges in a row after which
	// the leader is looked up again.
	maxFailedExchanges = 4
	// hintBackoff is how long a leader address that failed is ignored when other
	// instances report it.
	hintBackoff = 2 * time.Second
	// reportExpiryIntervals is the number of exchange intervals after which a
	// leader's report of resident adapters expires. Until then it takes
	// precedence over the workers' own reports, which are older.
	reportExpiryIntervals = 5
	// minReportExpiry is the shortest time to expiry, so that one delayed exchange
	// does not expire the report.
	minReportExpiry = time.Second
	// maxExchangeDelay is how late an exchange may be before the instance reads
	// the store's topics itself.
	maxExchangeDelay = 500 * time.Millisecond
	// maxRelayAge is the maximum age of the leader's last read of the topics, well
	// within the two seconds after which a change must be active.
	maxRelayAge = time.Second
	// notRelayedAge is the age given to what the leader did not relay.
	notRelayedAge = time.Hour
)

// errNoLeader is returned while no leader of the domain is known.
var errNoLeader = errors.New("no leader is known")

// Member exchanges with the leader of one failure domain on behalf of this
// instance, and sends it placement requests.
type Member struct {
	// Domain is the failure domain whose leader the member exchanges with.
	Domain string
	// Relay says to always request what the leader read from the store. Without
	// it, that is requested only while this instance's copy is stale, and where there is
	// a Choice only if it picks this domain's leader.
	Relay  bool
	Choice *RelayChoice
	// LeaderIndex is the leader's index in the ledger.
	LeaderIndex int
	// Address is where other instances reach this one.
	Address string
	// Instance is unique to one start of this instance.
	Instance string
	Board    *fleet.Board
	Ledger   *quota.Ledger
	// Leader is this instance's own leader of the domain, called without the
	// network while it leads; Local serves the exchanges with it.
	Leader *Leader
	Local  *Server
	Peers  *peer.Client
	Logger log.Interface
	Clock  pomelospring.Clock
	// OnReply is called after each exchange with the number of live instances and
	// the leader addresses by domain that the leader knows.
	OnReply func(instances int, leaders map[string]string)
	// LeadsAny reports whether this instance leads any domain.
	LeadsAny func() bool
	// Quarantine has the crashes that this instance and others have seen.
	Quarantine *quarantine.Register
	// Servers applies the list of backend servers that the leader relays.
	Servers *fleet.ServerList
	Eras    *StoreEras
	// Relays are the instances through which this one sends calls to servers that it
	// can't connect to; it may be nil.
	Relays Relays

	mu sync.Mutex
	// leaderFound is signalled when a leader is found, so that the first exchange
	// starts at once, and when an exchange is due for another reason.
	leaderFound     chan struct{}
	address         string
	failedExchanges int
	instances       int
	// failedAddress is the leader address that was given up last; suggestions of
	// it are ignored until failedUntil.
	failedAddress string
	failedUntil   time.Time
	// leader identifies the leader that issued the residency and server versions
	// known here; it is unique to one term.
	leader        string
	serverVersion int64
	// lastReplyAt is the time of the last reply, operatorAge and serverAge the
	// ages of the leader's last reads of the store at that time.
	lastReplyAt time.Time
	operatorAge time.Duration
	serverAge   time.Duration
	// leaderOperators is the position up to which the leader has the operators'
	// records, and leaderRetained the digest of those that the store lost.
	leaderOperators pomelospring.TopicPosition
	leaderRetained  uint64
	// leaderFetches says that the leader fetches long values that are left out.
	leaderFetches bool
	// exchanges counts the exchanges since the last one with spending.
	exchanges int
	// crashVersion is the version of the leader's crashes known here, and
	// reportedCrashVersion that of this instance's crashes that the leader has.
	crashVersion         int64
	reportedCrashVersion int64
	// difference is since when this instance lists other servers than the leader.
	difference listDifference
	// pacing gives out this instance's part of the limits of the domain's servers while
	// the leader does not answer.
	pacing pacing.Schedule
	// coldPart gives out this instance's turns of cold servers meanwhile, and division is
	// its place among the instances. randomPhase is that of one that has none.
	coldPart    pacing.Part
	division    division
	randomPhase float64
	// divided has the servers of which this instance used its own part since the leader's
	// last reply.
	divided map[string]bool
	// permits are those for the domain's brittle servers that this instance has, and
	// ownPermits gives out its part of their room while the leader does not answer.
	permits    heldPermits
	ownPermits permitDesk
}

// Relays lists the instances through which another one sends calls to servers that it
// can't connect to.
type Relays interface {
	// Wanted reports whether instances are to be listed.
	Wanted() bool
	// SetRelays replaces the addresses of the instances, unless there are none.
	SetRelays(addresses []string)
	// Relaying reports whether this instance sends calls for others.
	Relaying() bool
}

// ExchangeNow lets the next exchange begin at once.
func (m *Member) ExchangeNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signalLeaderFound()
}

// SetLeader sets the leader's address; an empty one means that none is known.
func (m *Member) SetLeader(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == address {
		return
	}
	m.address = address
	m.failedExchanges = 0
	m.leaderOperators = pomelospring.TopicPosition{}
	m.permits.leaderChanged()
	if address == "" {
		m.ownPermits.reset()
	}
	if address != "" {
		m.signalLeaderFound()
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

// suggestLeader sets a leader address that another instance reported, if none is
// known and the address did not fail here within hintBackoff.
func (m *Member) suggestLeader(address string) {
	m.mu.Lock()
	usable := m.address == "" && (address != m.failedAddress || m.Clock().After(m.failedUntil))
	m.mu.Unlock()
	if usable {
		m.SetLeader(address)
	}
}

// signalLeaderFound wakes Run; the lock is held.
func (m *Member) signalLeaderFound() {
	if m.leaderFound == nil {
		m.leaderFound = make(chan struct{}, 1)
	}
	select {
	case m.leaderFound <- struct{}{}:
	default:
	}
}

// leaderFoundSignal returns the channel that is signalled when a leader is found.
func (m *Member) leaderFoundSignal() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderFound == nil {
		m.leaderFound = make(chan struct{}, 1)
	}
	return m.leaderFound
}

// Known returns the leader's address, or an empty string if none is known.
func (m *Member) Known() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// LeaderAnswers reports whether the last exchange with the leader succeeded.
func (m *Member) LeaderAnswers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address != "" && m.failedExchanges == 0
}

// InstanceCount returns the number of live instances in the leader's last reply.
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
		case <-m.leaderFoundSignal():
		case <-time.After(m.interval()):
		}
	}
}

// interval returns the time between exchanges.
func (m *Member) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchangeInterval(m.instances)
}

// exchangeInterval returns the time between exchanges for a number of instances.
func exchangeInterval(instances int) time.Duration {
	return minExchangeInterval + time.Duration(instances)*exchangeIntervalPerInstance
}

// OperatorsRelayed reports whether the leader, on another instance, relays the
// operators' records, so that this instance need not read them from the store.
func (m *Member) OperatorsRelayed() bool {
	return m.relayIsFresh(&m.operatorAge) && !m.Local.fetchStalled()
}

// ServersRelayed is like OperatorsRelayed for the list of backend servers.
func (m *Member) ServersRelayed() bool { return m.relayIsFresh(&m.serverAge) }

// relayIsFresh reports whether the leader's last read of the store is recent
// enough to replace a read here. age points to a field that the lock protects.
func (m *Member) relayIsFresh(age *time.Duration) bool {
	// Leaders ask their members while they hold their own lock.
	leadsAny := m.LeadsAny()
	interval := m.interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == "" || leadsAny {
		// An instance that leads a domain reads the store for the others.
		return false
	}
	return *age < maxRelayAge && m.Clock().Sub(m.lastReplyAt) < interval+maxExchangeDelay
}

// exchange sends this instance's report to the leader and applies the reply.
func (m *Member) exchange(ctx context.Context) {
	m.mu.Lock()
	address := m.address
	leader, serverVersion := m.leader, m.serverVersion
	m.mu.Unlock()
	if address == "" {
		m.recordRelay(false)
		return
	}
	if m.Servers.NeedsCompleteList() || m.listsDiffer() {
		serverVersion = 0
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	relayRequested := m.Relay || m.asksForRelay()
	request := &coordinationpb.ExchangeRequest{
		Instance:         m.Instance,
		Name:             m.Address,
		Domain:           m.Domain,
		Uses:             m.serverLoads(),
		ResidencyVersion: m.Board.ResidencyVersion(m.Domain),
		Leader:           leader,
		Relay:            relayRequested,
		WithSpending:     m.spendingIsDue(),
		Leaving:          leavingToProto(m.Board.LeavingServers(m.Domain)),
		Limits:           limitsToProto(m.Board.Limits(m.Domain), m.Clock()),
		Brittle:          brittlenessToProto(m.Board.Brittlenesses(m.Domain), m.Clock()),
		FetchesRecords:   m.Local.Fetcher != nil,
	}
	m.addUnpermitted(request.Uses)
	if address != m.Address {
		request.Paces = pacesToProto(m.Board.TakePaceReports(m.Domain), m.Clock())
		request.PaceVersion = m.Board.LeaderPaceVersion(m.Domain, m.Clock())
	}
	if request.WithSpending {
		request.Spending = spendingToProto(m.Ledger.Spending())
	}
	if relayRequested {
		position := m.Board.OperatorPosition()
		request.OperatorOffset, request.OperatorEra = position.Offset, position.Era
		request.ServerVersion = serverVersion
	}
	reported := m.addCrashes(request)
	m.addStoreState(request)
	m.addPaths(request)
	began := m.Clock()
	reply, err := m.sendExchange(ctx, address, request)
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	if err != nil {
		events.Log(m.Logger, events.PeerUnreachable, log.Fields{
			"address": address,
			"domain":  m.Domain,
			"error":   err.Error(),
			"tookMs":  m.Clock().Sub(began).Milliseconds(),
			"relay":   relayRequested,
			"records": len(request.Records),
			"bytes":   proto.Size(request),
		})
		m.recordFailure(address, err)
		return
	}
	m.applyCrashes(reply, reported)
	if request.WithSpending {
		m.applySpending(reply)
	}
	if m.Relays != nil {
		m.Relays.SetRelays(reply.Relays)
	}
	if address != m.Address {
		full := request.PaceVersion == 0 || request.Leader != reply.Leader
		m.Board.SetLeaderPaces(m.Domain, pacesFromReply(reply), full, reply.PaceVersion, m.Clock())
	}
	m.applyReply(address, request, reply, serverVersion == 0, began)
}

// addPaths adds which servers this instance can't connect to, and whether it needs others
// to send through.
func (m *Member) addPaths(request *coordinationpb.ExchangeRequest) {
	request.BrokenPaths = int32(len(m.Board.BrokenPaths()))
	if m.Relays != nil {
		request.RelaysWanted, request.NotRelaying = m.Relays.Wanted(), !m.Relays.Relaying()
	}
}

// addStoreState adds the store's era, the records that the leader lacks if the request
// is for a relay, and those that the store lost if the leader has others.
func (m *Member) addStoreState(request *coordinationpb.ExchangeRequest) {
	m.mu.Lock()
	leaderOperators, leaderRetained, leaderFetches := m.leaderOperators, m.leaderRetained, m.leaderFetches
	m.mu.Unlock()
	era, age := m.Eras.Current()
	if era > 0 {
		request.StoreEra, request.StoreEraAgeMilliseconds = era, age.Milliseconds()
	}
	request.RetainedDigest = m.Board.RetainedDigest()
	if leaderOperators.Offset == 0 {
		return
	}
	if request.Relay {
		records, through := recordsToTell(m.Board, leaderOperators, leaderFetches)
		request.Records = records
		request.RecordsFromOffset, request.RecordsFromEra = leaderOperators.Offset, leaderOperators.Era
		request.RecordsThroughOffset, request.RecordsThroughEra = through.Offset, through.Era
	}
	if request.RetainedDigest != leaderRetained {
		request.Records = append(request.Records, retainedToTell(m.Board, leaderFetches)...)
	}
}

// standbySpendingExchanges is how many exchanges with a leader that doesn't keep
// the ledger's current report pass for one with spending, so that its report can
// take over.
const standbySpendingExchanges = 3

// spendingIsDue reports whether the next exchange includes spending: always with
// the leader whose report the ledger uses, else now and then.
func (m *Member) spendingIsDue() bool {
	active := m.Ledger.ActiveLeader(m.Clock())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exchanges++
	if active >= 0 && active != m.LeaderIndex && m.exchanges < standbySpendingExchanges {
		return false
	}
	m.exchanges = 0
	return true
}

// applySpending applies the spending of the other instances.
func (m *Member) applySpending(reply *coordinationpb.ExchangeReply) {
	interval := exchangeInterval(int(reply.Instances))
	now := m.Clock()
	if active := m.Ledger.ActiveLeader(now); active >= 0 && active != m.LeaderIndex {
		interval *= standbySpendingExchanges
	}
	m.Ledger.ApplyReport(m.LeaderIndex, quota.LeaderReport{
		Leader:    reply.Leader,
		Others:    spendingFromProto(reply.Spending),
		Instances: int(reply.Instances),
		Known:     int(reply.Known),
		Interval:  interval,
		Grants:    reply.GrantsTokens,
	}, now)
}

// asksForRelay reports whether to request a relay from the leader of another domain.
func (m *Member) asksForRelay() bool {
	if m.Choice == nil {
		return m.StoreStateIsStale()
	}
	return m.Choice.Asks(m.Domain)
}

// recordRelay records whether the leader relayed something recent.
func (m *Member) recordRelay(recent bool) {
	if m.Choice != nil && !m.Relay && !recent {
		m.Choice.Failed(m.Domain)
	}
}

// KeptUpToDate reports whether the relay of this domain's leader, or the store, keeps this
// instance up to date.
func (m *Member) KeptUpToDate() bool {
	return m.OperatorsRelayed() && m.ServersRelayed() || m.Board.OperatorReadAge(m.Clock()) < maxRelayAge
}

// StoreStateIsStale reports whether the last read of the operators' records or the
// server list is older than maxRelayAge.
func (m *Member) StoreStateIsStale() bool {
	now := m.Clock()
	return m.Board.PolicyAge(now) > maxRelayAge || m.Board.ServersAge(now) > maxRelayAge
}

// sendExchange calls the leader, without the network if it is this instance.
func (m *Member) sendExchange(ctx context.Context, address string, request *coordinationpb.ExchangeRequest) (reply *coordinationpb.ExchangeReply, err error) {
	if address == m.Address {
		return m.Local.Exchange(ctx, request)
	}
	return m.client(ctx, address).Exchange(ctx, request)
}

func (m *Member) client(ctx context.Context, address string) coordinationpb.DRPCCoordinationClient {
	return coordinationpb.NewDRPCCoordinationClient(m.Peers.Conn(ctx, address))
}

// recordFailure counts a failed exchange and gives the leader up after
// maxFailedExchanges, or at once if the instance says that it does not lead.
func (m *Member) recordFailure(address string, err error) {
	m.recordRelay(false)
	m.mu.Lock()
	m.failedExchanges++
	if errors.Is(err, context.DeadlineExceeded) {
		m.Board.RecordLeaderTimeout(m.Domain)
	}
	lost := m.address == address && (m.failedExchanges >= maxFailedExchanges || errors.Is(err, errNotLeading))
	m.mu.Unlock()
	if lost {
		m.mu.Lock()
		m.failedAddress, m.failedUntil = address, m.Clock().Add(hintBackoff)
		m.mu.Unlock()
		m.SetLeader("")
	}
}

// applyReply applies the reply of the leader at an address to a request that was sent at a
// time; allServers says that it lists all backend servers. Ages count from that time, as
// instances pass them on: from the arrival, each would take off the time of the reply.
func (m *Member) applyReply(address string, request *coordinationpb.ExchangeRequest, reply *coordinationpb.ExchangeReply, allServers bool, sentAt time.Time) {
	now := m.Clock()
	// relayed says that the reply contains what the leader, on another instance, read from
	// the store.
	relayed := request.Relay && address != m.Address
	operatorAge := time.Duration(reply.OperatorAgeMilliseconds) * time.Millisecond
	serverAge := time.Duration(reply.ServerAgeMilliseconds) * time.Millisecond
	if !relayed {
		operatorAge, serverAge = notRelayedAge, notRelayedAge
	}
	m.mu.Lock()
	full := m.leader != reply.Leader
	m.failedExchanges = 0
	m.leader = reply.Leader
	m.leaderOperators = pomelospring.TopicPosition{
		Era:    reply.OperatorEra,
		Offset: reply.OperatorOffset,
	}
	m.leaderRetained = reply.RetainedDigest
	m.leaderFetches = reply.FetchesRecords
	m.serverVersion = 0
	if relayed && serverAge < maxRelayAge {
		m.serverVersion = reply.ServerVersion
	}
	m.instances = int(reply.Instances)
	m.setDivision(int(reply.Instances), int(reply.Rank), now)
	m.lastReplyAt = now
	m.operatorAge = operatorAge
	m.serverAge = serverAge
	m.mu.Unlock()
	m.askAgain()
	interval := m.interval()
	m.Board.SetResidency(m.Domain, residencyFromProto(reply.Residency), full, reply.ResidencyVersion)
	if m.Board.RecordContact(m.Domain, now) {
		events.Log(m.Logger, events.DomainReached, log.Fields{
			"domain": m.Domain,
			"leader": reply.Leader,
		})
	}
	m.Board.SetReportStaleness(int(reply.Instances), interval)
	m.Board.UpdateFromLeader(m.Domain, serverLoadsFromProto(reply.Uses), now.Add(max(minReportExpiry, reportExpiryIntervals*interval)))
	m.Eras.Reported(reply.StoreEra, time.Duration(reply.StoreEraAgeMilliseconds)*time.Millisecond)
	m.applyRecords(address, request, reply, relayed, sentAt)
	if relayed {
		m.applyRelay(reply, full || allServers, now, sentAt)
	}
	if request.Relay {
		m.recordRelay(operatorAge < maxRelayAge && serverAge < maxRelayAge)
	}
	m.notices().RecordLeaving(leavingFromProto(reply.Leaving), reply.Leader)
	m.notices().RecordLimits(limitsFromProto(reply.Limits, now), reply.Leader)
	m.notices().RecordBrittleness(brittlenessFromProto(reply.Brittle, now), reply.Leader)
	leaders := map[string]string{}
	for _, leader := range reply.Leaders {
		leaders[leader.Domain] = leader.Address
	}
	m.OnReply(int(reply.Instances), leaders)
}

// notices records what backend servers announced to other instances.
func (m *Member) notices() fleet.Notices {
	return fleet.Notices{
		Board:  m.Board,
		Logger: m.Logger,
		Clock:  m.Clock,
	}
}

// applyRecords applies the operators' records of a reply, and how far they are known with
// them if they are relayed.
func (m *Member) applyRecords(address string, request *coordinationpb.ExchangeRequest, reply *coordinationpb.ExchangeReply, relayed bool, sentAt time.Time) {
	var within fleet.RecordRange
	if relayed {
		leaderPosition := pomelospring.TopicPosition{
			Era:    reply.OperatorEra,
			Offset: reply.OperatorOffset,
		}
		within = fleet.RecordRange{
			From: pomelospring.TopicPosition{
				Era:    request.OperatorEra,
				Offset: request.OperatorOffset,
			},
			Through: leaderPosition,
		}
		if reply.FetchesRecords {
			within.Through = pomelospring.TopicPosition{
				Era:    reply.RecordsThroughEra,
				Offset: reply.RecordsThroughOffset,
			}
		}
		if !within.Through.Before(leaderPosition) {
			within.At = sentAt.Add(-time.Duration(reply.OperatorAgeMilliseconds) * time.Millisecond)
		}
	}
	m.Local.addRecords(reply.Records, address, within)
}

// applyRelay applies the list of backend servers of the leader, on another instance, all
// of them if full is set.
func (m *Member) applyRelay(reply *coordinationpb.ExchangeReply, full bool, now, sentAt time.Time) {
	serverAge := time.Duration(reply.ServerAgeMilliseconds) * time.Millisecond
	if serverAge < maxRelayAge {
		defer m.compareLists(reply.ServerDigest, now)
		m.Servers.Relay(serversFromProto(reply.Servers, now), reply.ServersGone, full, pomelospring.TopicPosition{
			Era:    reply.ServerEra,
			Offset: reply.ServerOffset,
		}, sentAt.Add(-serverAge))
	}
}

// serverLoads lists this instance's load on the domain's servers.
func (m *Member) serverLoads() (list []*coordinationpb.ServerUse) {
	for id, load := range m.Board.ServerLoads(m.Domain) {
		list = append(list, &coordinationpb.ServerUse{
			Server:        id,
			Running:       int32(load.Running),
			WaitingTokens: load.WaitingTokens,
			Adapters:      load.Adapters,
		})
	}
	return list
}

// Place sends a placement request to the domain's leader.
func (m *Member) Place(ctx context.Context, request pomelospring.PlacementRequest) (outcome pomelospring.PlacementOutcome, err error) {
	address := m.Known()
	switch address {
	case "":
		return pomelospring.PlacementOutcome{}, errNoLeader
	case m.Address:
		return m.Leader.Place(ctx, request)
	}
	now := m.Clock()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	reply, err := m.client(ctx, address).Place(ctx, &coordinationpb.PlaceRequest{
		LeaderDomain:     m.Domain,
		Request:          request.Request,
		Adapter:          request.Adapter,
		Version:          request.Version,
		Domain:           request.Domain,
		WaitMilliseconds: request.Deadline.Sub(now).Milliseconds(),
		Replica:          request.Replica,
		Optional:         request.Optional,
		AtOnce:           request.AtOnce,
		Avoid:            request.Avoid,
		Missing:          request.Missing,
		Unusable:         request.Unusable,
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

// residencyFromProto converts the changed residency by server.
func residencyFromProto(list []*coordinationpb.ServerResidency) map[string]pomelospring.Residency {
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
