// Package coordination elects a leader for each failure domain and runs the
// protocol between the leaders and all instances. A leader serves placement
// requests, sends load and unload orders to its domain's model workers, and
// tells each instance the load, spending and residency that the others
// reported. The platform's group service decides which instance leads.
package coordination

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/lease"
	"github.com/pomelospring/pomelospring/loading"
	"github.com/pomelospring/pomelospring/pacing"
	"github.com/pomelospring/pomelospring/quota"
)

const (
	// maintenanceInterval is the time between checks for orders that no request
	// waits for.
	maintenanceInterval = 100 * time.Millisecond
	// instanceTimeout is how long an instance counts as live after its last
	// exchange.
	instanceTimeout = 1500 * time.Millisecond
	// maxReplacementsPerCheck limits how many loads of newly declared adapter
	// versions one maintenance check starts.
	maxReplacementsPerCheck = 4
	// recentUseIntervals is how many exchange intervals an adapter counts as in
	// use after its last reported use: a request for it may be in flight.
	recentUseIntervals = 3
	// placementRetryDelay is the time after which a failed placement request may
	// be retried.
	placementRetryDelay = 300 * time.Millisecond
)

// errNotLeading is returned by an instance that does not lead the domain asked
// for.
var errNotLeading = errors.New("this instance does not lead")

// Leader places adapters on one failure domain's model workers while this
// instance holds the domain's lease.
type Leader struct {
	// Holder names this instance in orders; it stays the same across restarts.
	Holder string
	// Instance is unique to one start of this instance.
	Instance string
	// Domain is the failure domain whose model workers are led. Domains is the
	// number of domains, and AnsweringDomains counts those whose leader answers.
	Domain           string
	Domains          int
	AnsweringDomains func() int
	Board            *fleet.Board
	Servers          *fleet.ServerList
	Engine           pomelospring.Engine
	// LivesElsewhere reports whether another instance reaches a model worker to which this
	// one can't connect; it may be nil.
	LivesElsewhere func(ctx context.Context, server pomelospring.FleetServer) bool
	Logger         log.Interface
	Clock          pomelospring.Clock
	// Uptime is a clock that keeps running while the process is suspended.
	Uptime func() time.Duration
	Eras   *StoreEras
	// Ledger is this instance's, in which the leader's sums have LedgerIndex; it may be
	// nil.
	Ledger      *quota.Ledger
	LedgerIndex int

	mu    sync.Mutex
	lease lease.Lease
	// terms counts the times that this instance took the lead.
	terms int
	// membershipEra is the store's era at the last renewal.
	membershipEra int64

	table  *loading.PlacementTable
	totals *quota.Totals
	loads  *fleet.LoadTotals
	// slots has the number of slots of the domain's servers.
	slots   map[string]int
	members map[string]*member
	// live and known are the members counted last, at countedAt.
	live, known int32
	countedAt   time.Time
	// waiting counts the placement requests that wait, by adapter.
	waiting map[string]int
	// pacing gives out when the domain's servers that name a limit get calls.
	pacing pacing.Schedule
	// coldPacing does so for servers that are cold, from coldFrom on.
	coldPacing pacing.Schedule
	coldFrom   time.Time
	// ranks has the rank of each live member, counted at countedAt.
	ranks map[string]int
	// permits gives out the permits of the domain's brittle servers.
	permits permitDesk
	// rooms has the calls that may be under way at these servers, as logged last.
	rooms map[string]int
	// loggedPaces has the paces of the domain's servers that were logged last.
	loggedPaces map[string]loggedPace
	// nextModelLoadAt is when the next base model load may start.
	nextModelLoadAt time.Time
	// readyMarkedAt is the time up to which loaded adapters were marked ready.
	readyMarkedAt time.Time
}

// member is the leader's record of an instance that exchanges with it.
type member struct {
	// name is the same for all starts of the instance.
	name string
	// expiresAt is when the member's report expires.
	expiresAt time.Time
	// brokenPaths is the number of servers that it can't connect to.
	brokenPaths int
	// notRelaying says that it sends no calls for others.
	notRelaying bool
}

// NewLeader returns a Leader that does not hold the lease yet. handoverTime is the
// minimum time between the orders of two holders; groupParts is the group's
// number of partitions.
func NewLeader(handoverTime time.Duration, groupParts int) *Leader {
	return &Leader{
		lease: lease.Lease{
			HandoverTime: handoverTime,
			Parts:        groupParts,
		},
		table:   loading.NewPlacementTable(),
		totals:  quota.NewTotals(),
		loads:   fleet.NewLoadTotals(),
		members: map[string]*member{},
		waiting: map[string]int{},

		loggedPaces: map[string]loggedPace{},
	}
}

// notices records what backend servers announced to other instances.
func (l *Leader) notices() fleet.Notices {
	return fleet.Notices{
		Board:  l.Board,
		Logger: l.Logger,
		Clock:  l.Clock,
	}
}

// Parts returns the group's number of partitions.
func (l *Leader) Parts() int { return l.lease.Parts }

