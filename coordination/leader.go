// Package coordination keeps one instance at a time in charge of the model
// workers: it takes wishes for adapters, gives orders, and tells every
// instance what the others do. The platform's group service says which
// instance that is.
package coordination

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/lease"
	"github.com/pomelospring/pomelospring/loading"
	"github.com/pomelospring/pomelospring/quota"
)

const (
	// upkeepEvery is the time between looks for orders that no request waits for.
	upkeepEvery = 100 * time.Millisecond
	// instanceTime is how long an instance counts after its last exchange.
	instanceTime = 1500 * time.Millisecond
	// upkeepAtOnce bounds replacements by new versions that are started in one look.
	upkeepAtOnce = 4
	// useIntervals is how many intervals between exchanges an adapter that was
	// used is kept: a request for it may be under way.
	useIntervals = 3
	// retryPlace is when to come back after a wish that was not fulfilled.
	retryPlace = 300 * time.Millisecond
)

// errNotLeading says that another instance must be asked.
var errNotLeading = errors.New("this instance does not lead")

// Leader is the part of an instance that acts while it holds the lease.
type Leader struct {
	// Holder names this machine in orders; it is the same for all its starts.
	Holder string
	// Instance is unique to this start.
	Instance string
	// Domain is the failure domain whose model workers it leads; Domains is
	// how many there are, and Answering how many have a leader that answers.
	Domain           string
	Domains          int
	AnsweringDomains func() int
	Board            *fleet.Board
	Engine           pomelospring.Engine
	Logger           log.Interface
	Clock            pomelospring.Clock
	// Uptime goes on while the process is suspended.
	Uptime func() time.Duration

	mu      sync.Mutex
	lease   lease.Lease
	book    *loading.PlacementTable
	totals  *quota.Totals
	members map[string]*member
	// waiting counts wishes that wait, by adapter.
	waiting   map[string]int
	modelAt   time.Time
	settledAt time.Time
}

// member is an instance that exchanges with the leader.
type member struct {
	name string
	uses map[string]fleet.ServerLoad
	// heardUntil is when the member stops to count.
	heardUntil time.Time
}

// NewLeader makes a leader that does not lead yet. turn is how long no order
// may follow another holder's; parts is how many parts the group has.
func NewLeader(turn time.Duration, parts int) *Leader {
	return &Leader{
		lease: lease.Lease{
			HandoverTime: turn,
			Parts:        parts,
		},
		book:    loading.NewPlacementTable(),
		totals:  quota.NewTotals(),
		members: map[string]*member{},
		waiting: map[string]int{},
	}
}

// Parts is how many parts the group has.
func (l *Leader) Parts() int { return l.lease.Parts }

// Leading reports whether this instance leads.
func (l *Leader) Leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holds(l.Uptime())
}

// joined takes in a renewal.
func (l *Leader) joined(membership pomelospring.Membership, sent time.Duration, resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Uptime()
	before := l.lease.Holds(now)
	l.lease.Renewed(membership, sent, now, resumed)
	if after := l.lease.Holds(now); after != before {
		l.turned(after)
	}
}

// lost gives the lease up.
func (l *Leader) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Holds(l.Uptime()) {
		l.turned(false)
	}
	l.lease.Release()
}

func (l *Leader) turned(leading bool) {
	event := events.LeadershipLost
	if leading {
		event = events.LeadershipTaken
		l.totals = quota.NewTotals()
		l.members = map[string]*member{}
		l.book.Invalidate(l.Clock())
	}
	events.Log(l.Logger, event, log.Fields{
		"domain": l.Domain,
		"fence":  l.lease.Generation(),
	})
}

// mayOrder is checked right before every order: a process that was suspended
// finds its lease run out.
func (l *Leader) mayOrder() (fence int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Generation(), l.lease.MayOrder(l.Uptime())
}

// Run keeps the book current and gives the orders that no request waits for.
func (l *Leader) Run(ctx context.Context) error {
	for {
		l.upkeep(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(upkeepEvery):
		}
	}
}

