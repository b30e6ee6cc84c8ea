package coordination_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/peer"
)

// startKeeper keeps the starts that it is told of.
type startKeeper struct {
	mu     sync.Mutex
	starts map[string]pomelospring.StreamStart
}

func (k *startKeeper) Told(starts []pomelospring.StreamStart) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, start := range starts {
		k.starts[start.Call] = start
	}
}

func (k *startKeeper) Lookup(_ context.Context, calls []string) (starts []pomelospring.StreamStart, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, call := range calls {
		if start, found := k.starts[call]; found {
			starts = append(starts, start)
		}
	}
	return starts, true
}

// keeperFleet is a directory at three leaders, each of its own domain.
type keeperFleet struct {
	keepers   []*startKeeper
	listeners []net.Listener
	members   []*coordination.Member
	directory *coordination.StreamDirectory
}

func newKeeperFleet(t *testing.T) *keeperFleet {
	f := &keeperFleet{}
	logger := &log.Logger{Handler: discard.New()}
	peers := peer.NewClient(nil)
	t.Cleanup(func() { _ = peers.Close() })
	for n := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		keeper := &startKeeper{starts: map[string]pomelospring.StreamStart{}}
		server := &coordination.Server{Starts: keeper}
		go func() { _ = server.Run(t.Context(), listener) }()
		member := &coordination.Member{
			Domain:  fmt.Sprint("domain", n),
			Address: "here",
			Peers:   peers,
			Logger:  logger,
			Clock:   time.Now,
		}
		member.SetLeader(listener.Addr().String())
		f.keepers, f.listeners, f.members = append(f.keepers, keeper), append(f.listeners, listener), append(f.members, member)
	}
	f.directory = coordination.NewStreamDirectory(f.members, logger)
	go func() { _ = f.directory.Run(t.Context()) }()
	return f
}

// freeze replaces the leader of a domain by one that accepts connections and does not
// answer.
func (f *keeperFleet) freeze(t *testing.T, n int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f.members[n].SetLeader(listener.Addr().String())
}

// copies counts the instances that keep the start of each call, by call.
func (f *keeperFleet) copies(call string) (count int) {
	for _, keeper := range f.keepers {
		if starts, _ := keeper.Lookup(context.Background(), []string{call}); len(starts) > 0 {
			count++
		}
	}
	return count
}

// TestStartIsKnownToOneInstanceOnly guards against starts of streams that are lost with the
// instance that began them, or with one leader, and against waiting for a silent one.
func TestStartIsKnownToOneInstanceOnly(t *testing.T) {
	const calls = 30
	scenarios := []struct {
		name          string
		before, after func(t *testing.T, f *keeperFleet)
		// copies is how many instances must keep each start, untold how many starts none
		// can be told of.
		copies, untold int
	}{
		{name: "a leader for each domain", copies: 2},
		{name: "a leader is frozen before", copies: 2, before: func(t *testing.T, f *keeperFleet) { f.freeze(t, 1) }},
		{name: "a leader is lost before", copies: 2, before: func(_ *testing.T, f *keeperFleet) { f.members[2].SetLeader("") }},
		{name: "a leader is frozen after", copies: 2, after: func(t *testing.T, f *keeperFleet) { f.freeze(t, 0) }},
		{name: "a leader is lost after", copies: 2, after: func(_ *testing.T, f *keeperFleet) { f.members[1].SetLeader("") }},
		{name: "one instance leads two domains", copies: 2, before: func(_ *testing.T, f *keeperFleet) {
			f.members[1].SetLeader(f.listeners[0].Addr().String())
		}},
		{name: "no leader is known", untold: calls, before: func(_ *testing.T, f *keeperFleet) {
			for _, member := range f.members {
				member.SetLeader("")
			}
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			f := newKeeperFleet(t)
			if scenario.before != nil {
				scenario.before(t, f)
			}
			starts := make([]pomelospring.StreamStart, 0, calls)
			for n := range calls {
				starts = append(starts, pomelospring.StreamStart{
					Call:          fmt.Sprint("r", n),
					Service:       "llm",
					Software:      "v1",
					ServerStarted: time.UnixMilli(1000),
					At:            time.UnixMilli(2000),
				})
			}
			if diff := cmp.Diff(scenario.untold, len(f.directory.Tell(starts))); diff != "" {
				t.Fatalf("untold: %s", diff)
			}
			deadline := time.Now().Add(5 * time.Second)
			for _, start := range starts {
				for f.copies(start.Call) < scenario.copies && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				if diff := cmp.Diff(scenario.copies, f.copies(start.Call)); diff != "" {
					t.Errorf("copies of %s: %s", start.Call, diff)
				}
			}
			if scenario.after != nil {
				scenario.after(t, f)
			}
			for _, want := range starts[scenario.untold:] {
				answer := f.directory.Ask(t.Context(), want.Call)
				if diff := cmp.Diff(pomelospring.StartAnswer{Start: want, Found: true, Answered: true, Complete: true}, answer); diff != "" {
					t.Errorf("the start of %s: %s", want.Call, diff)
				}
			}
		})
	}
}
