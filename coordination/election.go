package coordination

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/lease"
)

const (
	// lookEvery is the time between questions for the leader while there is
	// none, and lookPerInstance what each instance adds to it: the platform
	// counts the calls of all.
	lookEvery       = 600 * time.Millisecond
	lookPerInstance = 30 * time.Millisecond
	// foreignStart is when the leaders of other domains are looked for after a
	// start, and foreignFirst after the first of the whole fleet: the own
	// domain's leader tells of them with the first exchange.
	foreignStart = 700 * time.Millisecond
	foreignFirst = 2500 * time.Millisecond
	// foreignLook is the time between questions for the leader of another
	// domain where the leader of some domain answers, which tells of it.
	foreignLook = 4 * time.Second
	// lookSpread keeps instances from joining at the same moment.
	lookSpread = 400 * time.Millisecond
	// smallWait is what an instance with no processor of its own would wait
	// before it joins; those with more wait less, so that they lead.
	smallWait = 800 * time.Millisecond
	// foreignWait is what an instance of another domain waits on top.
	foreignWait = 2500 * time.Millisecond
	// leaveTimeout bounds the word to the group that this instance leaves.
	leaveTimeout = 700 * time.Millisecond
	// parkTime is how long a machine that stops keeps its parts: the platform
	// starts it again within a second.
	parkTime = 2 * time.Second
	// parkTimeout bounds the word to the group at a stop.
	parkTimeout = 250 * time.Millisecond
	// idleEvery is how often an instance that knows its leader looks whether
	// there is anything to do.
	idleEvery = 100 * time.Millisecond
	// partlyLimit is how long a holder of some parts only waits for the rest.
	partlyLimit = 3 * time.Second
)

// Election finds the leader in the platform's group service, and makes this
// instance one when there is none.
type Election struct {
	Groups pomelospring.GroupService
	// Group is the one of the domain's leaders.
	Group string
	// OtherDomain says that the instance runs in another domain than it would lead.
	OtherDomain bool
	// FirstFleetStart says that the whole fleet starts for the first time.
	FirstFleetStart bool
	// LeadersKnown reports whether a leader answers that tells of the others.
	LeadersKnown func() bool
	Leader       *Leader
	Member       *Member
	// Address is this instance's name in the group and its address.
	Address string
	Logger  log.Interface
	Uptime  func() time.Duration
	// ProcessorShare is this instance's part of a core.
	ProcessorShare float64

	// lookAt is when the group may be asked again.
	lookAt     time.Duration
	looked     bool
	generation int64
	// joined is set while this instance is in the group.
	joined  bool
	resumed bool
	// heldAll says that the instance held all parts since it joined, last at heldAt.
	heldAll bool
	heldAt  time.Duration
}

// Run takes part until the context ends, then keeps the parts for the machine's
// next start.
func (e *Election) Run(ctx context.Context) error {
	if e.OtherDomain && e.FirstFleetStart {
		e.lookAt = e.Uptime() + foreignFirst
	} else if e.OtherDomain {
		e.lookAt = e.Uptime() + foreignStart
	}
	for ctx.Err() == nil {
		wait := e.step(ctx)
		if pause(ctx, wait) != nil {
			break
		}
	}
	e.park()
	return nil
}

// park ends this process's claim but keeps the machine's for a moment: after a
// planned restart it goes on at once, where another machine would have to wait
// out its orders.
func (e *Election) park() {
	if !e.joined {
		return
	}
	e.Leader.lost()
	ctx, cancel := context.WithTimeout(context.Background(), parkTimeout)
	defer cancel()
	if _, err := e.Groups.Join(ctx, e.Group, e.Address, e.generation, parkTime); err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
	}
}

// step does what is due and says when to look again.
func (e *Election) step(ctx context.Context) (wait time.Duration) {
	if e.joined {
		e.renew(ctx)
		return lease.RenewEvery
	}
	if e.Member.Known() != "" {
		return idleEvery
	}
	// Those who lead tell the others, so they look for the other leaders first.
	leads := e.OtherDomain && !e.looked && e.Member.LeadsAny()
	if e.Uptime() < e.lookAt && !leads {
		return idleEvery
	}
	e.looked = true
	e.lookAt = e.Uptime() + e.pause()
	e.look(ctx)
	return idleEvery
}

// look asks for the leader, and joins where there is none.
func (e *Election) look(ctx context.Context) {
	owners, err := e.Groups.Owners(ctx, e.Group)
	if err == nil && len(owners) == 0 {
		// Others may see the same; whoever looks first after the wait joins.
		if pause(ctx, e.joinWait()) != nil {
			return
		}
		owners, err = e.Groups.Owners(ctx, e.Group)
	}
	if err != nil {
		return
	}
	if len(owners) == 0 || owners[e.Address] > 0 {
		e.resumed = owners[e.Address] >= e.Leader.Parts()
		e.joined = true
		e.heldAll = false
		e.renew(ctx)
		return
	}
	e.Member.SetLeader(most(owners))
}

// pause is the time between looks.
func (e *Election) pause() time.Duration {
	if e.OtherDomain && e.LeadersKnown() {
		return foreignLook + rand.N(foreignLook)
	}
	return lookEvery + time.Duration(e.Member.InstanceCount())*lookPerInstance + rand.N(lookSpread)
}

// joinWait lets instances of the domain, and large ones, join first.
func (e *Election) joinWait() time.Duration {
	wait := time.Duration((1-min(1, e.ProcessorShare))*float64(smallWait)) + rand.N(lookSpread)
	if e.OtherDomain {
		wait += foreignWait
	}
	return wait
}

// renew enters the group or stays in it.
func (e *Election) renew(ctx context.Context) {
	sent := e.Uptime()
	membership, err := e.Groups.Join(ctx, e.Group, e.Address, e.generation, lease.TimeToLive)
	if err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
		if !e.Leader.Leading() {
			e.joined = false
			e.generation = 0
			e.stepDown()
		}
		return
	}
	e.generation = membership.Generation
	e.Leader.joined(membership, sent, e.resumed)
	e.resumed = false
	if e.Leader.Leading() {
		e.heldAll, e.heldAt = true, e.Uptime()
		e.Member.SetLeader(e.Address)
		return
	}
	e.stepDown()
	// Of several newcomers none stays with a part of the group.
	if !e.heldAll || e.Uptime()-e.heldAt > partlyLimit {
		e.leave()
	}
}

func (e *Election) stepDown() {
	if e.Member.Known() == e.Address {
		e.Member.SetLeader("")
	}
}

// leave gives the parts up, so that another instance need not wait for them to
// run out.
func (e *Election) leave() {
	if !e.joined {
		return
	}
	e.joined = false
	e.generation = 0
	e.Leader.lost()
	e.stepDown()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.Groups.Leave(ctx, e.Group, e.Address); err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
	}
}

func most(owners map[string]int) (address string) {
	for name, parts := range owners {
		if address == "" || parts > owners[address] || parts == owners[address] && name < address {
			address = name
		}
	}
	return address
}
