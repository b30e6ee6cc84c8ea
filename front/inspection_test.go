package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// inspect reads what an instance shows operators under a path.
func inspect[T any](t *testing.T, i *instance, path string) (views []T) {
	t.Helper()
	response, err := http.Get("http://" + i.config.Listen.Metrics + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&views); err != nil {
		t.Fatal(err)
	}
	return views
}

// remove sends DELETE for a path to an instance and returns the status.
func remove(t *testing.T, i *instance, path string) (status int) {
	t.Helper()
	request, err := http.NewRequest(http.MethodDelete, "http://"+i.config.Listen.Metrics+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

type block struct {
	Parts   []string
	Teams   []string
	Crashes int
	Servers []string
}

// TestLiftedBlockStaysInForceElsewhere guards against a block that an operator lifts at
// one instance and that others keep.
func TestLiftedBlockStaysInForceElsewhere(t *testing.T) {
	store, address, _ := newStoreWithWorker(t)
	servers := &crashingWorkers{t: t, store: store, service: "app"}
	for n := range 6 {
		servers.start([]string{"north", "south"}[n%2])
	}
	instances := startInTwoDomains(t, address)
	for _, i := range instances {
		eventually(t, "serves", func() bool { return i.sendTo("probe", "/order/probe") == http.StatusOK })
	}
	eventually(t, "blocked", func() bool {
		time.Sleep(300 * time.Millisecond)
		return instances[0].sendTo("bad", "/order/bad") == http.StatusServiceUnavailable
	})
	var blocks []block
	for _, i := range instances {
		eventually(t, "shown", func() bool {
			blocks = inspect[block](t, i, "/blocks")
			return len(blocks) == 1
		})
	}
	if diff := cmp.Diff([]int{1, 3, 3}, []int{len(blocks[0].Parts), blocks[0].Crashes, len(blocks[0].Servers)}); diff != "" {
		t.Errorf("%+v: %s", blocks[0], diff)
	}
	if diff := cmp.Diff(http.StatusNotFound, remove(t, instances[0], "/blocks/other")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(http.StatusNoContent, remove(t, instances[0], "/blocks/"+blocks[0].Parts[0])); diff != "" {
		t.Error(diff)
	}
	for _, i := range instances {
		eventually(t, "lifted", func() bool { return len(inspect[block](t, i, "/blocks")) == 0 })
	}
}

// TestLimitIsNotShown guards against a limit that an instance keeps and doesn't show.
func TestLimitIsNotShown(t *testing.T) {
	type limit struct {
		Server    string
		PerSecond float64
	}
	_, address, w := newStoreWithWorker(t)
	a, b := startInstance(t, "a", address), startInstance(t, "b", address)
	eventually(t, "both serve", func() bool { return a.serves("k1", "a1") && b.serves("k1", "a1") })
	if diff := cmp.Diff([]limit{}, inspect[limit](t, b, "/limits")); diff != "" {
		t.Error(diff)
	}
	w.nameLimit(2.5)
	if status, _, err := a.send("first", "k1", "a1"); status != http.StatusOK {
		t.Fatal(status, err)
	}
	eventually(t, "shown at the other instance", func() bool {
		return fmt.Sprint(inspect[limit](t, b, "/limits")) == fmt.Sprint([]limit{{Server: w.id, PerSecond: 2.5}})
	})
	w.nameLimit(0)
	w.mu.Lock()
	w.header = nil
	w.mu.Unlock()
	eventually(t, "ended", func() bool { return a.serves("k1", "a1") && len(inspect[limit](t, b, "/limits")) == 0 })
}
