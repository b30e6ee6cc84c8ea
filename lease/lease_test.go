package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/lease"
)

const (
	groupParts   = 12
	handoverTime = 3 * time.Second
)

func TestMayOrder(t *testing.T) {
	allPartitions := pomelospring.Membership{
		Generation: 4,
		Parts:      groupParts,
	}
	scenarios := []struct {
		name    string
		prepare func(l *lease.Lease)
		at      time.Duration
		want    bool
	}{
		{
			name:    "never joined",
			prepare: func(*lease.Lease) {},
			at:      time.Second,
		},
		{
			name:    "a new holder sends no order during the handover time",
			prepare: func(l *lease.Lease) { l.Renewed(allPartitions, 0, 0, false, 0) },
			at:      handoverTime,
		},
		{
			name:    "a new holder may order after the handover time",
			prepare: func(l *lease.Lease) { l.Renewed(allPartitions, 0, 0, false, 0) },
			at:      handoverTime + 800*time.Millisecond,
			want:    true,
		},
		{
			name:    "a holder that restarted with all partitions may order at once",
			prepare: func(l *lease.Lease) { l.Renewed(allPartitions, 0, 0, true, 0) },
			at:      time.Millisecond,
			want:    true,
		},
		{
			name:    "a holder of some partitions may not order",
			prepare: func(l *lease.Lease) { l.Renewed(pomelospring.Membership{Generation: 4, Parts: 6}, 0, 0, true, 0) },
			at:      5 * time.Second,
		},
		{
			name: "losing partitions ends the lease at once",
			prepare: func(l *lease.Lease) {
				l.Renewed(allPartitions, 0, 0, true, 0)
				l.Renewed(pomelospring.Membership{Generation: 5, Parts: 6}, time.Second, time.Second, false, 0)
			},
			at: 2 * time.Second,
		},
		{
			name:    "a holder that was suspended past its lease may not order",
			prepare: func(l *lease.Lease) { l.Renewed(allPartitions, 0, 0, true, 0) },
			at:      lease.TimeToLive,
		},
		{
			name: "a holder that renews after its lease expired waits again",
			prepare: func(l *lease.Lease) {
				l.Renewed(allPartitions, 0, 0, true, 0)
				late := lease.TimeToLive + time.Second
				l.Renewed(allPartitions, late, late, false, 0)
			},
			at: lease.TimeToLive + 2*time.Second,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			l := &lease.Lease{
				HandoverTime: handoverTime,
				Parts:        groupParts,
			}
			scenario.prepare(l)
			if diff := cmp.Diff(scenario.want, l.MayOrder(scenario.at)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// groupService simulates the platform's group service with one member at a
// time. A member that did not renew within its time to live is replaced by the
// next that joins.
type groupService struct {
	member     string
	renewedAt  time.Duration
	generation int64
}

func (g *groupService) join(member string, now time.Duration) (pomelospring.Membership, bool) {
	if g.member != member {
		if g.member != "" && now-g.renewedAt < lease.TimeToLive {
			return pomelospring.Membership{}, false
		}
		g.member = member
		g.generation++
	}
	g.renewedAt = now
	return pomelospring.Membership{
		Generation: g.generation,
		Parts:      groupParts,
	}, true
}

const (
	timeStep      = 50 * time.Millisecond
	simulatedTime = 10 * time.Minute
	instanceCount = 3
	// maxOrderFlight is the longest time that a simulated order is in flight.
	maxOrderFlight = 500 * time.Millisecond
)

// instance is one simulated instance that may lead.
type instance struct {
	name      string
	lease     *lease.Lease
	renewedAt time.Duration
	// cutOffUntil is when the instance reaches the store again, suspendedUntil
	// when its process runs again.
	cutOffUntil    time.Duration
	suspendedUntil time.Duration
}

// advance runs one time step: it injects random faults, then renews if a
// renewal is due. It reports whether the instance may order.
func (m *instance) advance(g *groupService, random *rand.Rand, now time.Duration) bool {
	if random.Float64() < 0.002 {
		m.cutOffUntil = now + randomDuration(random, 24*time.Second)
	}
	if random.Float64() < 0.001 {
		m.suspendedUntil = now + randomDuration(random, 24*time.Second)
	}
	if now < m.suspendedUntil {
		return false
	}
	if now >= m.cutOffUntil && now-m.renewedAt >= lease.RenewEvery {
		if membership, ok := g.join(m.name, now); ok {
			m.lease.Renewed(membership, now, now, false, 0)
			m.renewedAt = now
		}
	}
	return m.lease.MayOrder(now)
}

// orderLog holds the holder, latest arrival and fencing number of the orders
// that were sent to a worker.
type orderLog struct {
	holder    *instance
	arrivesAt time.Duration
	fence     int64
}

// add records an order that is sent now and arrives later. It returns a problem
// if the order follows another holder's too soon or with too low a fencing
// number.
func (o *orderLog) add(m *instance, arrives, now time.Duration) (problem string) {
	if o.holder != nil && o.holder != m {
		if now-o.arrivesAt < handoverTime {
			return fmt.Sprintf("%s sent an order at %s, less than the handover time after another holder's order arrived at %s", m.name, now, o.arrivesAt)
		}
		if m.lease.Generation() <= o.fence {
			return fmt.Sprintf("fence %d after %d", m.lease.Generation(), o.fence)
		}
	}
	o.holder, o.fence = m, m.lease.Generation()
	o.arrivesAt = max(o.arrivesAt, arrives)
	return ""
}

// TestHoldersKeepHandoverTime guards against two holders that order at the same
// time. It simulates random cuts from the store and suspensions, and checks that
// the orders of two holders are the handover time apart and that fencing numbers
// increase from holder to holder.
func TestHoldersKeepHandoverTime(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 7))
		g := &groupService{}
		log := &orderLog{}
		instances := make([]*instance, 0, instanceCount)
		for i := range instanceCount {
			instances = append(instances, &instance{
				name: string(rune('a' + i)),
				lease: &lease.Lease{
					HandoverTime: handoverTime,
					Parts:        groupParts,
				},
			})
		}
		for now := time.Duration(0); now < simulatedTime; now += timeStep {
			for _, m := range instances {
				if !m.advance(g, random, now) {
					continue
				}
				if problem := log.add(m, now+randomDuration(random, maxOrderFlight), now); problem != "" {
					t.Fatalf("seed %d: %s", seed, problem)
				}
			}
		}
		if log.holder == nil {
			t.Fatalf("seed %d: no instance ever sent an order", seed)
		}
	}
}

// randomDuration returns a random duration below limit.
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
