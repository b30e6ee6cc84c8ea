package front_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// limitWindow is the time in which a worker's requests are counted, and
	// limitStableTime the time after which its limit binds.
	limitWindow     = 4 * time.Second
	limitStableTime = 3 * time.Second
)

// allowedRequests is the number of requests that a worker with a limit may get in a
// window.
func allowedRequests(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// nameLimit lets a worker name a limit in all its responses.
func (w *worker) nameLimit(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.header = map[string]string{standin.HeaderLimit: fmt.Sprint(perSecond)}
}

// mostRequests returns the largest number of requests that arrived in a window that
// begins after a time.
func (w *worker) mostRequests(after time.Time) (most int) {
	return w.mostWithin(limitWindow, after, time.Now())
}

// mostWithin returns the largest number of requests that arrived in a window that begins
// after a time, until another.
func (w *worker) mostWithin(window time.Duration, after, until time.Time) (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, first := range w.requests {
		if first.Before(after) {
			continue
		}
		count := 0
		for _, at := range w.requests[i:] {
			if at.Sub(first) < window && at.Before(until) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// listWorkers lists workers in addition to the first one.
func listWorkers(t *testing.T, store *standin.Store, first *worker, count int) (workers []*worker) {
	workers = []*worker{first}
	for n := 2; n <= count; n++ {
		w := newWorker(t, fmt.Sprintf("i-%d", n))
		store.Put(platform.ServerTopic, w.id, w.entry("ready"))
		workers = append(workers, w)
	}
	return workers
}

// sendMany sends perSecond requests for some adapters to each instance until a time, and
// returns their number by status, 0 for no complete response, and the reasons of refusals.
func sendMany(instances []*instance, perSecond int, until time.Time) (counts map[int]int, reasons map[string]int) {
	counts, reasons = map[int]int{}, map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		for k, i := range instances {
			group.Go(func() {
				status, body, err := i.send(fmt.Sprintf("%d-%d", k, n), "k1", fmt.Sprintf("a%d", (n+k)%6))
				if err != nil {
					status = 0
				}
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
				if status != http.StatusOK {
					reasons[body]++
				}
			})
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return counts, reasons
}

// TestLimitOfAServerIsExceededByTheFleet guards against instances that each keep the
// limit of a server for themselves, or not at all.
func TestLimitOfAServerIsExceededByTheFleet(t *testing.T) {
	const perInstance = 15
	scenarios := []struct {
		name string
		// limits are those that the workers name; 0 for none.
		limits []float64
		// domains are the failure domains of the instances; none for all in one.
		domains []string
		// stopsLeader stops the instance that leads while the limits hold.
		stopsLeader bool
		// served is the least fraction of the requests that must be served.
		served float64
	}{
		{name: "one a second beside two sound servers", limits: []float64{1, 0, 0}, served: 0.97},
		{name: "one in two seconds beside two sound servers", limits: []float64{0.5, 0, 0}, served: 0.97},
		{name: "instances in other failure domains", limits: []float64{1, 0, 0}, domains: []string{"north", "south", "south", "east"}, served: 0.97},
		{name: "a leader that stops", limits: []float64{1, 0, 0}, stopsLeader: true, served: 0.8},
		{name: "four a second beside two sound servers", limits: []float64{4, 0, 0}, served: 0.97},
		{name: "both servers", limits: []float64{5, 5}, served: 0.8 * 10 / 60},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			store, address, first := newStoreWithWorker(t)
			workers := listWorkers(t, store, first, len(scenario.limits))
			var leader *instance
			if scenario.stopsLeader {
				// The first instance of a domain leads it.
				leader = startInstance(t, "leader", address)
				eventually(t, "serves", func() bool { return leader.serves("k1", "a0") })
			}
			instances := make([]*instance, 0, 4)
			for n := range cap(instances) {
				config := newConfig(t, fmt.Sprintf("front-%d", n), address)
				if scenario.domains != nil {
					config.Domain, config.Domains = scenario.domains[n], []string{"east", "north", "south"}
				}
				instances = append(instances, start(t, config))
			}
			for n, i := range instances {
				eventually(t, "serves", func() bool { return i.serves("k1", fmt.Sprintf("a%d", n)) })
			}
			for n, limit := range scenario.limits {
				if limit > 0 {
					workers[n].nameLimit(limit)
				}
			}
			began := time.Now()
			if leader != nil {
				time.AfterFunc(limitStableTime+time.Second, leader.stop)
			}
			counts, reasons := sendMany(instances, perInstance, began.Add(limitStableTime+2*limitWindow))
			sent := 0
			for _, count := range counts {
				sent += count
			}
			t.Logf("%d requests by status: %v; refused: %v", sent, counts, reasons)
			for n, limit := range scenario.limits {
				if limit == 0 {
					continue
				}
				most := workers[n].mostRequests(began.Add(limitStableTime))
				t.Logf("server %d named %v a second and got %d requests in 4 s, allowed %d", n, limit, most, allowedRequests(limit))
				if most > allowedRequests(limit) {
					t.Errorf("server %d got too many", n)
				}
			}
			if got := float64(counts[http.StatusOK]) / float64(sent); got < scenario.served {
				t.Errorf("%.2f of the requests were served, want %.2f", got, scenario.served)
			}
		})
	}
}
