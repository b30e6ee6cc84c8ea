package controllers

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/peer/peerpb"
)

const (
	// pollInterval is the time between two load reports of a model worker.
	pollInterval = 250 * time.Millisecond
	// handoverTimeout limits the handover call to the new owner.
	handoverTimeout = time.Second
	// leaseCheckInterval is how often the lease deadline is compared with the
	// clock.
	leaseCheckInterval = 200 * time.Millisecond
)

// OwnershipController decides which model workers this instance owns.
type OwnershipController struct {
	*Common
	// lapsed reports that the lease had ended at the last check.
	lapsed bool
	// polling has the names of the servers that a goroutine polls.
	polling sync.Map
}

// NewOwnershipController returns a controller; Run starts it.
func NewOwnershipController(common *Common) *OwnershipController {
	return &OwnershipController{
		Common: common,
	}
}

// Run reconciles on every change of the domain or the configuration, and at each
// lease check, until ctx ends.
func (o *OwnershipController) Run(ctx context.Context) error {
	for {
		domain := o.Board.Domain.Changed()
		configuration := o.Board.Configuration.Changed()
		o.reconcile(ctx)
		select {
		case <-domain:
		case <-configuration:
		case <-time.After(leaseCheckInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile adds and removes model workers so that the owner has those which the
// domain assigns to this instance, as far as the lease allows.
func (o *OwnershipController) reconcile(ctx context.Context) {
	state := o.Board.Domain.Get()
	mode := o.mode(state)
	o.Owner.SetFrozen(mode == leaseFrozen)
	owned := map[string]pomelospring.BackendServer{}
	if mode != leaseLost {
		owned = o.ownedBy(state, o.Board.Self.ID)
	}
	for _, name := range o.Owner.OwnedServers() {
		if _, keep := owned[name]; !keep {
			o.removeServer(ctx, state, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		o.addServer(ctx, state, owned[name])
	}
	o.Board.Directory.Retain(o.configured)
}

// configured reports whether the configuration has a server that isn't draining.
func (o *OwnershipController) configured(server string) bool {
	backend, configured := o.Board.Configuration.Get().BackendServers[server]
	return configured && !backend.Draining
}

// ownedBy returns the domain's model workers that its state assigns to an
// instance.
func (o *OwnershipController) ownedBy(state *failuredomain.State, id string) map[string]pomelospring.BackendServer {
	owned := map[string]pomelospring.BackendServer{}
	for name, backend := range o.Board.Configuration.Get().BackendServers {
		if backend.Kind != pomelospring.ModelWorker || backend.Domain != o.Board.Self.Domain {
			continue
		}
		if state.Owner(name) == id {
			owned[name] = backend
		}
	}
	return owned
}

// leaseMode is what an instance may do with its model workers.
type leaseMode int

const (
	// leaseFull allows requests and orders: the lease holds, or all peers of the
	// domain agree without the log.
	leaseFull leaseMode = iota
	// leaseFrozen allows requests for resident adapters, but no orders.
	leaseFrozen
	// leaseLost allows neither: another instance may have taken over.
	leaseLost
)

// mode checks the lease against the clock. Once it has lapsed, because the log is
// unreachable, the instance goes on serving while no peer reports a newer fencing
// number. It gives orders only while all other active members of the domain, at
// least one, report.
func (o *OwnershipController) mode(state *failuredomain.State) leaseMode {
	now := o.Clock()
	lapsed := !now.Before(o.Board.LeaseDeadline())
	if lapsed && !o.lapsed && len(o.Owner.OwnedServers()) > 0 {
		events.Log(o.Logger, events.LeaseLapsed, log.Fields{
			"deadline": o.Board.LeaseDeadline().UTC(),
		})
	}
	o.lapsed = lapsed
	if !lapsed {
		return leaseFull
	}
	allReport := true
	for _, id := range state.ActiveMembers() {
		if id == o.Board.Self.ID {
			continue
		}
		fence, reported := o.Board.PeerFence(id, now)
		if reported && fence > state.Fence {
			return leaseLost
		}
		allReport = allReport && reported
	}
	if allReport && len(state.ActiveMembers()) > 1 {
		return leaseFull
	}
	return leaseFrozen
}

// addServer takes ownership of a model worker and starts to poll it. The worker
// gets no requests until the former owners' leases have ended and their last
// calls have arrived; a handover shortens that wait.
func (o *OwnershipController) addServer(ctx context.Context, state *failuredomain.State, backend pomelospring.BackendServer) {
	if !slices.Contains(o.Owner.OwnedServers(), backend.Name) {
		events.Log(o.Logger, events.ServerGained, log.Fields{
			"server": backend.Name,
			"fence":  state.Fence,
		})
	}
	membership := o.Settings.Membership
	var useAfter time.Time
	if former := state.FormerLeaseDeadline(backend.Name); !former.IsZero() {
		useAfter = former.Add(membership.ClockBound + membership.FlightTime)
	}
	o.Owner.AddServer(backend, state.Fence, useAfter)
	if _, polled := o.polling.LoadOrStore(backend.Name, true); !polled {
		go o.poll(ctx, backend.Name)
	}
}

// removeServer gives up a model worker and starts the handover to its new owner.
func (o *OwnershipController) removeServer(ctx context.Context, state *failuredomain.State, name string) {
	busy := o.Owner.RemoveServer(name)
	owner, known := state.Members[state.Owner(name)]
	events.Log(o.Logger, events.ServerLost, log.Fields{
		"server": name,
		"owner":  owner.Instance.ID,
		"busy":   len(busy),
	})
	if !known || owner.Instance.ID == o.Board.Self.ID {
		return
	}
	go o.handOver(ctx, owner.Instance, name, state.Fence, busy)
}

// handOver reports to the new owner of a model worker the requests still running
// there, once no order to the worker is in flight.
func (o *OwnershipController) handOver(ctx context.Context, owner pomelospring.Instance, server string, fence int64, busy map[pomelospring.AdapterVersion]int) {
	o.Owner.WaitOrders(ctx, server)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	request := &peerpb.HandoverRequest{
		Server: server,
		Fence:  fence,
		Busy:   map[string]int32{},
		From:   o.Board.Self.ID,
	}
	for adapter, count := range busy {
		request.Busy[adapter.String()] = int32(count)
	}
	if _, err := o.Peers.At(ctx, owner.PeerAddress).Handover(ctx, request); err != nil {
		events.Log(o.Logger, events.HandoverFailed, log.Fields{
			"server": server,
			"owner":  owner.ID,
			"error":  err.Error(),
		})
	}
}

// poll fetches load reports of a model worker while this instance owns it.
func (o *OwnershipController) poll(ctx context.Context, name string) {
	defer o.polling.Delete(name)
	for ctx.Err() == nil {
		backend, known := o.Board.Configuration.Get().BackendServers[name]
		if !known || !slices.Contains(o.Owner.OwnedServers(), name) {
			return
		}
		o.Owner.Poll(ctx, backend)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}
