package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// coldTime is how long workers are cold, coldPerSecond what they then take.
	coldTime      = 6 * time.Second
	coldPerSecond = 4
	// coldKnownTime is the time after which it is known that a worker which served turned
	// cold, two heartbeats.
	coldKnownTime = 2 * coldBeat
	coldBeat      = 600 * time.Millisecond
	// allowedWhileCold is the number of requests that a cold worker may get in a second.
	allowedWhileCold = coldPerSecond*3/2 + 5
)

// coldPolicy is policy with workers that may be cold.
func coldPolicy() string {
	terms := fmt.Sprintf(`{"name":"llm","cold-s":%v,"cold-per-s":%d,`, coldTime.Seconds(), coldPerSecond)
	return strings.Replace(policy, `{"name":"llm",`, terms, 1)
}

// beatCold writes a worker's entry in the store until it is no longer cold.
func beatCold(store *standin.Store, w *worker, until time.Time) {
	for {
		left := max(0, time.Until(until).Milliseconds())
		entry := strings.Replace(string(w.entry("ready")), `"seq"`, fmt.Sprintf(`"cold-left-ms":%d,"seq"`, left), 1)
		store.Put(platform.ServerTopic, w.id, []byte(entry))
		if left == 0 {
			return
		}
		time.Sleep(coldBeat)
	}
}

// TestColdServerIsOverrun guards against cold servers that get as many requests as warm
// ones, and against such that get none although calls are refused.
func TestColdServerIsOverrun(t *testing.T) {
	const perInstance = 15
	scenarios := []struct {
		name string
		// cold is the number of the three workers that are cold, and anew says that these
		// replace others that served.
		cold int
		anew bool
		// stopsLeader stops the instance that leads while they are cold.
		stopsLeader bool
		// served is the least fraction of the requests that must be served.
		served float64
	}{
		{name: "one turns cold beside two warm ones", cold: 1, served: 0.97},
		{name: "all turn cold", cold: 3, served: 0.5 * 3 * coldPerSecond / (4 * perInstance)},
		{name: "all start cold", cold: 3, anew: true, served: 0.5 * 3 * coldPerSecond / (4 * perInstance)},
		{name: "all start cold and the leader stops", cold: 3, anew: true, stopsLeader: true, served: 0.25 * 3 * coldPerSecond / (4 * perInstance)},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			store, address, first := newStoreWithWorker(t)
			store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, coldPolicy(), 2, "k1"))
			workers := listWorkers(t, store, first, 3)
			leader := startInstance(t, "leader", address)
			eventually(t, "serves", func() bool { return leader.serves("k1", "a0") })
			instances := make([]*instance, 0, 4)
			for n := range cap(instances) {
				instances = append(instances, startInstance(t, fmt.Sprintf("front-%d", n), address))
			}
			for n, i := range instances {
				eventually(t, "serves", func() bool { return i.serves("k1", fmt.Sprintf("a%d", n)) })
			}
			countedFrom := time.Now().Add(coldKnownTime)
			if scenario.anew {
				for n, former := range workers {
					workers[n] = newWorker(t, fmt.Sprintf("i-new-%d", n))
					store.Put(platform.ServerTopic, former.id, nil)
				}
				countedFrom = time.Now()
			}
			until := time.Now().Add(coldTime)
			for _, w := range workers[:scenario.cold] {
				go beatCold(store, w, until)
			}
			if scenario.stopsLeader {
				time.AfterFunc(time.Second, leader.stop)
			}
			counts, reasons := sendMany(instances, perInstance, until)
			sent := 0
			for _, count := range counts {
				sent += count
			}
			t.Logf("%d requests by status: %v; refused: %v", sent, counts, reasons)
			for n, w := range workers[:scenario.cold] {
				most := w.mostWithin(time.Second, countedFrom, until)
				got, _ := w.arrivals(countedFrom)
				t.Logf("server %d got at most %d requests in a second, allowed %d, and %d in all", n, most, allowedWhileCold, got)
				if most > allowedWhileCold {
					t.Errorf("server %d got too many", n)
				}
				// The others may serve all calls.
				if got == 0 && counts[http.StatusOK] < sent {
					t.Errorf("server %d got none while calls were refused", n)
				}
			}
			if got := float64(counts[http.StatusOK]) / float64(sent); got < scenario.served {
				t.Errorf("%.3f of the requests were served, want %.3f", got, scenario.served)
			}
			for n, i := range instances {
				eventually(t, "serves after that", func() bool { return i.serves("k1", fmt.Sprintf("a%d", n)) })
			}
		})
	}
}
