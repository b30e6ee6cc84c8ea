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
	// exchangeInterval is the time between two questions to one peer.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one question.
	exchangeTimeout = time.Second
	// silentPause keeps requests away from a peer that did not answer.
	silentPause = 2 * time.Second
	// meshLimit is the number of instances up to which all ask all.
	meshLimit = 16
	// publishInterval bounds how often own placements are published.
	publishInterval = 50 * time.Millisecond
	// loadSteps is how finely the load of a server is told, per limit.
	loadSteps = 4
	// loadToldLimit is the number of servers up to which load alone is news;
	// in a larger fleet it rides on answers and on placements only.
	loadToldLimit = 256
)

// DirectoryController tells others what is resident on the model workers
// owned here, and hears the same of theirs.
type DirectoryController struct {
	*Common
	wake chan struct{}
	mu   sync.Mutex
	// heard maps a peer to what it said last.
	heard map[string]heardPeer
	// asking are the peers with a question under way.
	asking map[string]bool
	told   map[string]string
	number int64
}

type heardPeer struct {
	epoch    string
	sequence int64
}

// NewDirectoryController makes the controller.
func NewDirectoryController(common *Common) *DirectoryController {
	d := &DirectoryController{
		Common: common,
		wake:   make(chan struct{}, 1),
		heard:  map[string]heardPeer{},
		asking: map[string]bool{},
		told:   map[string]string{},
	}
	common.Owner.OnPlacementChange = d.Wake
	return d
}

// Wake publishes own placements soon.
func (d *DirectoryController) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run publishes and asks until the context ends.
func (d *DirectoryController) Run(ctx context.Context) error {
	go d.publishLoop(ctx)
	return every(ctx, fixed(exchangeInterval), d.askAll)
}

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

// publish enters the servers whose placement, or load by a step, changed.
func (d *DirectoryController) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, summary := range d.Owner.Summaries() {
		text := digest(summary, d.Board.Directory.Len() <= loadToldLimit)
		if d.told[summary.Server] == text {
			continue
		}
		d.told[summary.Server] = text
		d.number++
		d.Board.Directory.Put(d.entry(summary))
	}
}

// digest is what makes word of a server news.
func digest(summary ownership.Summary, withLoad bool) string {
	step := 0
	if withLoad {
		step = (summary.Running + summary.Waiting) * loadSteps / max(1, summary.Limit)
	}
	return fmt.Sprint(summary.Fence, step, summary.Resident)
}

func (d *DirectoryController) entry(summary ownership.Summary) routing.Entry {
	entry := routing.Entry{
		Server:  summary.Server,
		Owner:   d.Board.Self.ID,
		Address: d.Board.Self.PeerAddress,
		Domain:  d.Board.Self.Domain,
		Base:    summary.Base,
		Fence:   summary.Fence,
		Version: d.number,
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

func (d *DirectoryController) askAll(ctx context.Context) {
	for _, instance := range d.asked() {
		d.mu.Lock()
		busy := d.asking[instance.ID]
		d.asking[instance.ID] = true
		d.mu.Unlock()
		if !busy {
			go d.ask(ctx, instance)
		}
	}
}

// asked are the peers to ask: all of a small fleet. In a large one an instance
// asks the hub of its domain, and the hub asks its domain and the other hubs.
func (d *DirectoryController) asked() []pomelospring.Instance {
	peers := d.Board.Peers.Get()
	state := d.Board.Domain.Get()
	hub := state.Writer("directory")
	chosen := map[string]pomelospring.Instance{}
	best := map[string]pomelospring.Instance{}
	for id, instance := range peers {
		switch {
		case id == d.Board.Self.ID:
		case len(peers) <= meshLimit, id == hub, d.Board.InUse(id):
			chosen[id] = instance
		case instance.Domain == d.Board.Self.Domain:
			if hub == d.Board.Self.ID || !d.Board.LeaseDeadline().After(d.Clock()) {
				chosen[id] = instance
			}
		case hub == d.Board.Self.ID:
			if held, known := best[instance.Domain]; !known || hubOf(held, instance) == instance.ID {
				best[instance.Domain] = instance
			}
		}
	}
	for _, instance := range best {
		chosen[instance.ID] = instance
	}
	list := make([]pomelospring.Instance, 0, len(chosen))
	for _, instance := range chosen {
		list = append(list, instance)
	}
	return list
}

// hubOf applies the rule of the domain's own fold to two of its instances.
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

func (d *DirectoryController) ask(ctx context.Context, instance pomelospring.Instance) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.asking, instance.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d.mu.Lock()
	heard := d.heard[instance.ID]
	d.mu.Unlock()
	asked := d.Clock()
	reply, err := d.Peers.At(ctx, instance.PeerAddress).Exchange(ctx, &peerpb.ExchangeRequest{
		Epoch:    heard.epoch,
		Sequence: heard.sequence,
		Instance: d.Board.Self.ID,
	})
	if err != nil {
		d.silent(ctx, instance, err)
		return
	}
	d.take(instance, reply, asked)
}

func (d *DirectoryController) silent(ctx context.Context, instance pomelospring.Instance, err error) {
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
	d.Board.SetUnreachableUntil(instance.ID, now.Add(silentPause))
}

func (d *DirectoryController) take(instance pomelospring.Instance, reply *peerpb.ExchangeReply, asked time.Time) {
	d.Board.SetUnreachableUntil(instance.ID, time.Time{})
	if reply.GetDomain() == d.Board.Self.Domain {
		d.Board.RecordPeerFence(instance.ID, reply.GetFence(), asked.Add(silentPause))
	}
	for _, summary := range reply.GetServers() {
		if summary.GetOwner() != d.Board.Self.ID {
			d.Board.Directory.Put(peer.ToEntry(summary))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[instance.ID] = heardPeer{
		epoch:    reply.GetEpoch(),
		sequence: reply.GetSequence(),
	}
}

// InstanceListController enters this instance in the platform's list and
// keeps the other instances known.
type InstanceListController struct {
	*Common
}

const (
	// listInterval is the time between two looks at the list.
	listInterval = time.Second
	// listTime is how long an entry in the list lasts.
	listTime = 10 * time.Second
)

// NewInstanceListController makes the controller.
func NewInstanceListController(common *Common) *InstanceListController {
	return &InstanceListController{
		Common: common,
	}
}

// Run keeps the list until the context ends.
func (l *InstanceListController) Run(ctx context.Context) error {
	return every(ctx, fixed(listInterval), l.refresh)
}

func (l *InstanceListController) refresh(ctx context.Context) {
	instance := l.Board.Self
	instance.Leaving = l.Board.Leaving()
	err := l.List.Put(ctx, instance, l.Clock().Add(listTime))
	listed, listErr := l.List.List(ctx)
	if err == nil {
		err = listErr
	}
	if err != nil && ctx.Err() == nil {
		events.Log(l.Logger, events.ListUnreachable, log.Fields{
			"error": err.Error(),
		})
	}
	l.Board.Peers.Set(l.known(listed, listErr == nil), l.Clock())
}

// known joins the list with the members of the own domain, who may be known
// from the log before the list shows them. While the list is out, what was
// known stays.
func (l *InstanceListController) known(listed []pomelospring.Instance, current bool) map[string]pomelospring.Instance {
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

// Leave takes this instance off the list.
func (l *InstanceListController) Leave(ctx context.Context) {
	if err := l.List.Remove(ctx, l.Board.Self.ID); err != nil {
		events.Log(l.Logger, events.ListUnreachable, log.Fields{
			"error": err.Error(),
		})
	}
}
