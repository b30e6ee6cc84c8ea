package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestSpeedsAreLearnedFromAnswers plays servers that are three times slower or
// faster than the initial speeds, with answers that tell nothing among them.
func TestSpeedsAreLearnedFromAnswers(t *testing.T) {
	for _, factor := range []float64{1.0 / 3, 1, 3} {
		t.Run(fmt.Sprintf("%.2f times the initial speed", factor), func(t *testing.T) {
			board := fleet.NewBoard("north")
			prompt := time.Duration(float64(dispatch.Speeds{}.PrefillTime(8000)) / factor)
			plain := time.Duration(float64(dispatch.Speeds{}.PlainCallTime()) / factor)
			for range 100 {
				board.RecordPrefill(8000, prompt)
				board.RecordPrefill(100, prompt)
				board.RecordPlainCall("app", plain)
			}
			learned := board.Speeds("app")
			for name, times := range map[string][2]time.Duration{
				"prefill": {prompt, learned.PrefillTime(8000)},
				"call":    {plain, learned.PlainCallTime()},
			} {
				if ratio := times[1].Seconds() / times[0].Seconds(); ratio < 0.9 || ratio > 1.1 {
					t.Errorf("%s: expected %s, takes %s", name, times[1], times[0])
				}
			}
		})
	}
}

// TestOneOddAnswerHardlyChangesSpeeds bounds what a single measurement does.
func TestOneOddAnswerHardlyChangesSpeeds(t *testing.T) {
	for _, took := range []time.Duration{time.Microsecond, time.Hour} {
		board := fleet.NewBoard("north")
		before := board.Speeds("app").PrefillTime(8000)
		board.RecordPrefill(8000, took)
		board.RecordPlainCall("app", took)
		after := board.Speeds("app").PrefillTime(8000)
		if after < before*9/10 || after > 2*before {
			t.Errorf("an answer after %s changes a prompt from %s to %s", took, before, after)
		}
		if call := board.Speeds("app").PlainCallTime(); call > 200*time.Millisecond {
			t.Errorf("an answer after %s changes a call to %s", took, call)
		}
	}
}
