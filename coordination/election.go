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
	// pollInterval is the time between queries for the leader while none is
	// known, and pollIntervalPerInstance what each instance adds to it, since the
	// platform counts the calls of all instances together.
	pollInterval            = 600 * time.Millisecond
	pollIntervalPerInstance = 30 * time.Millisecond
	// otherDomainDelay is how long after a start an instance first queries for
	// the leaders of other domains, and otherDomainFirstStartDelay the same for
	// the first start of the whole fleet. The leader of its own domain usually
	// reports them earlier, in the first exchange.
	otherDomainDelay           = 700 * time.Millisecond
	otherDomainFirstStartDelay = 4 * time.Second
	// firstStartSpread is the time over which the instances of a domain first query
	// for their leader when the whole fleet starts, those with the largest processor
	// share first. One of these then leads before most others ask.
	firstStartSpread = 2 * time.Second
	// otherDomainPollInterval is the shortest time between queries for the leader of
	// another domain while some domain's leader answers, since that leader
	// reports the others.
	otherDomainPollInterval = 4 * time.Second
	// pollJitter is the largest random delay that keeps instances from polling
	// and joining at the same moment.
	pollJitter = 400 * time.Millisecond
	// maxProcessorDelay is how long an instance with a processor share of 0 waits
	// before it joins. The delay falls to 0 at one core, so that larger instances
	// lead.
	maxProcessorDelay = 800 * time.Millisecond
	// otherDomainJoinDelay is how much longer an instance of another domain waits
	// before it joins.
	otherDomainJoinDelay = 2500 * time.Millisecond
	// leaveTimeout limits the call that leaves the group.
	leaveTimeout = 700 * time.Millisecond
	// restartTimeToLive is how long an instance that stops keeps its partitions;
	// the platform restarts it within a second.
	restartTimeToLive = 2 * time.Second
	// restartJoinTimeout limits the call that renews the membership at a stop.
	restartJoinTimeout = 250 * time.Millisecond
	// idleInterval is the time between checks for work while the leader is known
	// or no poll is due.
	idleInterval = 100 * time.Millisecond
	// partialHoldLimit is how long a former leader that lost some partitions
	// waits to hold all of them again before it leaves the group.
	partialHoldLimit = 3 * time.Second
	// markRetryInterval is the time between attempts to mark an era as settled.
	markRetryInterval = 10 * time.Second
)

// Election finds a domain's leader in the platform's group service, and makes
// this instance a candidate when there is none.
type Election struct {
	Groups pomelospring.GroupService
	// Group is the name of the group whose partitions the domain's leader holds.
	Group string
	// OtherDomain says that the instance runs in another domain than the one that
	// it would lead.
	OtherDomain bool
	// FirstFleetStart says that the whole fleet is starting for the first time.
	FirstFleetStart bool
	// LeadersKnown reports whether some domain's leader answers; it reports the
	// leaders of the other domains.
	LeadersKnown func() bool
	Leader       *Leader
	Member       *Member
	// Address is where other instances reach this one; it is also its member
	// name in the group.
	Address string
	Logger  log.Interface
	// Uptime is a clock that keeps running while the process is suspended.
	Uptime func() time.Duration
	// ProcessorShare is the instance's processor share, in cores.
	ProcessorShare float64

	// nextPollAt is when the group may be polled again.
	nextPollAt time.Duration
	// polled is set once the group was polled.
	polled     bool
	generation int64
	// joined is set while this instance is in the group.
	joined bool
	// resumed is set until the first renewal if the instance held all partitions
	// before it restarted, in resumedEra of the store.
	resumed    bool
	resumedEra int64
	// heldAllPartitions says that the instance held all partitions since it
	// joined, last at lastHeldAllAt.
	heldAllPartitions bool
	lastHeldAllAt     time.Duration
	// markedEra is the store's era that this instance marked as settled last, and
	// nextMarkAt when the next attempt is due.
	markedEra  int64
	nextMarkAt time.Duration
}

// Run takes part in the election until the context ends, then retains the
// partitions for a restart of the instance.
func (e *Election) Run(ctx context.Context) error {
	e.nextPollAt = e.Uptime() + e.firstPollDelay()
	for ctx.Err() == nil {
		wait := e.step(ctx)
		if pomelospring.Sleep(ctx, wait) != nil {
			break
		}
	}
	e.retainPartitionsForRestart()
	return nil
}

// firstPollDelay returns the time from the start to the first poll.
func (e *Election) firstPollDelay() time.Duration {
	switch {
	case e.OtherDomain && e.FirstFleetStart:
		return otherDomainFirstStartDelay
	case e.OtherDomain:
		return otherDomainDelay
	case e.FirstFleetStart:
		return time.Duration((1-min(1, e.ProcessorShare))*float64(firstStartSpread)) + rand.N(pollJitter)
	default:
		return 0
	}
}

