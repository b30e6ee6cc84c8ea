package front_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

// serveBoth sends requests for the adapter to the instances until a time, at 20 a
// second each, and returns the number of responses other than 200.
func serveBoth(until time.Time, adapter string, instances ...*instance) (failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		for _, i := range instances {
			group.Go(func() {
				status, _, err := i.send(fmt.Sprintf("load-%s-%d", i.config.Name, n), "k1", adapter)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status != 200 {
					failed++
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	return failed
}

// A worker that announces in its responses that it leaves, while the server list
// still calls it ready, must get no requests and no orders from any instance.
func TestWorkerThatAnnouncesLeavingGetsNothingNew(t *testing.T) {
	store, address, w := newStoreWithWorker(t)
	a, b := startInstance(t, "a", address), startInstance(t, "b", address)
	eventually(t, "both serve", func() bool { return a.serves("k1", "a1") && b.serves("k1", "a1") })
	other := newWorker(t, "i-2")
	store.Put(platform.ServerTopic, other.id, other.entry("ready"))
	time.Sleep(time.Second)
	w.mu.Lock()
	w.header = map[string]string{standin.HeaderLeaving: "1"}
	w.mu.Unlock()
	// Only a gets a response that says so; b learns it from the leader.
	if status, _, err := a.send("last", "k1", "a1"); status != 200 {
		t.Fatalf("status %d, %v", status, err)
	}
	announcedAt := time.Now()
	if failed := serveBoth(announcedAt.Add(time.Second), "a1", a); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	requests, orders := w.arrivals(announcedAt)
	if diff := cmp.Diff([]int{0, 0}, []int{requests, orders}); diff != "" {
		t.Errorf("requests and orders from a: %s", diff)
	}
	sharedAt := time.Now()
	if failed := serveBoth(sharedAt.Add(2*time.Second), "a2", a, b); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	requests, orders = w.arrivals(sharedAt)
	if diff := cmp.Diff([]int{0, 0}, []int{requests, orders}); diff != "" {
		t.Errorf("requests and orders from both: %s", diff)
	}
}

// A worker that rejects a request with 503 and Retry-After must get at most two
// requests from the instance between half a second later and the end of that time,
// and more after it.
func TestWorkerThatAsksForAPauseGetsOne(t *testing.T) {
	const pause = 3 * time.Second
	store, address, w := newStoreWithWorker(t)
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	other := newWorker(t, "i-2")
	store.Put(platform.ServerTopic, other.id, other.entry("ready"))
	time.Sleep(time.Second)
	w.mu.Lock()
	w.retryAfter = "3"
	w.mu.Unlock()
	begin := time.Now()
	if failed := serveBoth(begin.Add(pause-200*time.Millisecond), "a1", a); failed > 0 {
		t.Errorf("%d requests failed beside a worker without a pause", failed)
	}
	requests, orders := w.arrivals(begin.Add(600 * time.Millisecond))
	if requests+orders > 2 {
		t.Errorf("%d requests and %d orders during the pause, want at most 2", requests, orders)
	}
	// With the other worker gone, the first one serves again after its pause.
	w.mu.Lock()
	w.retryAfter = ""
	w.mu.Unlock()
	store.Put(platform.ServerTopic, other.id, other.entry("draining"))
	eventually(t, "serves after the pause", func() bool { return a.serves("k1", "a1") })
}
