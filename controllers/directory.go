package controllers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/routing"
)

const (
	// exchangeInterval is the time between two exchanges with one peer.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
	// unreachablePause is how long a peer that did not answer gets no requests,
	// and how long a fencing number reported by a peer is valid.
	unreachablePause = 2 * time.Second
	// fullMeshLimit is the number of known peers up to which an instance
	// exchanges with all of them.
	fullMeshLimit = 16
	// publishInterval is the minimum time between two publications.
	publishInterval = 50 * time.Millisecond
	// loadSteps is the number of steps between an idle server and one at its
	// limit; a smaller change of load is not published.
	loadSteps = 4
	// loadPublishLimit is the number of servers up to which a change of load is
	// published by itself. In a larger fleet load goes out only with answers and
	// with changes of placement.
	loadPublishLimit = 256
)

// DirectoryController publishes which adapters are resident on the model workers
// that this instance owns, and fetches the same from peers.
type DirectoryController struct {
	*Common
	wake chan struct{}
	mu   sync.Mutex
	// lastReply maps a peer's ID to the position of its last reply, from which
	// the next exchange continues.
	lastReply map[string]replyPosition
	// inFlight has the IDs of the peers with an exchange in flight.
	inFlight map[string]bool
	// published maps a server to the digest of its last published entry.
	published map[string]string
	// version is that of the last published entry.
	version int64
}

// replyPosition is where a peer's directory stood at its last reply.
type replyPosition struct {
	epoch    string
	sequence int64
}

// NewDirectoryController returns a controller; Run starts it. It sets the
// owner's OnPlacementChange.
func NewDirectoryController(common *Common) *DirectoryController {
	d := &DirectoryController{
		Common:    common,
		wake:      make(chan struct{}, 1),
		lastReply: map[string]replyPosition{},
		inFlight:  map[string]bool{},
		published: map[string]string{},
	}
	common.Owner.OnPlacementChange = d.Wake
	return d
}

// Wake makes the controller publish changed placements soon. It doesn't block.
func (d *DirectoryController) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run publishes own placements and fetches those of peers until ctx ends.
func (d *DirectoryController) Run(ctx context.Context) error {
	go d.publishLoop(ctx)
	return runEvery(ctx, fixedInterval(exchangeInterval), d.askAll)
}

// publishLoop publishes after each Wake, otherwise once per exchangeInterval, and
// never more often than publishInterval.
func (d *DirectoryController) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(exchangeInterval):
		}
		d.publish()
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
}

// publish puts the owned servers whose digest changed into the directory.
func (d *DirectoryController) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, summary := range d.Owner.Summaries() {
		text := digest(summary, d.Board.Directory.Len() <= loadPublishLimit)
		if d.published[summary.Server] == text {
			continue
		}
		d.published[summary.Server] = text
		d.version++
		d.Board.Directory.Put(d.entry(summary))
	}
}

// digest returns a text that changes when a server's entry has to be published
// again.
func digest(summary ownership.Summary, withLoad bool) string {
	step := 0
	if withLoad {
		step = (summary.Running + summary.Waiting) * loadSteps / max(1, summary.Limit)
	}
	return fmt.Sprint(summary.Fence, step, summary.Resident)
}

// entry returns the directory entry of an owned server. Resident adapters whose
// names are malformed are left out.
func (d *DirectoryController) entry(summary ownership.Summary) routing.Entry {
	entry := routing.Entry{
		Server:  summary.Server,
		Owner:   d.Board.Self.ID,
		Address: d.Board.Self.PeerAddress,
		Domain:  d.Board.Self.Domain,
		Base:    summary.Base,
		Fence:   summary.Fence,
		Version: d.version,
		Slots:   summary.Slots,
		Running: summary.Running,
		Limit:   summary.Limit,
		Waiting: summary.Waiting,
	}
	for _, text := range summary.Resident {
		if adapter, err := pomelospring.ParseAdapterVersion(text); err == nil {
			entry.Resident = append(entry.Resident, adapter)
		}
	}
	return entry
}

// askAll starts an exchange with each peer to ask that has none in flight.
func (d *DirectoryController) askAll(ctx context.Context) {
	for _, instance := range d.peersToAsk() {
		d.mu.Lock()
		busy := d.inFlight[instance.ID]
		d.inFlight[instance.ID] = true
		d.mu.Unlock()
		if !busy {
			go d.ask(ctx, instance)
		}
	}
}

// peersToAsk returns all peers of a small fleet. In a large fleet an instance
// asks the hub of its domain and the peers that serve its requests, also those that
// have left the list; the hub asks
// its domain and the other hubs. An instance whose lease has lapsed asks its whole
// domain, since it needs the peers' fencing numbers.
func (d *DirectoryController) peersToAsk() []pomelospring.Instance {
	peers := d.Board.Peers.Get()
	state := d.Board.Domain.Get()
	hub := state.Writer("directory")
	inUse := d.Board.InUse()
	chosen := map[string]pomelospring.Instance{}
	for id, address := range inUse {
		chosen[id] = pomelospring.Instance{
			ID:          id,
			PeerAddress: address,
		}
	}
	hubs := map[string]pomelospring.Instance{}
	for id, instance := range peers {
		switch {
		case id == d.Board.Self.ID:
		case len(peers) <= fullMeshLimit, id == hub, inUse[id] != "":
			chosen[id] = instance
		case instance.Domain == d.Board.Self.Domain:
			if hub == d.Board.Self.ID || !d.Board.LeaseDeadline().After(d.Clock()) {
				chosen[id] = instance
			}
		case hub == d.Board.Self.ID:
			if candidate, known := hubs[instance.Domain]; !known || hubOf(candidate, instance) == instance.ID {
				hubs[instance.Domain] = instance
			}
		}
	}
	for _, instance := range hubs {
		chosen[instance.ID] = instance
	}
	list := make([]pomelospring.Instance, 0, len(chosen))
	for _, instance := range chosen {
		list = append(list, instance)
	}
	return list
}

