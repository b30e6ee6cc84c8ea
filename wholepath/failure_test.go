package wholepath_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/operator"
	"github.com/pomelospring/pomelospring/standin"
)

func TestAKilledInstanceIsTakenOver(t *testing.T) {
	f := start(t, 2)
	l := startLoad(f, 2, 3, 4, 5)
	time.Sleep(time.Second)
	f.daemons[0].signal(t, syscall.SIGKILL)
	time.Sleep(leaseTime + 2*time.Second)
	servedBefore := len(f.models[0].Records().Served)
	f.eventually("the killed instance's model worker serves again", func() bool {
		return len(f.models[0].Records().Served) > servedBefore
	})
	l.finish(t)
	f.checkWorkers()
}

// An instance that was paused for longer than its lease must not act on the
// servers that it owned before.
func TestAPausedInstanceDoesNoHarmWhenItResumes(t *testing.T) {
	f := start(t, 2)
	l := startLoad(f, 2, 3, 4, 5)
	time.Sleep(time.Second)
	f.daemons[0].signal(t, syscall.SIGSTOP)
	f.daemons[2].signal(t, syscall.SIGSTOP)
	time.Sleep(leaseTime + 2*time.Second)
	f.daemons[0].signal(t, syscall.SIGCONT)
	f.daemons[2].signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	l.finish(t)
	f.checkWorkers()
}

// The standing part of the budget outlasts the leased part, so that requests are
// admitted during an outage of the log.
func TestRequestsAreServedDuringALogOutageLongerThanTheBudgetLease(t *testing.T) {
	f := start(t, 2)
	l := startLoad(f, 0, 2, 4)
	time.Sleep(time.Second)
	f.log.SetFaults(standin.Faults{
		Down: true,
	})
	f.instanceList.SetFaults(standin.Faults{
		Down: true,
	})
	time.Sleep(budgetLeaseTime + time.Second)
	completeBefore := l.complete.Load()
	time.Sleep(time.Second)
	if l.complete.Load() == completeBefore {
		t.Error("no request is served during the log outage")
	}
	f.log.SetFaults(standin.Faults{})
	f.instanceList.SetFaults(standin.Faults{})
	f.eventually("a change is accepted after the log outage", func() bool {
		status, _ := f.tryCommand(0, operator.Request{
			Text: "set team red rate 100001",
		})
		return status == http.StatusOK
	})
	l.finish(t)
	if l.interrupted.Load() > 0 {
		t.Errorf("%d answers were interrupted", l.interrupted.Load())
	}
	f.checkWorkers()
}

// A failure domain that cannot reach the log gets changes from its peers in other
// failure domains.
func TestADomainCutOffFromTheLogServesAndGetsChangesFromPeers(t *testing.T) {
	f := start(t, 1)
	f.logProxies["a"].setCut(true)
	l := startLoad(f, 0, 1)
	time.Sleep(leaseTime + time.Second)
	f.command(1, "withdraw key web")
	withdrawn := time.Now()
	f.eventually("the domain that is cut off refuses the withdrawn key", func() bool {
		return f.chat(0, "red0@v1", "still?").refusal.Code == "keyUnknown"
	})
	t.Logf("the withdrawal is in effect in the domain that is cut off after %v", time.Since(withdrawn).Round(time.Millisecond))
	if time.Since(withdrawn) > 5*time.Second {
		t.Errorf("the withdrawn key was accepted for %v", time.Since(withdrawn))
	}
	l.finish(t)
	f.checkWorkers()
}

func TestAPlannedStopCutsNoRequest(t *testing.T) {
	f := start(t, 2)
	long := strings.Repeat("word ", 300)
	var group sync.WaitGroup
	answers := make([]answer, 24)
	for i := range answers {
		group.Go(func() {
			answers[i] = f.chatWith(context.Background(), i%6, f.key, fmt.Sprintf("red%d@v1", i%4), long, 400)
		})
	}
	time.Sleep(700 * time.Millisecond)
	stopping := f.daemons[0]
	stopping.signal(t, syscall.SIGTERM)
	f.daemons[3].signal(t, syscall.SIGTERM)
	group.Wait()
	incomplete := 0
	for i, got := range answers {
		if !got.complete {
			incomplete++
			t.Errorf("request %d to daemon %d: status %d %v %+v", i, i%6, got.status, got.err, got.refusal)
		}
	}
	t.Logf("%d of %d running requests did not complete", incomplete, len(answers))
	select {
	case <-stopping.exited:
	case <-time.After(10 * time.Second):
		t.Error("the stopped daemon does not exit")
	}
	f.checkWorkers()
}

