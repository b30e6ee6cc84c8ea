package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestBlockIsForgottenWhenAllInstancesStartAnew guards against a request that ends further
// servers after all instances, and what they knew, were gone at once.
func TestBlockIsForgottenWhenAllInstancesStartAnew(t *testing.T) {
	store, address, _ := newStoreWithWorker(t)
	servers := &crashingWorkers{t: t, store: store, service: "app"}
	for n := range 8 {
		servers.start([]string{"north", "south"}[n%2])
	}
	// sendBad starts instances and sends them the request that ends servers for 6 s.
	sendBad := func() (instances []*instance) {
		instances = startInTwoDomains(t, address)
		for _, i := range instances {
			eventually(t, "serves", func() bool { return i.sendTo("probe", "/lookup/probe") == http.StatusOK })
		}
		for n := range 20 {
			instances[n%len(instances)].sendTo(fmt.Sprint("bad-", n), "/lookup/bad")
			time.Sleep(300 * time.Millisecond)
		}
		return instances
	}
	for _, i := range sendBad() {
		i.stopAndWait(t)
	}
	before, _ := servers.crashesAfterWindow(1, 0)
	sendBad()
	after, _ := servers.crashesAfterWindow(1, 0)
	t.Logf("%d servers ended before all instances started anew, %d after", before, after-before)
	if after > before {
		t.Errorf("%d servers ended under a request that was blocked before", after-before)
	}
}