// hubOf returns which of two instances of another domain ranks higher as its
// hub, by the rule that the domain itself applies.
func hubOf(a, b pomelospring.Instance) string {
	state := failuredomain.State{
		Members: map[string]failuredomain.Member{
			a.ID: {
				Instance: a,
			},
			b.ID: {
				Instance: b,
			},
		},
	}
	return state.Writer("directory")
}

// ask makes one exchange with a peer and applies the reply.
func (d *DirectoryController) ask(ctx context.Context, instance pomelospring.Instance) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.inFlight, instance.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d.mu.Lock()
	lastReply := d.lastReply[instance.ID]
	d.mu.Unlock()
	requestedAt := d.Clock()
	reply, err := d.Peers.At(ctx, instance.PeerAddress).Exchange(ctx, &peerpb.ExchangeRequest{
		Epoch:    lastReply.epoch,
		Sequence: lastReply.sequence,
		Instance: d.Board.Self.ID,
	})
	if err != nil {
		d.markUnreachable(ctx, instance, err)
		return
	}
	d.applyReply(instance, reply, requestedAt)
}

// markUnreachable keeps requests away from a peer after a failed exchange, unless
// the exchange failed because this instance stops.
func (d *DirectoryController) markUnreachable(ctx context.Context, instance pomelospring.Instance, err error) {
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	now := d.Clock()
	if d.Board.Reachable(instance.ID, now) {
		events.Log(d.Logger, events.PeerUnreachable, log.Fields{
			"instance": instance.ID,
			"error":    err.Error(),
		})
	}
	d.Board.SetUnreachableUntil(instance.ID, now.Add(unreachablePause))
}

// applyReply records a peer's fencing number and directory entries, and marks it
// reachable. It ignores entries of servers that this instance owns.
func (d *DirectoryController) applyReply(instance pomelospring.Instance, reply *peerpb.ExchangeReply, requestedAt time.Time) {
	d.Board.SetUnreachableUntil(instance.ID, time.Time{})
	if reply.GetDomain() == d.Board.Self.Domain {
		d.Board.RecordPeerFence(instance.ID, reply.GetFence(), requestedAt.Add(unreachablePause))
	}
	for _, summary := range reply.GetServers() {
		if summary.GetOwner() != d.Board.Self.ID {
			d.Board.Directory.Put(peer.ToEntry(summary))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReply[instance.ID] = replyPosition{
		epoch:    reply.GetEpoch(),
		sequence: reply.GetSequence(),
	}
}

// InstanceListController keeps this instance in the platform's instance list and
// the blackboard's peers current.
type InstanceListController struct {
	*Common
}

const (
	// listInterval is the time between two refreshes of the list.
	listInterval = time.Second
	// listEntryTTL is how long an entry stays in the list without a refresh.
	listEntryTTL = 10 * time.Second
)

// NewInstanceListController returns a controller; Run starts it.
func NewInstanceListController(common *Common) *InstanceListController {
	return &InstanceListController{
		Common: common,
	}
}

// Run refreshes the list until ctx ends.
func (l *InstanceListController) Run(ctx context.Context) error {
	return runEvery(ctx, fixedInterval(listInterval), l.refresh)
}

// refresh renews this instance's entry and reads the list.
func (l *InstanceListController) refresh(ctx context.Context) {
	instance := l.Board.Self
	instance.Leaving = l.Board.Leaving()
	err := l.List.Put(ctx, instance, l.Clock().Add(listEntryTTL))
	listed, listErr := l.List.List(ctx)
	if err == nil {
		err = listErr
	}
	if err != nil && ctx.Err() == nil {
		events.Log(l.Logger, events.ListUnreachable, log.Fields{
			"error": err.Error(),
		})
	}
	l.Board.Peers.Set(l.knownPeers(listed, listErr == nil), l.Clock())
}

// knownPeers returns the listed instances and the members of this instance's
// domain, which the log may show before the list does. If the list could not be
// read, the peers known before stay, and the seed addresses are added.
func (l *InstanceListController) knownPeers(listed []pomelospring.Instance, current bool) map[string]pomelospring.Instance {
	peers := map[string]pomelospring.Instance{}
	if !current {
		for id, instance := range l.Board.Peers.Get() {
			peers[id] = instance
		}
	}
	for _, instance := range listed {
		peers[instance.ID] = instance
	}
	for _, instance := range l.Board.Domain.Get().Instances() {
		peers[instance.ID] = instance
	}
	for _, address := range l.Settings.Instance.Seeds {
		if !slices.ContainsFunc(listed, func(i pomelospring.Instance) bool { return i.PeerAddress == address }) && !current {
			peers["seed "+address] = pomelospring.Instance{
				ID:          "seed " + address,
				PeerAddress: address,
			}
		}
	}
	delete(peers, l.Board.Self.ID)
	return peers
}

// Leave removes this instance from the list.
func (l *InstanceListController) Leave(ctx context.Context) {
	if err := l.List.Remove(ctx, l.Board.Self.ID); err != nil {
		events.Log(l.Logger, events.ListUnreachable, log.Fields{
			"error": err.Error(),
		})
	}
}
