package lease_test

import (
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
			prepare: func(l *lease.Lease) { l.Joined(whole, 0, 0, false) },
			at:      turn,
		},
		{
			name:    "and acts after it",
			prepare: func(l *lease.Lease) { l.Joined(whole, 0, 0, false) },
			at:      turn + 800*time.Millisecond,
			want:    true,
		},
		{
			name:    "a machine that held all parts before acts at once",
			prepare: func(l *lease.Lease) { l.Joined(whole, 0, 0, true) },
			at:      time.Millisecond,
			want:    true,
		},
		{
			name:    "a holder of some parts does not act",
			prepare: func(l *lease.Lease) { l.Joined(pomelospring.Membership{Generation: 4, Parts: 6}, 0, 0, true) },
			at:      5 * time.Second,
		},
		{
			name: "losing parts ends it at once",
			prepare: func(l *lease.Lease) {
				l.Joined(whole, 0, 0, true)
				l.Joined(pomelospring.Membership{Generation: 5, Parts: 6}, time.Second, time.Second, false)
			},
			at: 2 * time.Second,
		},
		{
			name:    "a holder that was suspended past its lease does not act",
			prepare: func(l *lease.Lease) { l.Joined(whole, 0, 0, true) },
			at:      lease.TimeToLive,
		},
		{
			name: "a holder that comes back too late waits again",
			prepare: func(l *lease.Lease) {
				l.Joined(whole, 0, 0, true)
				l.Joined(whole, 13*time.Second, 13*time.Second, false)
			},
			at: 14 * time.Second,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			l := &lease.Lease{
				TurnTime: turn,
				Parts:    parts,
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

// TestHoldersNeverTakeTurns plays random cuts, suspensions and restarts, and
// checks that orders of two holders are the turn time apart and that fencing
// numbers rise from holder to holder.
func TestHoldersNeverTakeTurns(t *testing.T) {
	const (
		step    = 50 * time.Millisecond
		length  = 10 * time.Minute
		members = 3
		// flight is how long an order is under way at the most.
		flight = 500 * time.Millisecond
	)
	for seed := uint64(1); seed <= 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 7))
		g := &group{}
		leases := make([]*lease.Lease, members)
		blocked := make([]time.Duration, members)
		frozen := make([]time.Duration, members)
		renewed := make([]time.Duration, members)
		for i := range leases {
			leases[i] = &lease.Lease{
				TurnTime: turn,
				Parts:    parts,
			}
		}
		lastHolder, lastOrder, lastFence := -1, time.Duration(0), int64(0)
		for now := time.Duration(0); now < length; now += step {
			for i, l := range leases {
				if random.Float64() < 0.002 {
					blocked[i] = now + rand2(random, 14*time.Second)
				}
				if random.Float64() < 0.001 {
					frozen[i] = now + rand2(random, 14*time.Second)
				}
				if now < frozen[i] {
					continue
				}
				name := string(rune('a' + i))
				if now >= blocked[i] && now-renewed[i] >= lease.RenewEvery {
					if membership, ok := g.join(name, now); ok {
						l.Joined(membership, now, now, false)
						renewed[i] = now
					}
				}
				if !l.MayOrder(now) {
					continue
				}
				arrives := now + rand2(random, flight)
				if lastHolder >= 0 && lastHolder != i {
					if now-lastOrder < turn {
						t.Fatalf("seed %d: %s ordered at %s, another holder's order arrived at %s", seed, name, now, lastOrder)
					}
					if l.Generation() <= lastFence {
						t.Fatalf("seed %d: fence %d after %d", seed, l.Generation(), lastFence)
					}
				}
				lastHolder, lastFence = i, l.Generation()
				lastOrder = max(lastOrder, arrives)
			}
		}
		if lastHolder < 0 {
			t.Fatalf("seed %d: nobody ever ordered", seed)
		}
	}
}

func rand2(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
