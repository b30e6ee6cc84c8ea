package controllers_test

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/controllers"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/placement"
	"github.com/pomelospring/pomelospring/queue"
)

// TestOwnerThatLeftTheListIsAskedWhileInUse guards against requests that waited for a
// lost owner, which counted as reachable because nobody asked it any more.
func TestOwnerThatLeftTheListIsAskedWhileInUse(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = frozen.Close() })
	board := blackboard.New(pomelospring.Instance{ID: "self", Domain: "north"})
	logger := &log.Logger{Handler: discard.New()}
	scheduler := ownership.NewScheduler(queue.NewFair(), placement.StallSaving{})
	controller := controllers.NewDirectoryController(&controllers.Common{
		Board:  board,
		Peers:  peer.NewClient(nil),
		Owner:  ownership.NewOwner(scheduler, nil, nil, logger, time.Now, 0),
		Logger: logger,
		Clock:  time.Now,
	})
	release := board.BeginUse("other", frozen.Addr().String())
	go func() { _ = controller.Run(t.Context()) }()
	for deadline := time.Now().Add(5 * time.Second); board.Reachable("other", time.Now()); {
		if time.Now().After(deadline) {
			t.Fatal("an owner that answers nothing counts as reachable")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); {
		if !board.Reachable("other", time.Now()) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		t.Fatal("the owner counts as reachable again")
	}
	release()
	if left := board.InUse(); len(left) > 0 {
		t.Errorf("still in use: %v", left)
	}
}
