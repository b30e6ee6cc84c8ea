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
	// reportInterval is how often each owned model worker is asked.
	reportInterval = 250 * time.Millisecond
	// handoverTimeout bounds one handover.
	handoverTimeout = time.Second
	// leaseCheckInterval is how often the lease is checked on the clock.
	leaseCheckInterval = 200 * time.Millisecond
)

// OwnershipController decides which model workers this instance owns.
type OwnershipController struct {
	*Common
	// lapsed says that the lease had ended when last looked at.
	lapsed  bool
	polling sync.Map
}

// NewOwnershipController makes the controller.
func NewOwnershipController(common *Common) *OwnershipController {
	return &OwnershipController{
		Common: common,
	}
}

// Run follows domain and configuration until the context ends.
func (o *OwnershipController) Run(ctx context.Context) error {
	for {
		domain := o.Board.Domain.Changed()
		configuration := o.Board.Configuration.Changed()
		o.act(ctx)
		select {
		case <-domain:
		case <-configuration:
		case <-time.After(leaseCheckInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *OwnershipController) act(ctx context.Context) {
	state := o.Board.Domain.Get()
	standing := o.standing(state)
	o.Owner.SetFrozen(standing == frozen)
	wanted := map[string]pomelospring.BackendServer{}
	if standing != none {
		wanted = o.ownedBy(state, o.Board.Self.ID)
	}
	for _, name := range o.Owner.OwnedServers() {
		if _, keep := wanted[name]; !keep {
			o.lose(ctx, state, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		o.gain(ctx, state, wanted[name])
	}
	o.Board.Directory.Retain(o.known)
}

// known says whether the configuration still has a server.
func (o *OwnershipController) known(server string) bool {
	backend, known := o.Board.Configuration.Get().BackendServers[server]
	return known && !backend.Draining
}

// ownedBy are the model workers that the fold gives to an instance.
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

// leaseStanding is what the lease allows.
type leaseStanding int

const (
	// full: the lease holds, or all peers of the domain agree without the log.
	full leaseStanding = iota
	// frozen: serve what is resident and order nothing.
	frozen
	// none: another owner may have taken over.
	none
)

// standing looks at the lease on the clock. Once it has lapsed, because the
// log is out, the instance goes on while no peer knows a newer fencing number;
// it gives orders only while all peers of the domain can be asked.
func (o *OwnershipController) standing(state *failuredomain.State) leaseStanding {
	now := o.Clock()
	lapsed := !now.Before(o.Board.LeaseDeadline())
	if lapsed && !o.lapsed && len(o.Owner.OwnedServers()) > 0 {
		events.Log(o.Logger, events.LeaseLapsed, log.Fields{
			"deadline": o.Board.LeaseDeadline().UTC(),
		})
	}
	o.lapsed = lapsed
	if !lapsed {
		return full
	}
	all := true
	for _, id := range state.ActiveMembers() {
		if id == o.Board.Self.ID {
			continue
		}
		fence, heard := o.Board.PeerFence(id, now)
		if heard && fence > state.Fence {
			return none
		}
		all = all && heard
	}
	if all && len(state.ActiveMembers()) > 1 {
		return full
	}
	return frozen
}

func (o *OwnershipController) gain(ctx context.Context, state *failuredomain.State, backend pomelospring.BackendServer) {
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

// lose gives a server up and tells the new owner what still runs there, once
// no order to the server is under way any more.
func (o *OwnershipController) lose(ctx context.Context, state *failuredomain.State, name string) {
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

// poll asks one owned model worker for load reports until it is lost.
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
		case <-time.After(reportInterval):
		}
	}
}
