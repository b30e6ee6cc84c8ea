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
	parts = 12
	turn  = 3 * time.Second
)

func TestMayOrder(t *testing.T) {
	whole := pomelospring.Membership{
		Generation: 4,
		Parts:      parts,
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
			name:    "a new holder waits out the former one's turn",
			prepare: func(l *lease.Lease) { l.Renewed(whole, 0, 0, false) },
			at:      turn,
		},
		{
			name:    "and acts after it",
			prepare: func(l *lease.Lease) { l.Renewed(whole, 0, 0, false) },
			at:      turn + 800*time.Millisecond,
			want:    true,
		},
		{
			name:    "a machine that held all parts before acts at once",
			prepare: func(l *lease.Lease) { l.Renewed(whole, 0, 0, true) },
			at:      time.Millisecond,
			want:    true,
		},
		{
			name:    "a holder of some parts does not act",
			prepare: func(l *lease.Lease) { l.Renewed(pomelospring.Membership{Generation: 4, Parts: 6}, 0, 0, true) },
			at:      5 * time.Second,
		},
		{
			name: "losing parts ends it at once",
			prepare: func(l *lease.Lease) {
				l.Renewed(whole, 0, 0, true)
				l.Renewed(pomelospring.Membership{Generation: 5, Parts: 6}, time.Second, time.Second, false)
			},
			at: 2 * time.Second,
		},
		{
			name:    "a holder that was suspended past its lease does not act",
			prepare: func(l *lease.Lease) { l.Renewed(whole, 0, 0, true) },
			at:      lease.TimeToLive,
		},
		{
			name: "a holder that comes back too late waits again",
			prepare: func(l *lease.Lease) {
				l.Renewed(whole, 0, 0, true)
				late := lease.TimeToLive + time.Second
				l.Renewed(whole, late, late, false)
			},
			at: lease.TimeToLive + 2*time.Second,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			l := &lease.Lease{
				HandoverTime: turn,
				Parts:        parts,
			}
			scenario.prepare(l)
			if diff := cmp.Diff(scenario.want, l.MayOrder(scenario.at)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// group is the platform's group service with one member at a time: a member
// that was silent for its time to live gives way.
type group struct {
	member     string
	heard      time.Duration
	generation int64
}

func (g *group) join(member string, now time.Duration) (pomelospring.Membership, bool) {
	if g.member != member {
		if g.member != "" && now-g.heard < lease.TimeToLive {
			return pomelospring.Membership{}, false
		}
		g.member = member
		g.generation++
	}
	g.heard = now
	return pomelospring.Membership{
		Generation: g.generation,
		Parts:      parts,
	}, true
}

const (
	step    = 50 * time.Millisecond
	length  = 10 * time.Minute
	members = 3
	// flight is how long an order is under way at the most.
	flight = 500 * time.Millisecond
)

// machine is one instance that may lead.
type machine struct {
	name    string
	lease   *lease.Lease
	renewed time.Duration
	// blocked and frozen are the ends of a cut from the store and of a suspension.
	blocked time.Duration
	frozen  time.Duration
}

// act plays one step: faults, then a renewal if one is due. It reports whether
// the machine may order.
func (m *machine) act(g *group, random *rand.Rand, now time.Duration) bool {
	if random.Float64() < 0.002 {
		m.blocked = now + upTo(random, 24*time.Second)
	}
	if random.Float64() < 0.001 {
		m.frozen = now + upTo(random, 24*time.Second)
	}
	if now < m.frozen {
		return false
	}
	if now >= m.blocked && now-m.renewed >= lease.RenewEvery {
		if membership, ok := g.join(m.name, now); ok {
			m.lease.Renewed(membership, now, now, false)
			m.renewed = now
		}
	}
	return m.lease.MayOrder(now)
}

// orders is what a worker sees.
type orders struct {
	holder *machine
	at     time.Duration
	fence  int64
}

// take checks an order that is sent now against the last of another holder.
func (o *orders) take(m *machine, arrives, now time.Duration) (problem string) {
	if o.holder != nil && o.holder != m {
		if now-o.at < turn {
			return fmt.Sprintf("%s ordered at %s, another holder's order arrived at %s", m.name, now, o.at)
		}
		if m.lease.Generation() <= o.fence {
			return fmt.Sprintf("fence %d after %d", m.lease.Generation(), o.fence)
		}
	}
	o.holder, o.fence = m, m.lease.Generation()
	o.at = max(o.at, arrives)
	return ""
}

// TestHoldersNeverTakeTurns plays random cuts and suspensions, and checks that
// orders of two holders are the turn time apart and that fencing numbers rise
// from holder to holder.
func TestHoldersNeverTakeTurns(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 7))
		g := &group{}
		seen := &orders{}
		machines := make([]*machine, 0, members)
		for i := range members {
			machines = append(machines, &machine{
				name: string(rune('a' + i)),
				lease: &lease.Lease{
					HandoverTime: turn,
					Parts:        parts,
				},
			})
		}
		for now := time.Duration(0); now < length; now += step {
			for _, m := range machines {
				if !m.act(g, random, now) {
					continue
				}
				if problem := seen.take(m, now+upTo(random, flight), now); problem != "" {
					t.Fatalf("seed %d: %s", seed, problem)
				}
			}
		}
		if seen.holder == nil {
			t.Fatalf("seed %d: nobody ever ordered", seed)
		}
	}
}

func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
