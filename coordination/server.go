package coordination

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quarantine"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the coordination calls of other instances for the leaders in this
// process.
type Server struct {
	// Leaders has this process's leader for each failure domain.
	Leaders map[string]*Leader
	// Known returns the addresses of the known leaders by domain.
	Known func() map[string]string
	// AddRecords applies operators' records that another instance told, and the range
	// of which they are all.
	AddRecords func(records []pomelospring.KeyedRecord, within fleet.RecordRange)
	// Fetcher fetches long records that other instances name; without it, exchanges carry
	// them whole.
	Fetcher *RecordFetcher
	// Quarantine has the crashes that this instance and others have seen.
	Quarantine *quarantine.Register
	Eras       *StoreEras
	// Starts keeps the starts of streams that other instances tell of.
	Starts pomelospring.StreamStartKeeper
	// Relay sends calls to backend servers for other instances.
	Relay coordinationpb.DRPCRelayServer
}

var _ coordinationpb.DRPCCoordinationServer = (*Server)(nil)

// Run serves calls on a listener until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	defer pomelospring.Annotate(&err, "serve instances")
	mux := drpcmux.New()
	if err = coordinationpb.DRPCRegisterCoordination(mux, s); err != nil {
		return err
	}
	if s.Relay != nil {
		if err = coordinationpb.DRPCRegisterRelay(mux, s.Relay); err != nil {
			return err
		}
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Place implements the RPC Place.
func (s *Server) Place(ctx context.Context, request *coordinationpb.PlaceRequest) (reply *coordinationpb.PlaceReply, err error) {
	leader := s.Leaders[request.LeaderDomain]
	if leader == nil {
		return nil, errNotLeading
	}
	now := leader.Clock()
	outcome, err := leader.Place(ctx, pomelospring.PlacementRequest{
		Request:  request.Request,
		Adapter:  request.Adapter,
		Version:  request.Version,
		Domain:   request.Domain,
		Deadline: now.Add(time.Duration(request.WaitMilliseconds) * time.Millisecond),
		Replica:  request.Replica,
		Optional: request.Optional,
		AtOnce:   request.AtOnce,
		Avoid:    request.Avoid,
		Missing:  request.Missing,
		Unusable: request.Unusable,
	})
	if err != nil {
		return nil, err
	}
	reply = &coordinationpb.PlaceReply{
		Server:  outcome.Server,
		Reason:  outcome.Reason,
		Version: outcome.Version,
	}
	if !outcome.RetryAt.IsZero() {
		reply.RetryMilliseconds = outcome.RetryAt.Sub(leader.Clock()).Milliseconds()
	}
	return reply, nil
}

// Exchange implements the RPC Exchange.
func (s *Server) Exchange(_ context.Context, request *coordinationpb.ExchangeRequest) (reply *coordinationpb.ExchangeReply, err error) {
	s.Eras.Reported(request.StoreEra, time.Duration(request.StoreEraAgeMilliseconds)*time.Millisecond)
	if len(request.Records) > 0 {
		s.addRecords(request.Records, request.Name, fleet.RecordRange{
			From: pomelospring.TopicPosition{
				Era:    request.RecordsFromEra,
				Offset: request.RecordsFromOffset,
			},
			Through: pomelospring.TopicPosition{
				Era:    request.RecordsThroughEra,
				Offset: request.RecordsThroughOffset,
			},
		})
	}
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return &coordinationpb.ExchangeReply{}, nil
	}
	request.FetchesRecords = request.FetchesRecords && s.Fetcher != nil
	reply = leader.serveExchange(request)
	reply.FetchesRecords = s.Fetcher != nil
	if reply.Leading {
		s.exchangeCrashes(leader, request, reply)
	}
	if !request.Relay {
		return reply, nil
	}
	for domain, address := range s.Known() {
		reply.Leaders = append(reply.Leaders, &coordinationpb.DomainLeader{
			Domain:  domain,
			Address: address,
		})
	}
	return reply, nil
}

// fetchStalled reports whether a named record doesn't arrive from other instances.
func (s *Server) fetchStalled() bool {
	return s != nil && s.Fetcher != nil && s.Fetcher.Stalled()
}

// FetchRecord implements the RPC FetchRecord.
func (s *Server) FetchRecord(_ context.Context, request *coordinationpb.FetchRecordRequest) (reply *coordinationpb.FetchRecordReply, err error) {
	if s.Fetcher == nil {
		return &coordinationpb.FetchRecordReply{}, nil
	}
	return s.Fetcher.Blocks.serve(request), nil
}