// Leading reports whether this instance leads the domain.
func (l *Leader) Leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holds(l.Uptime())
}

// joined applies a response of the group service to a join or renewal that
// was sent at a time on the uptime clock.
func (l *Leader) joined(membership pomelospring.Membership, sent time.Duration, resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Uptime()
	before := l.lease.Holds(now)
	l.Eras.Answered(membership.Era)
	l.membershipEra = membership.Era
	_, eraOrdersFrom := l.Eras.ordersFrom(l.lease.HandoverTime)
	l.lease.Renewed(membership, sent, now, resumed, eraOrdersFrom)
	if after := l.lease.Holds(now); after != before {
		l.leadershipChanged(after)
	}
}

// release gives the lease up.
func (l *Leader) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Holds(l.Uptime()) {
		l.leadershipChanged(false)
	}
	l.lease.Release()
}

// leadershipChanged logs that the leadership was taken or lost. A new leader
// discards what it knew from an earlier term. The lock is held.
func (l *Leader) leadershipChanged(leading bool) {
	event := events.LeadershipLost
	if leading {
		event = events.LeadershipTaken
		l.terms++
		l.totals = quota.NewTotals()
		l.loads = fleet.NewLoadTotals()
		l.members = map[string]*member{}
		l.countedAt = time.Time{}
		l.pacing = pacing.Schedule{
			KeepsCredit: true,
		}
		l.coldPacing = pacing.Schedule{
			KeepsCredit: true,
			CreditCalls: coldCreditCalls,
		}
		l.coldFrom = l.Clock().Add(coldHorizon)
		l.permits.reset()
		l.table.Invalidate(l.Clock())
	}
	events.Log(l.Logger, event, log.Fields{
		"domain": l.Domain,
		"fence":  l.lease.Generation(),
	})
}

// term names this instance's current term in replies. What a term reports of spending
// starts at zero. The lock is held.
func (l *Leader) term() string { return l.Instance + "/" + strconv.Itoa(l.terms) }

// ordersAllowed reports whether the lease allows an order now. The lock is held.
func (l *Leader) ordersAllowed() bool {
	l.lease.ShortenEraWait(l.Eras.ordersFrom(l.lease.HandoverTime))
	return l.lease.MayOrder(l.Uptime())
}

// eraToMark returns the membership's generation once all leases of earlier eras have
// ended; ok is false before, and in the store's first era.
func (l *Leader) eraToMark() (generation int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	era, from := l.Eras.ordersFrom(l.lease.HandoverTime)
	return l.lease.Generation(), era > 0 && era == l.membershipEra && l.Uptime() >= from && l.lease.Holds(l.Uptime())
}

// mayOrder returns the fencing number and whether an order may be sent now. It is
// checked right before every order, because the lease may have expired while the
// process was suspended.
func (l *Leader) mayOrder() (fence int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Generation(), l.ordersAllowed()
}

// Run keeps the placement table up to date and sends the orders that no request
// waits for, until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	for {
		l.maintain(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(maintenanceInterval):
		}
	}
}

// maintain runs one maintenance check: it fetches due reports from workers and
// sends due orders.
func (l *Leader) maintain(ctx context.Context) {
	now := l.Clock()
	l.mu.Lock()
	if !l.lease.Holds(l.Uptime()) {
		l.mu.Unlock()
		return
	}
	l.updateTable(now)
	reports := l.table.DueReports(now)
	var orders []loading.Maintenance
	if l.ordersAllowed() {
		orders = l.dueOrders(now)
	}
	sequences := make([]int64, len(orders))
	begun := make([]bool, len(orders))
	for i, order := range orders {
		sequences[i], begun[i] = l.table.BeginOrder(order.Server.ID)
	}
	l.mu.Unlock()
	l.maintainPermits()
	// The placement table allows one report request and one order per worker at
	// a time, so a slow worker delays no other.
	for _, server := range reports {
		go l.report(ctx, server)
	}
	for i, order := range orders {
		if begun[i] {
			go l.executeMaintenance(ctx, order, sequences[i])
		}
	}
}

// updateTable copies the board's current state into the placement table. The lock
// is held.
func (l *Leader) updateTable(now time.Time) {
	policy := l.Board.Policy()
	if policy == nil {
		return
	}
	limits := map[string]pomelospring.EngineLimits{}
	for name, service := range policy.Services {
		if service.Engine != nil {
			limits[name] = *service.Engine
		}
	}
	servers := l.domainServers()
	l.slots = make(map[string]int, len(servers))
	for i := range servers {
		l.slots[servers[i].ID] = servers[i].Slots
	}
	l.table.SetServers(servers, limits, l.Domains)
	l.table.Evacuated = l.Board.Evacuated(l.Domain)
	l.table.Pauses = l.Board.Pauses(now)
	l.table.ActiveLeaders = l.AnsweringDomains()
	l.table.Speeds = l.Board.Speeds("")
	l.updatePaces(now)
	instances, _ := l.countInstances(now)
	l.table.RecentUseWindow = recentUseIntervals * exchangeInterval(int(instances))
	for adapter, version := range l.Board.DeclaredVersions() {
		l.table.DeclareVersion(adapter, version)
	}
	l.updateServerLoads(now)
	l.table.MarkReady(l.readyMarkedAt, now)
	l.readyMarkedAt = now
}

