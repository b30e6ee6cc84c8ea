package front_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const silencePolicy = `{"version":1,"routes":[
	{"name":"lookup","host":"shop.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":1600,"target-latency-ms":200,"service":"app","max-attempts":2},
	{"name":"proof","host":"shop.example","path-prefix":"/proof/","kind":"streaming","resumable":true,"timeout-ms":8000,"target-latency-ms":1000,"gap-target-ms":250,"service":"llm","max-attempts":2}],
	"services":[{"name":"app"},{"name":"llm","engine":{"adapter-slots":8,"loads-per-s":1,"models":[{"name":"m","load-s":1}]}}],
	"limits":{"max-body-bytes":1000}}`

// silenceDuration is how long a sound server is silent.
const silenceDuration = 1300 * time.Millisecond

// silenceableWorker is a worker that can fall silent: it accepts connections and
// requests, but nothing of it leaves until the silence is over.
type silenceableWorker struct {
	*worker
	mu    sync.Mutex
	until time.Time
}

func newSilenceableWorker(t *testing.T, id string) *silenceableWorker {
	s := &silenceableWorker{worker: newWorker(t, id)}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *silenceableWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	s.await()
	s.worker.ServeHTTP(&silenceableWriter{ResponseWriter: out, server: s}, r)
}

func (s *silenceableWorker) fallSilent(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(duration)
}