// addRecords applies the records that another instance told, and has those fetched that it
// only named.
func (s *Server) addRecords(list []*coordinationpb.OperatorRecord, source string, within fleet.RecordRange) {
	whole := make([]*coordinationpb.OperatorRecord, 0, len(list))
	for _, record := range list {
		if record.OmittedBytes == 0 {
			whole = append(whole, record)
			continue
		}
		awaited := fleet.AwaitedRecord{
			Key: record.Key,
			Position: pomelospring.TopicPosition{
				Era:    record.Era,
				Offset: record.Offset,
			},
			Revision: record.Revision,
		}
		within.Awaited = append(within.Awaited, awaited)
		s.Fetcher.Want(awaited, source)
	}
	s.AddRecords(recordsFromProto(whole), within)
}

// maxListedBytes bounds the operators' records in one exchange; the next one goes on.
const maxListedBytes = 64 << 10

// recordsToTell lists the operators' records on a board at or after a position, and the
// position up to which they are complete, for an instance that fetches long values or not.
func recordsToTell(board *fleet.Board, from pomelospring.TopicPosition, fetches bool) (list []*coordinationpb.OperatorRecord, through pomelospring.TopicPosition) {
	if !fetches {
		records, through := board.RecordsFrom(from)
		return recordsToProto(records), through
	}
	records, through := board.FirstRecordsFrom(from, maxListedBytes, maxInlineBytes)
	return recordsToFetch(records), through
}

// recordsToFetch leaves out the long values, which are fetched instead.
func recordsToFetch(records []pomelospring.KeyedRecord) []*coordinationpb.OperatorRecord {
	list := recordsToProto(records)
	for i, record := range list {
		if len(record.Value) > maxInlineBytes {
			record.OmittedBytes, record.Value = int64(len(record.Value)), nil
			record.Revision = records[i].Revision
		}
	}
	return list
}

// serveExchange records an instance's report and replies with what the other
// instances reported and what changed since the instance's versions.
func (l *Leader) serveExchange(request *coordinationpb.ExchangeRequest) *coordinationpb.ExchangeReply {
	residencySince, serversSince := request.ResidencyVersion, request.ServerVersion
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.Leader != l.term() {
		residencySince, serversSince = 0, 0
	}
	if !l.lease.Holds(l.Uptime()) {
		return &coordinationpb.ExchangeReply{}
	}
	now := l.Clock()
	if l.members[request.Instance] == nil {
		l.countedAt = time.Time{}
	}
	l.members[request.Instance] = &member{
		name:      request.Name,
		expiresAt: now.Add(instanceTimeout),

		brokenPaths: int(request.BrokenPaths),
		notRelaying: request.NotRelaying,
	}
	loads := serverLoadsFromProto(request.Uses)
	l.loads.Report(request.Instance, loads, now.Add(instanceTimeout))
	for server := range loads {
		l.updateServerLoad(server, now)
	}
	if request.WithSpending {
		l.totals.Report(request.Instance, spendingFromProto(request.Spending))
	}
	l.notices().RecordLeaving(leavingFromProto(request.Leaving), request.Name)
	l.notices().RecordLimits(limitsFromProto(request.Limits, now), request.Name)
	l.notices().RecordBrittleness(brittlenessFromProto(request.Brittle, now), request.Name)
	l.Board.MergePaces(pacesFromProto(request.Paces, now), now)
	l.permits.setUnpermitted(request.Instance, unpermittedFromProto(request.Uses))
	l.table.MarkReady(l.readyMarkedAt, now)
	l.readyMarkedAt = now
	reply := &coordinationpb.ExchangeReply{
		Leading:          true,
		Leader:           l.term(),
		Uses:             serverLoadsToProto(l.noticeableLoads(request.Instance)),
		ResidencyVersion: l.table.Revision,
		Residency:        residencyToProto(l.table.Residency(residencySince)),
		Leaving:          leavingToProto(l.Board.LeavingServers(l.Domain)),
		Limits:           limitsToProto(l.Board.Limits(l.Domain), now),
		Brittle:          brittlenessToProto(l.Board.Brittlenesses(l.Domain), now),
	}
	if request.WithSpending {
		reply.Spending = spendingToProto(l.totals.Others(request.Instance))
		reply.GrantsTokens = l.Ledger != nil
	}
	pacesSince := request.PaceVersion
	if request.Leader != l.term() {
		pacesSince = 0
	}
	reply.Paces, reply.PaceVersion = l.changedPaces(pacesSince)
	reply.Instances, reply.Known = l.countInstances(now)
	reply.Rank = int32(l.rank(request.Instance, now))
	if !request.Relay {
		position := l.Board.OperatorPosition()
		reply.OperatorOffset, reply.OperatorEra = position.Offset, position.Era
	} else {
		l.addRelay(pomelospring.TopicPosition{
			Era:    request.OperatorEra,
			Offset: request.OperatorOffset,
		}, request.FetchesRecords, serversSince, reply, now)
	}
	if request.RelaysWanted {
		reply.Relays = l.relays(request.Name, now)
	}
	l.addStoreState(request, reply)
	return reply
}

