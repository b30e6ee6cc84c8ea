package coordination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestPermitsOfEndedInstancesAreLost guards against the room of brittle servers that is
// kept for instances that ended, and against permits that are given twice.
func TestPermitsOfEndedInstancesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		leader := startLeader(ctx, &singleWorker{})
		server := leader.Board.Servers()[0]
		leader.Board.RecordBrittleness(fleet.Brittleness{Server: server.ID, Started: server.Started, Brittle: true, RejectionsPerSecond: 20, At: time.Now()}, time.Now())
		instances := &coordination.Server{Leaders: map[string]*coordination.Leader{"north": leader}}
		number := int64(0)
		asks := func(instance string, patience time.Duration) (granted bool) {
			number++
			reply, err := instances.Permit(ctx, &coordinationpb.PermitRequest{
				Domain:               "north",
				Instance:             instance,
				Number:               number,
				Servers:              []*coordinationpb.ServerBrittleness{{Server: server.ID, Started: server.Started.UnixMilli(), Brittle: true, RejectionsPerSecond: 20}},
				PatienceMilliseconds: patience.Milliseconds(),
				ExpiryMilliseconds:   time.Minute.Milliseconds(),
			})
			return err == nil && reply.Server == server.ID
		}
		returns := func(instance string, number int64) {
			if _, err := instances.ReturnPermits(ctx, &coordinationpb.ReturnPermitsRequest{Domain: "north", Instance: instance, Permits: []*coordinationpb.ReturnedPermit{{Number: number}}}); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(time.Second)
		for range server.Slots - 1 {
			if !asks("a", 0) {
				t.Fatal("a gets no permit although there is room")
			}
		}
		got := make([]bool, 0, 5)
		got = append(got, asks("a", 0), asks("b", 0))
		returns("a", number-1)
		got = append(got, asks("b", 0), asks("a", 200*time.Millisecond))
		time.Sleep(2 * time.Second)
		got = append(got, asks("a", 0))
		if diff := cmp.Diff([]bool{true, false, true, false, true}, got); diff != "" {
			t.Errorf("permits for a, for b, for b after a returned its own, for a beside that, and for a after both ended: %s", diff)
		}
		cancel()
	})
}
