package coordination

import (
	"context"
	"net"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server answers other instances for the leaders in this process.
type Server struct {
	// Leaders are by failure domain.
	Leaders map[string]*Leader
	// Known gives the leaders' addresses by domain, as far as known here.
	Known func() map[string]string
	// AddRecords takes in operators' records that the caller had first.
	AddRecords func(records []pomelospring.KeyedRecord)
}

var _ coordinationpb.DRPCCoordinationServer = (*Server)(nil)

// Run serves a listener until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	defer pomelospring.Annotate(&err, "serve instances")
	mux := drpcmux.New()
	if err = coordinationpb.DRPCRegisterCoordination(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Place implements the call Place.
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
		AtOnce:   request.AtOnce,
		Avoid:    request.Avoid,
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

// Exchange implements the call Exchange.
func (s *Server) Exchange(_ context.Context, request *coordinationpb.ExchangeRequest) (reply *coordinationpb.ExchangeReply, err error) {
	if len(request.Records) > 0 {
		s.AddRecords(recordsFrom(request.Records))
	}
	leader := s.Leaders[request.Domain]
	if leader == nil {
		return &coordinationpb.ExchangeReply{}, nil
	}
	reply = leader.exchange(request)
	for domain, address := range s.Known() {
		reply.Leaders = append(reply.Leaders, &coordinationpb.DomainLeader{
			Domain:  domain,
			Address: address,
		})
	}
	return reply, nil
}

func (l *Leader) exchange(request *coordinationpb.ExchangeRequest) *coordinationpb.ExchangeReply {
	residencySince, serversSince := request.ResidencyVersion, request.ServerVersion
	if request.Leader != l.Instance {
		residencySince, serversSince = 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Holds(l.Uptime()) {
		return &coordinationpb.ExchangeReply{}
	}
	now := l.Clock()
	l.members[request.Instance] = &member{
		name:       request.Name,
		uses:       usesFrom(request.Uses),
		heardUntil: now.Add(instanceTime),
	}
	l.useAll(now)
	l.totals.Report(request.Instance, spendingFrom(request.Spending))
	l.book.MarkReady(l.settledAt, now)
	l.settledAt = now
	reply := &coordinationpb.ExchangeReply{
		Leading:          true,
		Leader:           l.Instance,
		Uses:             usesTo(l.sums(request.Instance, now)),
		Spending:         spendingTo(l.totals.Others(request.Instance)),
		ResidencyVersion: l.book.Revision,
		Residency:        residencyTo(l.book.Residency(residencySince)),
	}
	reply.Instances, reply.Known = l.count(now)
	if request.Relay {
		l.relay(request.OperatorOffset, serversSince, reply, now)
	}
	return reply
}

// relay adds what this instance read of the store.
func (l *Leader) relay(operatorOffset, serversSince int64, reply *coordinationpb.ExchangeReply, now time.Time) {
	changed, gone, version := l.Board.ServerChanges(serversSince)
	reply.OperatorOffset = l.Board.OperatorOffset()
	reply.Records = recordsTo(l.Board.RecordsFrom(operatorOffset))
	reply.ServerVersion = version
	reply.Servers = serversTo(changed)
	reply.ServersGone = gone
	reply.OperatorAgeMilliseconds = l.Board.PolicyAge(now).Milliseconds()
	reply.ServerAgeMilliseconds = l.Board.ServersAge(now).Milliseconds()
}

// count is how many instances exchanged lately, and how many did within the
// leader's memory; an instance that was started again counts once.
func (l *Leader) count(now time.Time) (instances, known int32) {
	names := map[string]bool{}
	for id, m := range l.members {
		if now.Sub(m.heardUntil) > memberMemory {
			delete(l.members, id)
			continue
		}
		names[m.name] = true
		if now.Before(m.heardUntil) {
			instances++
		}
	}
	return instances, int32(len(names))
}

// memberMemory is how long a silent instance is taken to serve its callers
// still, cut off from the leader; one that ended for good is replaced by then.
const memberMemory = 20 * time.Second

func usesFrom(list []*coordinationpb.ServerUse) map[string]fleet.ServerLoad {
	uses := make(map[string]fleet.ServerLoad, len(list))
	for _, use := range list {
		uses[use.Server] = fleet.ServerLoad{
			Running:       int(use.Running),
			WaitingTokens: use.WaitingTokens,
			Adapters:      use.Adapters,
		}
	}
	return uses
}

// usesTo leaves the adapters out, which only the leader needs.
func usesTo(uses map[string]fleet.ServerLoad) (list []*coordinationpb.ServerUse) {
	for id, use := range uses {
		list = append(list, &coordinationpb.ServerUse{
			Server:        id,
			Running:       int32(use.Running),
			WaitingTokens: use.WaitingTokens,
		})
	}
	return list
}

func spendingFrom(list []*coordinationpb.TeamSpending) map[string]quota.Spending {
	spending := make(map[string]quota.Spending, len(list))
	for _, entry := range list {
		spending[entry.Team] = quota.Spending{
			Spent: entry.Tokens,
			Asked: entry.Asked,
		}
	}
	return spending
}

func spendingTo(spending map[string]quota.Spending) (list []*coordinationpb.TeamSpending) {
	for team, counts := range spending {
		list = append(list, &coordinationpb.TeamSpending{
			Team:   team,
			Tokens: counts.Spent,
			Asked:  counts.Asked,
		})
	}
	return list
}

func serversTo(servers []pomelospring.FleetServer) (list []*coordinationpb.ServerEntry) {
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
		})
	}
	return list
}

func serversFrom(list []*coordinationpb.ServerEntry) (servers []pomelospring.FleetServer) {
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
		})
	}
	return servers
}

func recordsFrom(list []*coordinationpb.OperatorRecord) (records []pomelospring.KeyedRecord) {
	for _, record := range list {
		records = append(records, pomelospring.KeyedRecord{
			Key:    record.Key,
			Value:  record.Value,
			Offset: record.Offset,
		})
	}
	return records
}

func recordsTo(records []pomelospring.KeyedRecord) (list []*coordinationpb.OperatorRecord) {
	for _, record := range records {
		list = append(list, &coordinationpb.OperatorRecord{
			Key:    record.Key,
			Value:  record.Value,
			Offset: record.Offset,
		})
	}
	return list
}

func residencyTo(changes map[string]pomelospring.Residency) (list []*coordinationpb.ServerResidency) {
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
