package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/lease"
)

// restoredGroup simulates the group service of a store that is restored from copies.
// A group belongs to one era, so it is empty after a restore.
type restoredGroup struct {
	groupService
	era int64
}

// eraInstance is an instance that learns the era from the store and from others.
type eraInstance struct {
	instance
	eras lease.Eras
	// restarted is set from a restart to the first renewal.
	restarted bool
}

// restart ends the process and starts it again. Partitions that it may use for orders
// are kept for the next start.
func (m *eraInstance) restart(g *restoredGroup, now time.Duration) {
	if g.member == m.name && !m.mayOrder(now) && now >= m.cutOffUntil {
		g.member = ""
	}
	m.lease = newLease()
	m.eras = lease.Eras{}
	m.restarted = true
}

func newLease() *lease.Lease {
	return &lease.Lease{
		HandoverTime: handoverTime,
		Parts:        groupParts,
	}
}

// renew joins the group if a renewal is due and the instance reaches the store.
// otherHolds says that another instance holds the lease as far as is known.
func (m *eraInstance) renew(g *restoredGroup, now time.Duration, otherHolds bool) {
	if now < m.cutOffUntil || now-m.renewedAt < lease.RenewEvery || otherHolds && !m.lease.Holds(now) {
		return
	}
	m.renewedAt = now
	resumed := m.restarted && g.member == m.name && now-g.renewedAt < lease.TimeToLive
	m.restarted = false
	m.eras.Observe(g.era, now, now, false)
	membership, ok := g.join(m.name, now)
	if !ok {
		membership.Generation = g.generation
	}
	membership = pomelospring.Membership{
		Era:        g.era,
		Generation: g.era<<32 + membership.Generation,
		Parts:      membership.Parts,
	}
	m.lease.Renewed(membership, now, now, resumed, m.eras.OrdersFrom(handoverTime))
}

// mayOrder reports whether the instance may order with what it learned of the era.
func (m *eraInstance) mayOrder(now time.Duration) bool {
	era, _ := m.eras.Current(now)
	m.lease.ShortenEraWait(era, m.eras.OrdersFrom(handoverTime))
	return m.lease.MayOrder(now)
}

// TestHoldersKeepHandoverTimeOverRestores simulates restores of the store beside cuts
// from it, suspensions and restarts, and checks that no two holders order within the
// handover time and that fencing numbers never fall.
func TestHoldersKeepHandoverTimeOverRestores(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 11))
		g := &restoredGroup{}
		log := &orderLog{}
		instances := make([]*eraInstance, instanceCount)
		for i := range instances {
			instances[i] = &eraInstance{instance: instance{name: string(rune('a' + i)), lease: newLease()}}
		}
		orders, ordersInLaterEras := 0, 0
		for now := time.Duration(0); now < simulatedTime; now += timeStep {
			if random.Float64() < 0.001 {
				*g = restoredGroup{era: g.era + 1}
			}
			for i, m := range instances {
				injectEraFault(m, g, random, now)
				if now < m.suspendedUntil {
					continue
				}
				other := instances[(i+1+random.IntN(instanceCount-1))%instanceCount]
				if random.Float64() < 0.1 && now >= other.suspendedUntil {
					if era, age := other.eras.Current(now); era > 0 {
						m.eras.Observe(era, now-age, now, false)
					}
				}
				m.renew(g, now, other.lease.Holds(now) && random.Float64() < 0.9)
				if !m.mayOrder(now) {
					continue
				}
				previous := log.fence
				if problem := log.add(&m.instance, now+randomDuration(random, maxOrderFlight), now); problem != "" {
					t.Fatalf("seed %d: %s", seed, problem)
				}
				if log.fence < previous {
					t.Fatalf("seed %d: fence %d after %d", seed, log.fence, previous)
				}
				orders++
				if g.era > 0 {
					ordersInLaterEras++
				}
			}
		}
		if ordersInLaterEras == 0 {
			t.Fatalf("seed %d: %d orders, %d of them after a restore", seed, orders, ordersInLaterEras)
		}
	}
}

func injectEraFault(m *eraInstance, g *restoredGroup, random *rand.Rand, now time.Duration) {
	if random.Float64() < 0.002 {
		m.cutOffUntil = now + randomDuration(random, 24*time.Second)
	}
	if random.Float64() < 0.001 {
		m.suspendedUntil = now + randomDuration(random, 24*time.Second)
	}
	if random.Float64() < 0.002 {
		m.restart(g, now)
	}
}
