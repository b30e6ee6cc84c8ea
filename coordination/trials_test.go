package coordination_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/quarantine"
)

// TestBlockIsTriedByManyInstances guards against trials that several instances let through
// at the same time, before one is due, or of a block that the leader does not know.
func TestBlockIsTriedByManyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		leader := startLeader(ctx, &singleWorker{})
		register := quarantine.NewRegister()
		server := &coordination.Server{
			Leaders:    map[string]*coordination.Leader{"north": leader},
			Quarantine: register,
		}
		for n := range 3 {
			time.Sleep(time.Second)
			register.RecordCrash(fmt.Sprint(n), []quarantine.Call{{Team: "shop", Request: "request:1"}}, time.Now(), time.Now())
		}
		// ask returns how many of some instances may let a call through.
		ask := func(block string) (granted int) {
			for range 5 {
				reply, err := server.Try(ctx, &coordinationpb.TryRequest{Domain: "north", Block: block})
				if err != nil {
					t.Fatal(err)
				}
				if reply.Granted {
					granted++
				}
			}
			return granted
		}
		early := ask("request:1")
		time.Sleep(31 * time.Second)
		got := []int{early, ask("request:2"), ask("request:1"), ask("request:1")}
		if diff := cmp.Diff([]int{0, 0, 1, 0}, got); diff != "" {
			t.Error(diff)
		}
		if _, err := server.Try(ctx, &coordinationpb.TryRequest{Domain: "south", Block: "request:1"}); err == nil {
			t.Error("a trial was answered without leading")
		}
	})
}