// domainServers lists the backend servers of the leader's domain.
func (l *Leader) domainServers() (domainServers []pomelospring.FleetServer) {
	for _, server := range l.Board.Servers() {
		if server.Domain == l.Domain {
			domainServers = append(domainServers, server)
		}
	}
	return domainServers
}

// updateServerLoads sets the load of all the domain's servers in the placement
// table to the sum over all instances. The lock is held.
func (l *Leader) updateServerLoads(now time.Time) {
	l.loads.Expire(now)
	for _, server := range l.domainServers() {
		l.updateServerLoad(server.ID, now)
	}
}

// updateServerLoad is updateServerLoads for one server.
func (l *Leader) updateServerLoad(server string, now time.Time) {
	if load := l.loads.Total(server); load != nil {
		l.table.SetServerLoad(server, load.Running, load.WaitingTokens, load.Adapters, now)
		return
	}
	l.table.SetServerLoad(server, 0, 0, nil, now)
}

// dueOrders returns the maintenance orders to send now. Base model loads start one
// after the other, at this domain's share of the weight store's rate. The lock
// is held.
func (l *Leader) dueOrders(now time.Time) (orders []loading.Maintenance) {
	replaced := 0
	for _, order := range l.table.Maintenance(now) {
		if order.Kind == pomelospring.LoadModel {
			if now.Before(l.nextModelLoadAt) {
				continue
			}
			rate := l.Board.Policy().Services[order.Server.Service].Engine.LoadsPerSecond
			l.nextModelLoadAt = now.Add(time.Duration(float64(l.Domains) * float64(time.Second) / max(rate, minModelLoadsPerSecond)))
		} else if replaced++; replaced > maxReplacementsPerCheck {
			continue
		}
		orders = append(orders, order)
	}
	return orders
}

// minModelLoadsPerSecond is the lower limit of the weight store's rate, and its
// default where none is configured.
const minModelLoadsPerSecond = 0.2

// report asks a worker for its report and applies it to the placement table.
func (l *Leader) report(ctx context.Context, server pomelospring.FleetServer) {
	report, err := l.Engine.Report(ctx, server)
	if err != nil {
		events.Log(l.Logger, events.ReportFailed, log.Fields{
			"server": server.ID,
			"error":  err.Error(),
		})
		if l.isCutOffFrom(ctx, server) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if errors.Is(err, pomelospring.ErrSilent) {
			l.table.RecordSilence(server.ID, l.Clock())
			return
		}
		l.table.RecordUnreachable(server.ID, l.Clock())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.ApplyReport(server.ID, report, l.Clock())
}

// isCutOffFrom reports whether a worker that this instance can't connect to is reached by
// another one, which sends calls there.
func (l *Leader) isCutOffFrom(ctx context.Context, server pomelospring.FleetServer) bool {
	return l.LivesElsewhere != nil && !l.Board.PathBrokenSince(server.ID).IsZero() && l.LivesElsewhere(ctx, server)
}

// executeMaintenance sends an order that no request waits for, which has begun at a
// sequence, and applies its result.
func (l *Leader) executeMaintenance(ctx context.Context, order loading.Maintenance, sequence int64) {
	defer l.endOrder(order.Server.ID)
	result := l.order(ctx, pomelospring.Order{
		Kind:     order.Kind,
		Server:   order.Server,
		Adapter:  order.Adapter,
		Version:  order.Version,
		Sequence: sequence,
	}, order.Reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	switch order.Kind {
	case pomelospring.LoadModel:
		l.table.ApplyModelLoad(order.Server.ID, order.Adapter, result, now)
	case pomelospring.UnloadAdapter:
		l.table.ApplyUnload(order.Server.ID, order.Adapter, result, now)
	case pomelospring.LoadAdapter:
		l.table.ApplyLoad(order.Server.ID, order.Adapter, order.Version, result, now)
	}
}

// endOrder allows the next order to a server.
func (l *Leader) endOrder(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.EndOrder(server)
}

// order sends one order if the lease still allows it and the failure domain is not
// evacuated, and logs the result.
func (l *Leader) order(ctx context.Context, order pomelospring.Order, reason string) pomelospring.OrderResult {
	fence, ok := l.mayOrder()
	if !ok || l.Board.Evacuated(l.Domain) {
		return pomelospring.OrderRefused
	}
	order.Holder = l.Holder
	order.Fence = fence
	result, err := l.Engine.Do(ctx, order)
	fields := log.Fields{
		"server":   order.Server.ID,
		"order":    order.Kind,
		"adapter":  order.Adapter,
		"version":  order.Version,
		"sequence": order.Sequence,
		"fence":    fence,
		"result":   result,
		"reason":   reason,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	events.Log(l.Logger, events.OrderGiven, fields)
	return result
}