// maxRelaysListed is the number of instances that an instance which can't connect to
// servers is told to send through.
const maxRelaysListed = 4

// relays returns random live instances for another one to send through, those with the
// fewest broken paths. The lock is held.
func (l *Leader) relays(name string, now time.Time) (addresses []string) {
	var sound []*member
	for _, m := range l.members {
		if m.name != name && !m.notRelaying && now.Before(m.expiresAt) {
			sound = append(sound, m)
		}
	}
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	slices.SortStableFunc(sound, func(x, y *member) int { return x.brokenPaths - y.brokenPaths })
	for _, m := range sound[:min(len(sound), maxRelaysListed)] {
		addresses = append(addresses, m.name)
	}
	return addresses
}

// noticeableFraction is the fraction of a server's slots from which the calls of
// the other instances are worth telling, where no prompt waits.
const noticeableFraction = 0.25

// noticeableLoads lists the other instances' load on servers where it changes the
// choice of a server. The lock is held.
func (l *Leader) noticeableLoads(instance string) map[string]fleet.ServerLoad {
	loads := l.loads.Others(instance)
	maps.DeleteFunc(loads, func(server string, load fleet.ServerLoad) bool {
		return load.WaitingTokens == 0 && float64(load.Running) < noticeableFraction*float64(l.slots[server])
	})
	return loads
}

// addStoreState adds the store's era, how far the operators' records are known here,
// and those that the store lost if the calling instance has others.
func (l *Leader) addStoreState(request *coordinationpb.ExchangeRequest, reply *coordinationpb.ExchangeReply) {
	era, age := l.Eras.Current()
	if era > 0 {
		reply.StoreEra, reply.StoreEraAgeMilliseconds = era, age.Milliseconds()
	}
	reply.RetainedDigest = l.Board.RetainedDigest()
	if request.RetainedDigest != reply.RetainedDigest {
		reply.Records = append(reply.Records, retainedToTell(l.Board, request.FetchesRecords)...)
	}
}

// retainedToTell lists the records that the store lost, for an instance that fetches long
// values or not.
func retainedToTell(board *fleet.Board, fetches bool) []*coordinationpb.OperatorRecord {
	if fetches {
		return recordsToFetch(board.RetainedRecords())
	}
	return recordsToProto(board.RetainedRecords())
}

// addRelay adds to a reply the operators' records and the server list that this
// instance read from the store, for an instance that fetches long values or not. The lock
// is held.
func (l *Leader) addRelay(operators pomelospring.TopicPosition, fetches bool, serversSince int64, reply *coordinationpb.ExchangeReply, now time.Time) {
	changed, removed, version, readTo := l.Servers.Changes(serversSince)
	position := l.Board.OperatorPosition()
	records, through := recordsToTell(l.Board, operators, fetches)
	reply.Records = records
	reply.OperatorOffset, reply.OperatorEra = position.Offset, position.Era
	reply.RecordsThroughOffset, reply.RecordsThroughEra = through.Offset, through.Era
	reply.ServerVersion = version
	reply.ServerOffset, reply.ServerEra = readTo.Offset, readTo.Era
	reply.Servers = serversToProto(changed, now)
	reply.ServersGone = removed
	reply.ServerDigest = l.Board.ServerDigest()
	reply.OperatorAgeMilliseconds = l.Board.PolicyAge(now).Milliseconds()
	reply.ServerAgeMilliseconds = l.Board.ServersAge(now).Milliseconds()
}

// countInstances returns the number of live instances, and that of known ones,
// which exchanged within memberRetention of their expiry. A restarted instance
// counts once among the known. Older members are deleted. The count is renewed
// once per maintenance check and when an instance joins, as each exchange needs
// it. The lock is held.
func (l *Leader) countInstances(now time.Time) (instances, known int32) {
	if now.Sub(l.countedAt) < maintenanceInterval {
		return l.live, l.known
	}
	names := map[string]bool{}
	var live []string
	for id, m := range l.members {
		if now.Sub(m.expiresAt) > memberRetention {
			delete(l.members, id)
			continue
		}
		names[m.name] = true
		if now.Before(m.expiresAt) {
			live = append(live, id)
		}
	}
	instances = int32(len(live))
	slices.SortFunc(live, func(x, y string) int {
		return cmp.Or(cmp.Compare(l.members[x].name, l.members[y].name), cmp.Compare(x, y))
	})
	l.ranks = make(map[string]int, len(live))
	for i, id := range live {
		l.ranks[id] = i + 1
	}
	l.live, l.known, l.countedAt = instances, int32(len(names)), now
	return l.live, l.known
}

