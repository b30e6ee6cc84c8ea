package coordination_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
)

const groupParts = 4

// groups is a group service whose first member holds all partitions.
type groups struct {
	mu      sync.Mutex
	holder  string
	queries int
	// away says that the service answers nobody.
	away bool
}

func (g *groups) Join(_ context.Context, _, member string, _ int64, _ time.Duration) (pomelospring.Membership, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.away {
		return pomelospring.Membership{}, errors.New("no answer")
	}
	if g.holder == "" {
		g.holder = member
	}
	if g.holder != member {
		return pomelospring.Membership{Generation: 1}, nil
	}
	return pomelospring.Membership{Generation: 1, Parts: groupParts}, nil
}

func (g *groups) MarkEraSettled(context.Context, string, string, int64) error { return nil }

func (g *groups) Leave(context.Context, string, string) error { return nil }

func (g *groups) Owners(context.Context, string) (pomelospring.Ownership, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queries++
	if g.away {
		return pomelospring.Ownership{}, errors.New("no answer")
	}
	if g.holder == "" {
		return pomelospring.Ownership{}, nil
	}
	return pomelospring.Ownership{
		Owners: map[string]int{g.holder: groupParts},
	}, nil
}

// TestFirstStartElectsOneLeaderWithFewQueries starts a domain of instances at
// once and checks that all find the same leader soon, with about one call each.
func TestFirstStartElectsOneLeaderWithFewQueries(t *testing.T) {
	const instances = 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := &groups{}
		began := time.Now()
		members := make([]*coordination.Member, 0, instances)
		for i := range instances {
			board := fleet.NewBoard("north")
			logger := &log.Logger{Handler: discard.New()}
			leader := coordination.NewLeader(0, groupParts)
			leader.Domain, leader.Domains = "north", 1
			leader.AnsweringDomains = func() int { return 1 }
			leader.Board = board
			leader.Logger = logger
			leader.Clock = time.Now
			leader.Uptime = func() time.Duration { return time.Since(began) }
			leader.Eras = &coordination.StoreEras{Logger: logger, Uptime: leader.Uptime}
			member := &coordination.Member{
				Domain:   "north",
				Address:  fmt.Sprint("instance", i),
				Board:    board,
				Ledger:   quota.NewLedger(1, func() float64 { return 0 }),
				Leader:   leader,
				Logger:   logger,
				Clock:    time.Now,
				LeadsAny: leader.Leading,
			}
			members = append(members, member)
			election := &coordination.Election{
				Groups:          service,
				Group:           "orders",
				FirstFleetStart: true,
				LeadersKnown:    func() bool { return false },
				Leader:          leader,
				Member:          member,
				Address:         member.Address,
				Logger:          logger,
				Uptime:          leader.Uptime,
				ProcessorShare:  0.2 + 0.6*float64(i%4)/3,
			}
			go func() { _ = election.Run(ctx) }()
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		for _, member := range members {
			if diff := cmp.Diff(service.holder, member.Known()); diff != "" {
				t.Errorf("leader of %s: %s", member.Address, diff)
			}
		}
		service.mu.Lock()
		defer service.mu.Unlock()
		if service.queries > instances*3/2 {
			t.Errorf("%d queries of %d instances", service.queries, instances)
		}
		cancel()
	})
}