func (s *silenceableWorker) await() {
	s.mu.Lock()
	until := s.until
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// resident returns the adapters that the worker holds.
func (s *silenceableWorker) resident() map[string]bool {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	return maps.Clone(s.adapters)
}

// executed counts the executed requests whose ID has a prefix.
func (s *silenceableWorker) executed(prefix string) (count int) {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	for id, executions := range s.executions {
		if strings.HasPrefix(id, prefix) {
			count += executions
		}
	}
	return count
}

type silenceableWriter struct {
	http.ResponseWriter
	server *silenceableWorker
}

func (w *silenceableWriter) Write(p []byte) (int, error) {
	w.server.await()
	return w.ResponseWriter.Write(p)
}

func (w *silenceableWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startWithSilenceableWorkers starts a front before two workers of a service.
func startWithSilenceableWorkers(t *testing.T, service string) (i *instance, workers []*silenceableWorker) {
	t.Helper()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(silencePolicy))
	for n := range 2 {
		w := newSilenceableWorker(t, fmt.Sprintf("i-%d", n))
		workers = append(workers, w)
		store.Put(platform.ServerTopic, w.id, []byte(strings.Replace(string(w.entry("ready")), `"llm"`, fmt.Sprintf("%q", service), 1)))
	}
	config := newConfig(t, "a", strings.TrimPrefix(server.URL, "http://"))
	config.Bounds.RetrySlack = retrySlack
	i = start(t, config)
	eventually(t, "ready", i.ready)
	return i, workers
}

// callEvery sends calls at an interval for a duration, does not wait for one
// before the next, and returns what the callers got.
func callEvery(duration, interval time.Duration, send func(n int) received) (results []received) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for n := range int(duration / interval) {
		group.Go(func() {
			got := send(n)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		time.Sleep(interval)
	}
	group.Wait()
	return results
}

func (i *instance) stream(id, adapter string) received {
	status, body, err := i.send(id, "", adapter)
	return received{
		Status:   status,
		Body:     fmt.Sprint(strings.Count(body, "id:"), " events"),
		Complete: err == nil,
	}
}

// TestSilenceOfASoundModelWorkerMovesNothing guards against streams that run a
// second time, and adapters that are loaded elsewhere, because a worker was silent
// for a second.
func TestSilenceOfASoundModelWorkerMovesNothing(t *testing.T) {
	i, workers := startWithSilenceableWorkers(t, "llm")
	for n := range 8 {
		eventually(t, "every adapter is served", func() bool {
			return i.stream("warm-up", fmt.Sprint("a", n)).Status == http.StatusOK
		})
	}
	silent, other := workers[0], workers[1]
	if len(other.resident()) > len(silent.resident()) {
		silent, other = other, silent
	}
	held, elsewhere := silent.resident(), other.resident()
	adapters := slices.Sorted(maps.Keys(held))
	for _, w := range workers {
		w.worker.mu.Lock()
		w.eventCount, w.eventInterval = 10, 50*time.Millisecond
		w.worker.mu.Unlock()
	}
	var group sync.WaitGroup
	var running, during, others []received
	group.Go(func() {
		running = callEvery(200*time.Millisecond, 20*time.Millisecond, func(n int) received {
			return i.stream(fmt.Sprint("running-", n), adapters[n%len(adapters)])
		})
	})
	time.Sleep(300 * time.Millisecond)
	silent.fallSilent(silenceDuration)
	group.Go(func() {
		during = callEvery(silenceDuration, 50*time.Millisecond, func(n int) received {
			return i.stream(fmt.Sprint("during-", n), adapters[n%len(adapters)])
		})
	})
	group.Go(func() {
		others = callEvery(silenceDuration, 300*time.Millisecond, func(n int) received {
			return i.stream(fmt.Sprint("other-", n), fmt.Sprint("new", n))
		})
	})
	time.Sleep(silenceDuration)
	after := callEvery(time.Second, 50*time.Millisecond, func(n int) received {
		return i.stream(fmt.Sprint("after-", n), adapters[n%len(adapters)])
	})
	group.Wait()
	whole := received{Status: http.StatusOK, Body: "10 events", Complete: true}
	for _, got := range slices.Concat(running, during, after, others) {
		if diff := cmp.Diff(whole, got); diff != "" {
			t.Error(diff)
		}
	}
	moved := 0
	for adapter := range other.resident() {
		if held[adapter] && !elsewhere[adapter] {
			moved++
		}
	}
	t.Logf("of %d adapters %d were loaded elsewhere; runs at the silent worker and the other one: %d and %d of %d running, %d and %d of %d during, %d and %d of %d after",
		len(held), moved, silent.executed("running"), other.executed("running"), len(running),
		silent.executed("during"), other.executed("during"), len(during), silent.executed("after"), other.executed("after"), len(after))
	if moved > 0 {
		t.Errorf("%d of %d adapters were loaded elsewhere", moved, len(held))
	}
	if runs := silent.executed("running") + other.executed("running"); runs != len(running) {
		t.Errorf("%d runs of %d streams", runs, len(running))
	}
	if runs := silent.executed("after"); runs < len(after)/2 {
		t.Errorf("%d of %d calls after the silence ran at the worker", runs, len(after))
	}
}

// TestSilenceOfASoundApplicationWorkerIsForgotten guards against an application
// worker that stays out of use after a second of silence.
func TestSilenceOfASoundApplicationWorkerIsForgotten(t *testing.T) {
	i, workers := startWithSilenceableWorkers(t, "app")
	client := &http.Client{Transport: &http.Transport{}}
	lookup := func(prefix string) func(n int) received {
		return func(n int) received {
			got, _ := i.call(client, "/lookup/", fmt.Sprint(prefix, n))
			return got
		}
	}
	for _, w := range workers {
		w.worker.mu.Lock()
		w.eventCount, w.eventInterval = 1, 80*time.Millisecond
		w.worker.mu.Unlock()
	}
	const interval = 7 * time.Millisecond
	callEvery(time.Second, interval, lookup("before-"))
	workers[0].fallSilent(silenceDuration)
	during := callEvery(silenceDuration, interval, lookup("during-"))
	after := callEvery(time.Second, interval, lookup("after-"))
	later := callEvery(time.Second, interval, lookup("later-"))
	for _, got := range slices.Concat(during, after, later) {
		if got.Status != http.StatusOK || !got.Complete {
			t.Errorf("status %d, complete %v", got.Status, got.Complete)
		}
	}
	silent, other := workers[0], workers[1]
	t.Logf("runs at the silent worker and the other one: %d and %d before, %d and %d during, %d and %d of %d after, %d and %d of %d later",
		silent.executed("before"), other.executed("before"), silent.executed("during"), other.executed("during"),
		silent.executed("after"), other.executed("after"), len(after), silent.executed("later"), other.executed("later"), len(later))
	if runs := silent.executed("after"); runs < len(after)/4 {
		t.Errorf("%d of %d calls after the silence ran at the worker", runs, len(after))
	}
}