// memberRetention is how long an instance whose report expired is assumed to be
// cut off from the leader and still serving callers. An instance that ended for
// good is replaced within this time.
const memberRetention = 20 * time.Second

func serverLoadsFromProto(list []*coordinationpb.ServerUse) map[string]fleet.ServerLoad {
	loads := make(map[string]fleet.ServerLoad, len(list))
	for _, load := range list {
		loads[load.Server] = fleet.ServerLoad{
			Running:       int(load.Running),
			WaitingTokens: load.WaitingTokens,
			Adapters:      load.Adapters,
		}
	}
	return loads
}

// serverLoadsToProto omits the adapters, which only the leader needs.
func serverLoadsToProto(loads map[string]fleet.ServerLoad) (list []*coordinationpb.ServerUse) {
	for id, load := range loads {
		list = append(list, &coordinationpb.ServerUse{
			Server:        id,
			Running:       int32(load.Running),
			WaitingTokens: load.WaitingTokens,
		})
	}
	return list
}

func serversToProto(servers []pomelospring.FleetServer, now time.Time) (list []*coordinationpb.ServerEntry) {
	for _, server := range servers {
		list = append(list, &coordinationpb.ServerEntry{
			Id:       server.ID,
			Service:  server.Service,
			Address:  server.Address,
			Domain:   server.Domain,
			Slots:    int32(server.Slots),
			Started:  server.Started.UnixMilli(),
			Draining: server.Draining,
			Models:   server.Models,
			Awaited:  server.Awaited,
			Software: server.Software,

			ColdMilliseconds: coldToProto(server, now),
		})
	}
	return list
}

func serversFromProto(list []*coordinationpb.ServerEntry, now time.Time) (servers []pomelospring.FleetServer) {
	for _, entry := range list {
		servers = append(servers, pomelospring.FleetServer{
			ID:       entry.Id,
			Service:  entry.Service,
			Address:  entry.Address,
			Domain:   entry.Domain,
			Slots:    int(entry.Slots),
			Started:  time.UnixMilli(entry.Started),
			Draining: entry.Draining,
			Models:   entry.Models,
			Awaited:  entry.Awaited,
			Software: entry.Software,

			ColdUntil: coldFromProto(entry, now),
		})
	}
	return servers
}

func leavingToProto(servers []fleet.LeavingServer) (list []*coordinationpb.LeavingServer) {
	for _, server := range servers {
		list = append(list, &coordinationpb.LeavingServer{
			Id:      server.ID,
			Started: server.Started.UnixMilli(),
		})
	}
	return list
}

func leavingFromProto(list []*coordinationpb.LeavingServer) (servers []fleet.LeavingServer) {
	for _, server := range list {
		servers = append(servers, fleet.LeavingServer{
			ID:      server.Id,
			Started: time.UnixMilli(server.Started),
		})
	}
	return servers
}

func recordsFromProto(list []*coordinationpb.OperatorRecord) (records []pomelospring.KeyedRecord) {
	for _, record := range list {
		records = append(records, pomelospring.KeyedRecord{
			Key:    record.Key,
			Value:  record.Value,
			Era:    record.Era,
			Offset: record.Offset,
		})
	}
	return records
}

func recordsToProto(records []pomelospring.KeyedRecord) (list []*coordinationpb.OperatorRecord) {
	for _, record := range records {
		list = append(list, &coordinationpb.OperatorRecord{
			Key:    record.Key,
			Value:  record.Value,
			Era:    record.Era,
			Offset: record.Offset,
		})
	}
	return list
}

func residencyToProto(changes map[string]pomelospring.Residency) (list []*coordinationpb.ServerResidency) {
	for id, change := range changes {
		entry := &coordinationpb.ServerResidency{
			Server: id,
			Gone:   change.Gone,
			Whole:  change.Whole,
		}
		for _, adapter := range change.Ready {
			entry.Adapters = append(entry.Adapters, &coordinationpb.ResidentAdapter{
				Adapter: adapter.Adapter,
				Version: adapter.Version,
			})
		}
		list = append(list, entry)
	}
	return list
}
