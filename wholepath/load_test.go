package wholepath_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load is a steady stream of requests to some daemons of a fleet.
type load struct {
	fleet   *fleet
	stop    chan struct{}
	group   sync.WaitGroup
	sent    atomic.Int64
	whole   atomic.Int64
	refused atomic.Int64
	broken  atomic.Int64
	failed  atomic.Int64
	wrong   atomic.Int64
	// codes counts refusals by code.
	codes sync.Map
}

// startLoad keeps several callers asking each of the daemons named.
func startLoad(f *fleet, daemons ...int) *load {
	l := &load{
		fleet: f,
		stop:  make(chan struct{}),
	}
	for _, n := range daemons {
		for c := range 3 {
			l.group.Go(func() { l.callers(n, c) })
		}
	}
	return l
}

func (l *load) callers(n, c int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		model := fmt.Sprintf("red%d@v%d", (i+c)%8, 1+i%2)
		mark := fmt.Sprintf("mark-%d-%d-%d", n, c, i)
		l.sent.Add(1)
		l.count(model, mark, l.fleet.ask(n, model, mark+" and a few more words"))
	}
}

func (l *load) count(model, mark string, got answer) {
	switch {
	case got.status == 200 && got.whole:
		l.whole.Add(1)
	case got.status == 200:
		l.broken.Add(1)
	case got.err != nil:
		l.failed.Add(1)
	default:
		l.refused.Add(1)
		l.codes.Store(got.refusal.Code, got.refusal.Message)
		time.Sleep(20 * time.Millisecond)
	}
	if got.whole && (!strings.Contains(got.text, "of "+model+" to") || !strings.Contains(got.text, mark)) {
		l.wrong.Add(1)
	}
}

// end stops the callers and reports what they got.
func (l *load) end(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	codes := []string{}
	l.codes.Range(func(code, message any) bool {
		codes = append(codes, fmt.Sprintf("%v (%v)", code, message))
		return true
	})
	t.Logf("sent %d: %d whole, %d refused, %d broken off, %d without an answer, %d wrong; refusals: %v",
		l.sent.Load(), l.whole.Load(), l.refused.Load(), l.broken.Load(), l.failed.Load(), l.wrong.Load(), codes)
	if l.wrong.Load() > 0 {
		t.Errorf("%d answers belong to another request or come from another adapter", l.wrong.Load())
	}
	if l.whole.Load() == 0 {
		t.Error("no request was answered whole")
	}
}

// worstRatio is the most that a team's adapter received over any window, by
// the model workers' records, against rate x window + burst. transit is added
// to each window: the workers see a request later than it was charged.
func (f *fleet) worstRatio(adapter string, rate, burst float64, transit time.Duration) (worst float64, tokens int64) {
	type use struct {
		at     time.Time
		tokens float64
	}
	var uses []use
	for _, worker := range f.models {
		for _, served := range worker.Records().Served {
			if strings.HasPrefix(served.Model, adapter) {
				uses = append(uses, use{
					at:     served.At,
					tokens: float64(served.PromptTokens + served.CompletionTokens),
				})
				tokens += served.PromptTokens + served.CompletionTokens
			}
		}
	}
	for _, first := range uses {
		for _, last := range uses {
			if last.at.Before(first.at) {
				continue
			}
			var sum float64
			for _, u := range uses {
				if !u.at.Before(first.at) && !u.at.After(last.at) {
					sum += u.tokens
				}
			}
			worst = max(worst, sum/(rate*(last.at.Sub(first.at)+transit).Seconds()+burst))
		}
	}
	return worst, tokens
}
