package coordination_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pomelospring/pomelospring/coordination"
)

// TestRelayWaitsForALeaderThatWaitsForIt guards against a member that holds its lock while
// it asks the leaders, which ask their members while they hold theirs.
func TestRelayWaitsForALeaderThatWaitsForIt(t *testing.T) {
	member := &coordination.Member{
		Domain: "north",
		Logger: &log.Logger{Handler: discard.New()},
		Clock:  time.Now,
	}
	member.LeadsAny = member.LeaderAnswers
	member.SetLeader("instance")
	done := make(chan bool, 1)
	go func() { done <- member.OperatorsRelayed() || member.ServersRelayed() }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("no answer after 5 s")
	}
}
