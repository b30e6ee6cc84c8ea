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
	setFaults := func(faults standin.Faults) {
		for _, worker := range f.orders {
			worker.SetFaults(faults)
		}
	}
	scenarios := []struct {
		name string
		// faults and logOut apply during the first attempt only.
		faults standin.Faults
		logOut bool
		// key is true if both attempts carry the same idempotency key.
		key bool
		// first is the refusal outcome expected of the first attempt, empty if the
		// application worker's answer is expected; repeat is that of a repeat at
		// another daemon.
		first  string
		repeat string
		// runs is how often the two attempts together must run the call.
		runs int
	}{
		{
			name: "a repeat of an order that ran is answered without running it again",
			key:  true,
			runs: 1,
		},
		{
			name: "without an idempotency key each call runs",
			runs: 2,
		},
		{
			name:   "a connection lost before the call runs leaves the outcome unknown",
			faults: standin.Faults{DropBefore: true},
			key:    true,
			first:  "outcomeUnknown",
			repeat: "outcomeUnknown",
			runs:   0,
		},
		{
			name:   "an answer lost after the call ran leaves the outcome unknown, and it does not run again",
			faults: standin.Faults{LoseAnswers: true},
			key:    true,
			first:  "outcomeUnknown",
			repeat: "outcomeUnknown",
			runs:   1,
		},
		{
			name:   "during a log outage an order with a key is refused without running, and its repeat runs",
			logOut: true,
			key:    true,
			first:  "notRun",
			runs:   1,
		},
		{
			name:   "a refusal by the application worker is passed to the caller",
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
			setFaults(scenario.faults)
			if scenario.logOut {
				f.log.SetFaults(standin.Faults{Down: true})
			}
			first := f.sendOrder(i%3, f.key, key, body)
			setFaults(standin.Faults{})
			f.log.SetFaults(standin.Faults{})
			if first.refusal.Outcome != scenario.first {
				t.Errorf("first attempt: outcome %q (%s), want %q", first.refusal.Outcome, first.refusal.Message, scenario.first)
			}
			if first.refusal.Outcome == "notRun" && f.runCounts()[body] > 0 {
				t.Error("an order with outcome notRun did run")
			}
			if scenario.logOut {
				time.Sleep(2 * time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			repeat := f.sendOrder((i+1)%3, f.key, key, body)
			if repeat.refusal.Outcome != scenario.repeat {
				t.Errorf("repeat: outcome %q (%s), want %q", repeat.refusal.Outcome, repeat.refusal.Message, scenario.repeat)
			}
			if runs := f.runCounts()[body]; runs != scenario.runs {
				t.Errorf("the order ran %d times, want %d", runs, scenario.runs)
			}
		})
	}
}

func TestAnIdempotencyKeyIdentifiesOneRequest(t *testing.T) {
	f := start(t, 1)
	if got := f.sendOrder(0, f.key, "same", "first"); got.status != http.StatusOK {
		t.Fatalf("status %d %+v", got.status, got.refusal)
	}
	got := f.sendOrder(1, f.key, "same", "second")
	if got.refusal.Code != "intentMismatch" {
		t.Errorf("another request with the same idempotency key got %+v", got.refusal)
	}
	if f.runCounts()["second"] > 0 {
		t.Error("the second request ran")
	}
}
