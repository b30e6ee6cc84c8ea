package wholepath_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

func TestOrdersRunAtMostOnce(t *testing.T) {
	f := start(t, 1)
	all := func(faults standin.Faults) {
		for _, worker := range f.orders {
			worker.SetFaults(faults)
		}
	}
	scenarios := []struct {
		name string
		// faults are in force for the first attempt only.
		faults standin.Faults
		logOut bool
		key    bool
		// first is the outcome that the first attempt must say, empty for an
		// answer; repeat likewise for a repeat at another daemon.
		first  string
		repeat string
		runs   int
	}{
		{
			name: "an order that runs is answered, and its repeat gets the same answer",
			key:  true,
			runs: 1,
		},
		{
			name: "without a key each call is an order of its own",
			runs: 2,
		},
		{
			name:   "a connection lost before the work leaves the outcome unknown",
			faults: standin.Faults{DropBefore: true},
			key:    true,
			first:  "outcomeUnknown",
			repeat: "outcomeUnknown",
			runs:   0,
		},
		{
			name:   "an answer lost after the work leaves the outcome unknown, and nothing runs again",
			faults: standin.Faults{LoseAnswers: true},
			key:    true,
			first:  "outcomeUnknown",
			repeat: "outcomeUnknown",
			runs:   1,
		},
		{
			name:   "while the log is out an order with a key is refused, truly not run, and its repeat may run",
			logOut: true,
			key:    true,
			first:  "notRun",
			runs:   1,
		},
		{
			name:   "a worker that refuses answers for itself",
			faults: standin.Faults{Down: true},
			key:    true,
			first:  "",
			runs:   0,
		},
	}
	for i, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			body := fmt.Sprintf("order %d", i)
			key := ""
			if scenario.key {
				key = fmt.Sprintf("key-%d", i)
			}
			all(scenario.faults)
			if scenario.logOut {
				f.log.SetFaults(standin.Faults{Down: true})
			}
			first := f.order(i%3, f.key, key, body)
			all(standin.Faults{})
			f.log.SetFaults(standin.Faults{})
			if first.refusal.Outcome != scenario.first {
				t.Errorf("the first attempt says %q (%s), not %q", first.refusal.Outcome, first.refusal.Message, scenario.first)
			}
			if first.refusal.Outcome == "notRun" && f.ran()[body] > 0 {
				t.Error("an order that was said not to have run did run")
			}
			if scenario.logOut {
				time.Sleep(2 * time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			repeat := f.order((i+1)%3, f.key, key, body)
			if repeat.refusal.Outcome != scenario.repeat {
				t.Errorf("the repeat says %q (%s), not %q", repeat.refusal.Outcome, repeat.refusal.Message, scenario.repeat)
			}
			if runs := f.ran()[body]; runs != scenario.runs {
				t.Errorf("it ran %d times, not %d", runs, scenario.runs)
			}
		})
	}
}

func TestAKeyStandsForOneRequest(t *testing.T) {
	f := start(t, 1)
	if got := f.order(0, f.key, "same", "first"); got.status != http.StatusOK {
		t.Fatalf("status %d %+v", got.status, got.refusal)
	}
	got := f.order(1, f.key, "same", "second")
	if got.refusal.Code != "intentMismatch" {
		t.Errorf("another request under the same key is answered with %+v", got.refusal)
	}
	if f.ran()["second"] > 0 {
		t.Error("the second request ran")
	}
}