func TestAWithdrawnKeyEndsRunningStreams(t *testing.T) {
	f := start(t, 1)
	secret := f.command(0, "create key short team red").Secret
	long := strings.Repeat("word ", 1500)
	ended := make(chan answer, len(f.daemons))
	for n := range f.daemons {
		go func() {
			ended <- f.chatWith(context.Background(), n, secret, "red0@v1", long, 2000)
		}()
	}
	time.Sleep(time.Second)
	withdrawn := time.Now()
	f.command(1, "withdraw key short")
	for range f.daemons {
		got := <-ended
		if got.complete || got.refusal.Code != "keyWithdrawn" {
			t.Errorf("a stream of the withdrawn key ended with %+v, complete %t", got.refusal, got.complete)
		}
	}
	t.Logf("all streams ended %v after the withdrawal was requested", time.Since(withdrawn).Round(time.Millisecond))
	if time.Since(withdrawn) > 5*time.Second {
		t.Errorf("streams of the withdrawn key ran for %v", time.Since(withdrawn))
	}
	for n := range f.daemons {
		if got := f.chatWith(context.Background(), n, secret, "red0@v1", "again", 5); got.status != http.StatusUnauthorized {
			t.Errorf("daemon %d responds to the withdrawn key with status %d", n, got.status)
		}
	}
}

func TestAFloodingTeamStaysWithinItsRateAndBurst(t *testing.T) {
	const rate, burst = 400, 800
	f := start(t, 2)
	key := f.command(0, "create key flood team blue").Secret
	f.eventually("the adapter is loaded", func() bool {
		return f.chatWith(context.Background(), 0, key, "blue0@v1", "warm", 5).complete
	})
	stop := time.Now().Add(6 * time.Second)
	var group sync.WaitGroup
	for n := range f.daemons {
		for range 3 {
			group.Go(func() {
				for time.Now().Before(stop) {
					got := f.chatWith(context.Background(), n, key, "blue0@v1", strings.Repeat("w ", 20), 30)
					if got.refusal.Code == "overRate" && got.refusal.RetryAt == "" {
						t.Error("an overRate refusal has no retry time")
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	f.daemons[1].signal(t, syscall.SIGKILL)
	f.daemons[2].signal(t, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	f.daemons[2].signal(t, syscall.SIGCONT)
	group.Wait()
	boundUse, tokens := f.maxBoundUse("blue0", rate, burst, 50*time.Millisecond)
	t.Logf("the team received %d tokens, at most %.3f of the bound over any window", tokens, boundUse)
	if boundUse > 1 {
		t.Errorf("the team received %.3f of the bound", boundUse)
	}
}

func TestOneOfConflictingChangesIsAccepted(t *testing.T) {
	f := start(t, 1)
	var group sync.WaitGroup
	statuses := make([]int, 3)
	replies := make([]operator.Reply, 3)
	readOffset := f.command(0, "status").Table.Rows[0][2]
	var offset int64
	_, _ = fmt.Sscan(readOffset, &offset)
	for n := range f.daemons {
		group.Go(func() {
			statuses[n], replies[n] = f.tryCommand(n, operator.Request{
				Text:        fmt.Sprintf("set team blue rate %d", 100+n),
				MadeAgainst: offset + 1,
			})
		})
	}
	group.Wait()
	accepted := 0
	for n, status := range statuses {
		switch status {
		case http.StatusOK:
			accepted++
		case http.StatusConflict:
			if replies[n].Change == nil || replies[n].Change.ConflictOffset < 0 {
				t.Errorf("the refused change does not name the accepted one: %+v", replies[n])
			}
		default:
			t.Errorf("status %d: %s", status, replies[n].Error)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of 3 conflicting changes were accepted", accepted)
	}
}

func TestADrainedServerGetsNoNewWork(t *testing.T) {
	f := start(t, 1)
	l := startLoad(f, 0, 1, 2)
	time.Sleep(time.Second)
	f.command(0, "drain model-a; drain orders-a")
	drained := time.Now()
	time.Sleep(3 * time.Second)
	l.finish(t)
	var last time.Time
	for _, served := range f.models[0].Records().Served {
		if served.At.After(last) {
			last = served.At
		}
	}
	t.Logf("the last new request arrived %v after the drain was accepted", last.Sub(drained).Round(time.Millisecond))
	if last.Sub(drained) > 2*time.Second {
		t.Errorf("a new request arrived %v after the drain", last.Sub(drained))
	}
	f.checkWorkers()
}