func (l *Leader) upkeep(ctx context.Context) {
	now := l.Clock()
	l.mu.Lock()
	if !l.lease.Holds(l.Uptime()) {
		l.mu.Unlock()
		return
	}
	l.refresh(now)
	reports := l.book.DueReports(now)
	var orders []loading.Maintenance
	if l.lease.MayOrder(l.Uptime()) {
		orders = l.due(now)
	}
	l.mu.Unlock()
	// The book keeps a worker from being asked or ordered twice at a time, so
	// a slow one holds up nothing else.
	for _, server := range reports {
		go l.report(ctx, server)
	}
	for _, order := range orders {
		go l.keep(ctx, order)
	}
}

// refresh takes over what the board knows. The lock is held.
func (l *Leader) refresh(now time.Time) {
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
	l.book.SetServers(l.servers(), limits, l.Domains)
	l.book.ActiveLeaders = l.AnsweringDomains()
	instances, _ := l.count(now)
	l.book.RecentUseWindow = useIntervals * exchangeInterval(int(instances))
	for adapter, version := range l.Board.DeclaredVersions() {
		l.book.DeclareVersion(adapter, version)
	}
	l.useAll(now)
	l.book.MarkReady(l.settledAt, now)
	l.settledAt = now
}

// servers lists those of the leader's domain.
func (l *Leader) servers() (servers []pomelospring.FleetServer) {
	for _, server := range l.Board.Servers() {
		if server.Domain == l.Domain {
			servers = append(servers, server)
		}
	}
	return servers
}

// useAll sums up what all instances have in progress.
func (l *Leader) useAll(now time.Time) {
	sums := l.sums("", now)
	for _, server := range l.servers() {
		use := sums[server.ID]
		adapters := make(map[string]int, len(use.Adapters))
		for _, adapter := range use.Adapters {
			adapters[adapter]++
		}
		l.book.SetServerLoad(server.ID, use.Running, use.WaitingTokens, adapters, now)
	}
}

// sums adds up the uses of all instances but one.
func (l *Leader) sums(except string, now time.Time) map[string]fleet.ServerLoad {
	sums := map[string]fleet.ServerLoad{}
	for id, m := range l.members {
		if id == except || now.After(m.heardUntil) {
			continue
		}
		for server, use := range m.uses {
			sum := sums[server]
			sum.Running += use.Running
			sum.WaitingTokens += use.WaitingTokens
			sum.Adapters = append(sum.Adapters, use.Adapters...)
			sums[server] = sum
		}
	}
	return sums
}

// due picks the orders to give now: base models one after the other, at this
// domain's part of the weight store's rate. The lock is held.
func (l *Leader) due(now time.Time) (orders []loading.Maintenance) {
	replaced := 0
	for _, order := range l.book.Maintenance(now) {
		if order.Kind == pomelospring.LoadModel {
			if now.Before(l.modelAt) {
				continue
			}
			rate := l.Board.Policy().Services[order.Server.Service].Engine.LoadsPerSecond
			l.modelAt = now.Add(time.Duration(float64(l.Domains) * float64(time.Second) / max(rate, leastModelRate)))
		} else if replaced++; replaced > upkeepAtOnce {
			continue
		}
		orders = append(orders, order)
	}
	return orders
}

// leastModelRate stands in for a missing rate of the weight store, in loads a second.
const leastModelRate = 0.2

func (l *Leader) report(ctx context.Context, server pomelospring.FleetServer) {
	report, err := l.Engine.Report(ctx, server)
	if err != nil {
		events.Log(l.Logger, events.ReportFailed, log.Fields{
			"server": server.ID,
			"error":  err.Error(),
		})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.ApplyReport(server.ID, report, l.Clock())
}

// keep gives an order that no request waits for.
func (l *Leader) keep(ctx context.Context, order loading.Maintenance) {
	l.mu.Lock()
	sequence, ok := l.book.BeginOrder(order.Server.ID)
	l.mu.Unlock()
	if !ok {
		return
	}
	defer l.end(order.Server.ID)
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
		l.book.ApplyModelLoad(order.Server.ID, order.Adapter, result, now)
	case pomelospring.UnloadAdapter:
		l.book.ApplyUnload(order.Server.ID, order.Adapter, result, now)
	case pomelospring.LoadAdapter:
		l.book.ApplyLoad(order.Server.ID, order.Adapter, order.Version, result, now)
	}
}

func (l *Leader) end(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.EndOrder(server)
}

// order sends one order, if the lease still allows it.
func (l *Leader) order(ctx context.Context, order pomelospring.Order, reason string) pomelospring.OrderResult {
	fence, ok := l.mayOrder()
	if !ok {
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