// retainPartitionsForRestart releases this process's lease but keeps the
// partitions for restartTimeToLive. After a planned restart the instance leads
// again at once, whereas another would have to wait for the handover time.
func (e *Election) retainPartitionsForRestart() {
	if !e.joined {
		return
	}
	if _, allowed := e.Leader.mayOrder(); !allowed {
		// The next start would take the handover time for over.
		e.leave(restartJoinTimeout)
		return
	}
	e.Leader.release()
	ctx, cancel := context.WithTimeout(context.Background(), restartJoinTimeout)
	defer cancel()
	if _, err := e.Groups.Join(ctx, e.Group, e.Address, e.generation, restartTimeToLive); err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
	}
}

// step renews the membership or polls for the leader if either is due, and
// returns the time until the next step.
func (e *Election) step(ctx context.Context) (wait time.Duration) {
	if e.joined {
		e.renew(ctx)
		return lease.RenewEvery
	}
	if e.Member.Known() != "" {
		return idleInterval
	}
	// An instance that leads a domain reports the other leaders to the rest, so it
	// polls for them first.
	leads := e.OtherDomain && !e.polled && e.Member.LeadsAny()
	if e.Uptime() < e.nextPollAt && !leads {
		return idleInterval
	}
	e.polled = true
	e.nextPollAt = e.Uptime() + e.pollDelay()
	e.poll(ctx)
	return idleInterval
}

// poll queries the group service for the leader, and joins the group if there is
// none.
func (e *Election) poll(ctx context.Context) {
	ownership, err := e.Groups.Owners(ctx, e.Group)
	if err == nil && len(ownership.Owners) == 0 {
		// Other instances may find no leader either; the first one to query again
		// after its delay joins.
		if pomelospring.Sleep(ctx, e.joinDelay()) != nil {
			return
		}
		ownership, err = e.Groups.Owners(ctx, e.Group)
	}
	if err != nil {
		return
	}
	owners := ownership.Owners
	if ownership.EraSettled {
		e.Leader.Eras.Settled(ownership.Era)
		e.markedEra = ownership.Era
	}
	if len(owners) == 0 || owners[e.Address] > 0 {
		e.resumed, e.resumedEra = owners[e.Address] >= e.Leader.Parts(), ownership.Era
		e.joined = true
		e.heldAllPartitions = false
		e.renew(ctx)
		return
	}
	e.Member.SetLeader(ownerOfMostPartitions(owners))
}

// pollDelay returns the time until the next poll.
func (e *Election) pollDelay() time.Duration {
	if e.OtherDomain && e.LeadersKnown() {
		return otherDomainPollInterval + rand.N(otherDomainPollInterval)
	}
	return pollInterval + time.Duration(e.Member.InstanceCount())*pollIntervalPerInstance + rand.N(pollJitter)
}

// joinDelay returns how long to wait before joining. Instances of the domain and
// those with more processor share wait less, so that they join first.
func (e *Election) joinDelay() time.Duration {
	wait := time.Duration((1-min(1, e.ProcessorShare))*float64(maxProcessorDelay)) + rand.N(pollJitter)
	if e.OtherDomain {
		wait += otherDomainJoinDelay
	}
	return wait
}

// renew joins the group or renews the membership, and applies the response to the
// lease.
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
	e.Leader.joined(membership, sent, e.resumed && e.resumedEra == membership.Era)
	e.resumed = false
	if e.Leader.Leading() {
		e.heldAllPartitions, e.lastHeldAllAt = true, e.Uptime()
		e.Member.SetLeader(e.Address)
		e.markEra(ctx, membership.Era)
		return
	}
	e.stepDown()
	// Of several candidates that joined at once, none keeps only some of the
	// partitions.
	if !e.heldAllPartitions || e.Uptime()-e.lastHeldAllAt > partialHoldLimit {
		e.leave(leaveTimeout)
	}
}

// markEra marks the store's era as settled in the group once it is, so that instances
// that start when no other one can tell them need not wait.
func (e *Election) markEra(ctx context.Context, era int64) {
	if era == e.markedEra || e.Uptime() < e.nextMarkAt {
		return
	}
	generation, ok := e.Leader.eraToMark()
	if !ok {
		return
	}
	e.nextMarkAt = e.Uptime() + markRetryInterval
	if err := e.Groups.MarkEraSettled(ctx, e.Group, e.Address, generation); err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
		return
	}
	e.markedEra = era
}

// stepDown clears the known leader if it is this instance.
func (e *Election) stepDown() {
	if e.Member.Known() == e.Address {
		e.Member.SetLeader("")
	}
}

// leave leaves the group, so that another instance need not wait for the
// membership to expire.
func (e *Election) leave(timeout time.Duration) {
	if !e.joined {
		return
	}
	e.joined = false
	e.generation = 0
	e.Leader.release()
	e.stepDown()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := e.Groups.Leave(ctx, e.Group, e.Address); err != nil {
		events.Log(e.Logger, events.RenewalMissed, log.Fields{
			"error": err.Error(),
		})
	}
}

// ownerOfMostPartitions returns the owner with the most partitions, the first by
// name if several have as many.
func ownerOfMostPartitions(owners map[string]int) (address string) {
	for name, parts := range owners {
		if address == "" || parts > owners[address] || parts == owners[address] && name < address {
			address = name
		}
	}
	return address
}
