package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/platform"
)

// putPolicy writes a configuration with one key.
func putPolicy(put func(topic, key string, value []byte), version int, key string) {
	put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, version, key))
}

// After a restore, the operator's next configuration has a lower offset than the one
// in force. It was ignored for good.
func TestConfigurationAtAReusedOffsetIsInForce(t *testing.T) {
	store, address, _ := newStoreWithWorker(t)
	a, b := startInstance(t, "a", address), startInstance(t, "b", address)
	eventually(t, "both serve", func() bool { return a.serves("k1", "a1") && b.serves("k1", "a1") })
	time.Sleep(time.Second)
	putPolicy(store.Put, 2, "k2")
	putPolicy(store.Put, 3, "k3")
	eventually(t, "both accept the third key", func() bool { return a.serves("k3", "a1") && b.serves("k3", "a1") })
	store.Rewind(time.Second, 500*time.Millisecond)
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		for _, i := range []*instance{a, b} {
			status, _, err := i.send("r", "k1", "a1")
			if diff := cmp.Diff(http.StatusUnauthorized, status); diff != "" {
				t.Errorf("withdrawn key: %s, %v", diff, err)
			}
			if !i.ready() || !i.serves("k3", "a1") {
				t.Error("an instance is not ready or does not serve after the restore")
			}
		}
	}
	putPolicy(store.Put, 4, "k4")
	startedAt := time.Now()
	eventually(t, "both accept the fourth key", func() bool { return a.serves("k4", "a1") && b.serves("k4", "a1") })
	if elapsed := time.Since(startedAt); elapsed > 2*time.Second {
		t.Errorf("active after %s, want at most 2 s", elapsed)
	}
}

// The copy lacks a server that registered since, and still lists one that has left.
func TestServersSinceTheCopyAreKept(t *testing.T) {
	store, address, w := newStoreWithWorker(t)
	gone := newWorker(t, "i-gone")
	gone.adapters["a2"] = true
	store.Put(platform.ServerTopic, gone.id, gone.entry("ready"))
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	time.Sleep(time.Second)
	store.Put(platform.ServerTopic, gone.id, nil)
	newcomer := newWorker(t, "i-new")
	store.Put(platform.ServerTopic, newcomer.id, newcomer.entry("ready"))
	store.Put(platform.ServerTopic, w.id, nil)
	eventually(t, "the newcomer loads", func() bool { return a.serves("k1", "a3") && newcomer.holds("a3") })
	store.Rewind(time.Second, 500*time.Millisecond)
	time.AfterFunc(1500*time.Millisecond, func() { store.Put(platform.ServerTopic, newcomer.id, newcomer.entry("ready")) })
	before := gone.executed() + w.executed()
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		if !a.serves("k1", "a3") {
			t.Error("the instance does not serve from the server that the copy lacks")
		}
		a.serves("k1", "a2")
	}
	if diff := cmp.Diff(before, gone.executed()+w.executed()); diff != "" {
		t.Errorf("requests at servers that had left: %s", diff)
	}
	store.Put(platform.ServerTopic, newcomer.id, newcomer.entry("draining"))
	eventually(t, "the draining server gets no more requests", func() bool {
		status, _, _ := a.send("r", "k1", "a3")
		return status == http.StatusServiceUnavailable
	})
}

func (w *worker) holds(adapter string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.adapters[adapter]
}

// executed counts the executions of all requests.
func (w *worker) executed() (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, executions := range w.executions {
		count += executions
	}
	return count
}
