package wholepath_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load sends requests to some daemons of a fleet and counts their outcomes.
type load struct {
	fleet       *fleet
	stop        chan struct{}
	group       sync.WaitGroup
	sent        atomic.Int64
	complete    atomic.Int64
	refused     atomic.Int64
	interrupted atomic.Int64
	failed      atomic.Int64
	wrong       atomic.Int64
	// codes holds the last message of each refusal code.
	codes sync.Map
}

// startLoad starts three callers for each of the given daemons.
func startLoad(f *fleet, daemons ...int) *load {
	l := &load{
		fleet: f,
		stop:  make(chan struct{}),
	}
	for _, n := range daemons {
		for c := range 3 {
			l.group.Go(func() { l.runCaller(n, c) })
		}
	}
	return l
}

// runCaller sends requests to daemon n, one after another, until the load stops.
func (l *load) runCaller(n, c int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		model := fmt.Sprintf("red%d@v%d", (i+c)%8, 1+i%2)
		marker := fmt.Sprintf("mark-%d-%d-%d", n, c, i)
		l.sent.Add(1)
		l.record(model, marker, l.fleet.chat(n, model, marker+" and a few more words"))
	}
}

// record counts an answer by its outcome, and as wrong if it names another model
// or lacks the marker of its request.
func (l *load) record(model, marker string, got answer) {
	switch {
	case got.status == 200 && got.complete:
		l.complete.Add(1)
	case got.status == 200:
		l.interrupted.Add(1)
	case got.err != nil:
		l.failed.Add(1)
	default:
		l.refused.Add(1)
		l.codes.Store(got.refusal.Code, got.refusal.Message)
		time.Sleep(20 * time.Millisecond)
	}
	if got.complete && (!strings.Contains(got.text, "of "+model+" to") || !strings.Contains(got.text, marker)) {
		l.wrong.Add(1)
	}
}

// finish stops the callers and logs their outcomes. It fails the test if an answer
// was wrong or none was complete.
func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	codes := []string{}
	l.codes.Range(func(code, message any) bool {
		codes = append(codes, fmt.Sprintf("%v (%v)", code, message))
		return true
	})
	t.Logf("sent %d: %d complete, %d refused, %d interrupted, %d without an answer, %d wrong; refusals: %v",
		l.sent.Load(), l.complete.Load(), l.refused.Load(), l.interrupted.Load(), l.failed.Load(), l.wrong.Load(), codes)
	if l.wrong.Load() > 0 {
		t.Errorf("%d answers belong to another request or come from another adapter", l.wrong.Load())
	}
	if l.complete.Load() == 0 {
		t.Error("no request got a complete answer")
	}
}

// maxBoundUse returns the maximum over all windows of the tokens that an adapter
// received, by the model workers' records, divided by rate x window + burst, and
// the total tokens received. It adds transitTime to each window because the
// workers receive a request later than it is charged.
func (f *fleet) maxBoundUse(adapter string, rate, burst float64, transitTime time.Duration) (maxUse float64, tokens int64) {
	type record struct {
		at     time.Time
		tokens float64
	}
	var records []record
	for _, worker := range f.models {
		for _, served := range worker.Records().Served {
			if strings.HasPrefix(served.Model, adapter) {
				records = append(records, record{
					at:     served.At,
					tokens: float64(served.PromptTokens + served.CompletionTokens),
				})
				tokens += served.PromptTokens + served.CompletionTokens
			}
		}
	}
	for _, first := range records {
		for _, last := range records {
			if last.at.Before(first.at) {
				continue
			}
			var sum float64
			for _, r := range records {
				if !r.at.Before(first.at) && !r.at.After(last.at) {
					sum += r.tokens
				}
			}
			maxUse = max(maxUse, sum/(rate*(last.at.Sub(first.at)+transitTime).Seconds()+burst))
		}
	}
	return maxUse, tokens
}
