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
	before := len(f.models[0].Records().Served)
	f.eventually("the killed instance's model worker serves again", func() bool {
		return len(f.models[0].Records().Served) > before
	})
	l.end(t)
	f.checkWorkers()
}

func TestAFrozenInstanceDoesNoHarmWhenItGoesOn(t *testing.T) {
	f := start(t, 2)
	l := startLoad(f, 2, 3, 4, 5)
	time.Sleep(time.Second)
	f.daemons[0].signal(t, syscall.SIGSTOP)
	f.daemons[2].signal(t, syscall.SIGSTOP)
	time.Sleep(leaseTime + 2*time.Second)
	f.daemons[0].signal(t, syscall.SIGCONT)
	f.daemons[2].signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	l.end(t)
	f.checkWorkers()
}

func TestTheLogIsOutForLongerThanTheLease(t *testing.T) {
	f := start(t, 2)
	l := startLoad(f, 0, 2, 4)
	time.Sleep(time.Second)
	f.log.SetFaults(standin.Faults{
		Down: true,
	})
	f.list.SetFaults(standin.Faults{
		Down: true,
	})
	time.Sleep(leased + time.Second)
	during := l.whole.Load()
	time.Sleep(time.Second)
	if l.whole.Load() == during {
		t.Error("nothing is served while the log is out")
	}
	f.log.SetFaults(standin.Faults{})
	f.list.SetFaults(standin.Faults{})
	f.eventually("a change is accepted again", func() bool {
		status, _ := f.tryCommand(0, operator.Request{
			Text: "set team red rate 100001",
		})
		return status == http.StatusOK
	})
	l.end(t)
	if l.broken.Load() > 0 {
		t.Errorf("%d answers broke off", l.broken.Load())
	}
	f.checkWorkers()
}

func TestADomainCutFromThePlatformServesOnAndHearsFromPeers(t *testing.T) {
	f := start(t, 1)
	f.logs["a"].setCut(true)
	l := startLoad(f, 0, 1)
	time.Sleep(leaseTime + time.Second)
	f.command(1, "withdraw key web")
	withdrawn := time.Now()
	f.eventually("the cut domain refuses the withdrawn key", func() bool {
		return f.ask(0, "red0@v1", "still?").refusal.Code == "keyUnknown"
	})
	t.Logf("in force in the cut domain after %v", time.Since(withdrawn).Round(time.Millisecond))
	if time.Since(withdrawn) > 5*time.Second {
		t.Errorf("the withdrawn key worked for %v", time.Since(withdrawn))
	}
	l.end(t)
	f.checkWorkers()
}

func TestAPlannedStopCutsNoRequest(t *testing.T) {
	f := start(t, 2)
	long := strings.Repeat("word ", 300)
	var group sync.WaitGroup
	answers := make([]answer, 24)
	for i := range answers {
		group.Go(func() {
			answers[i] = f.askWith(context.Background(), i%6, f.key, fmt.Sprintf("red%d@v1", i%4), long, 400)
		})
	}
	time.Sleep(700 * time.Millisecond)
	stopping := f.daemons[0]
	stopping.signal(t, syscall.SIGTERM)
	f.daemons[3].signal(t, syscall.SIGTERM)
	group.Wait()
	cut := 0
	for i, got := range answers {
		if !got.whole {
			cut++
			t.Errorf("request %d to daemon %d: status %d %v %+v", i, i%6, got.status, got.err, got.refusal)
		}
	}
	t.Logf("%d of %d running requests were cut", cut, len(answers))
	select {
	case <-stopping.done:
	case <-time.After(10 * time.Second):
		t.Error("the stopped daemon does not end")
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
			ended <- f.askWith(context.Background(), n, secret, "red0@v1", long, 2000)
		}()
	}
	time.Sleep(time.Second)
	withdrawn := time.Now()
	f.command(1, "withdraw key short")
	for range f.daemons {
		got := <-ended
		if got.whole || got.refusal.Code != "keyWithdrawn" {
			t.Errorf("a stream of the withdrawn key ended with %+v, whole %t", got.refusal, got.whole)
		}
	}
	t.Logf("all streams ended %v after the withdrawal was sent", time.Since(withdrawn).Round(time.Millisecond))
	if time.Since(withdrawn) > 5*time.Second {
		t.Errorf("streams of the withdrawn key ran for %v", time.Since(withdrawn))
	}
	for n := range f.daemons {
		if got := f.askWith(context.Background(), n, secret, "red0@v1", "again", 5); got.status != http.StatusUnauthorized {
			t.Errorf("daemon %d answers the withdrawn key with status %d", n, got.status)
		}
	}
}

func TestAFloodingTeamGetsNoMoreThanItsShare(t *testing.T) {
	const rate, burst = 400, 800
	f := start(t, 2)
	key := f.command(0, "create key flood team blue").Secret
	f.eventually("the adapter is loaded", func() bool {
		return f.askWith(context.Background(), 0, key, "blue0@v1", "warm", 5).whole
	})
	stop := time.Now().Add(6 * time.Second)
	var group sync.WaitGroup
	for n := range f.daemons {
		for range 3 {
			group.Go(func() {
				for time.Now().Before(stop) {
					got := f.askWith(context.Background(), n, key, "blue0@v1", strings.Repeat("w ", 20), 30)
					if got.refusal.Code == "overRate" && got.refusal.RetryAt == "" {
						t.Error("a refusal over the rate does not say when to come back")
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
	worst, tokens := f.worstRatio("blue0", rate, burst, 50*time.Millisecond)
	t.Logf("received %d tokens, at worst %.3f of the bound over any window", tokens, worst)
	if worst > 1 {
		t.Errorf("%.3f of the bound was received", worst)
	}
}

func TestOperatorsRace(t *testing.T) {
	f := start(t, 1)
	var group sync.WaitGroup
	statuses := make([]int, 3)
	replies := make([]operator.Reply, 3)
	seen := f.command(0, "status").Table.Rows[0][2]
	var offset int64
	_, _ = fmt.Sscan(seen, &offset)
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
				t.Errorf("the loser is not told which change won: %+v", replies[n])
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
	l.end(t)
	var last time.Time
	for _, served := range f.models[0].Records().Served {
		if served.At.After(last) {
			last = served.At
		}
	}
	t.Logf("last new work %v after the drain was accepted", last.Sub(drained).Round(time.Millisecond))
	if last.Sub(drained) > 2*time.Second {
		t.Errorf("new work %v after the drain", last.Sub(drained))
	}
	f.checkWorkers()
}
