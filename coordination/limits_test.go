package coordination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestTurnsOfFormerHoldersAreGivenAgain guards against a new leader, or an instance that
// lost its leader, that gives out at once what others may have given out just before.
func TestTurnsOfFormerHoldersAreGivenAgain(t *testing.T) {
	const limit = 4.0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		leader := startLeader(ctx, &singleWorker{})
		server := leader.Board.Servers()[0]
		leader.Board.RecordLimit(fleet.ServerLimit{Server: server.ID, Started: server.Started, PerSecond: limit, At: time.Now()}, time.Now())
		member := &coordination.Member{
			Domain:  "north",
			Address: "instance",
			Board:   leader.Board,
			Leader:  leader,
			Logger:  &log.Logger{Handler: discard.New()},
			Clock:   time.Now,
		}
		// sendFor asks for a turn often and returns how long the first one took, and how
		// many there were.
		sendFor := func(length time.Duration) (first time.Duration, count int) {
			for began := time.Now(); time.Since(began) < length; time.Sleep(10 * time.Millisecond) {
				if !member.Reserve(ctx, server, "shop", time.Now()).Granted {
					continue
				}
				if count++; count == 1 {
					first = time.Since(began)
				}
			}
			return first, count
		}
		if first, count := sendFor(10 * time.Second); count > 0 {
			t.Errorf("%d sends without a leader and without a number of instances, the first after %s", count, first)
		}
		member.SetLeader("instance")
		if first, count := sendFor(10 * time.Second); first < 200*time.Millisecond || count < 38 || count > 42 {
			t.Errorf("%d sends with a new leader, the first after %s, want one in 250 ms", count, first)
		}
		member.SetLeader("")
		if first, count := sendFor(10 * time.Second); count > 0 {
			t.Errorf("%d sends after the leader was lost, the first after %s", count, first)
		}
	})
}

// TestReservationWaitsForALostLeader guards against calls that wait for a leader which is
// known not to answer.
func TestReservationWaitsForALostLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := fleet.NewBoard("north")
		server := pomelospring.FleetServer{ID: "a", Service: "llm", Domain: "north"}
		board.SetServers(map[string]pomelospring.FleetServer{"a": server}, time.Now())
		board.RecordLimit(fleet.ServerLimit{Server: "a", PerSecond: 1, At: time.Now()}, time.Now())
		member := &coordination.Member{
			Domain: "north",
			Board:  board,
			Logger: &log.Logger{Handler: discard.New()},
			Clock:  time.Now,
		}
		began := time.Now()
		member.Reserve(t.Context(), server, "shop", began.Add(time.Second))
		if took := time.Since(began); took > 0 {
			t.Errorf("the reservation took %s", took)
		}
	})
}
