package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

// workerRestartTime is how long a worker that crashed is away.
const workerRestartTime = time.Second

// crashingWorkers are workers that end when they begin to answer a prompt with the part
// bad, or a request to a path that ends with it, and come back as others.
type crashingWorkers struct {
	t       *testing.T
	store   *standin.Store
	service string

	mu      sync.Mutex
	started int
	crashes []time.Time
}

// start starts a worker in a failure domain and lists it.
func (c *crashingWorkers) start(domain string) {
	c.mu.Lock()
	c.started++
	w := newWorker(c.t, fmt.Sprintf("i-%d", c.started))
	w.service = c.service
	c.mu.Unlock()
	execute := w.server.Config.Handler
	w.server.Config.Handler = http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get(standin.HeaderPromptPrefix), "bad:") && !strings.HasSuffix(r.URL.Path, "/bad") {
			execute.ServeHTTP(out, r)
			return
		}
		w.mu.Lock()
		_, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
		resident := adapter == "" || w.adapters[adapter]
		w.mu.Unlock()
		if !resident {
			execute.ServeHTTP(out, r)
			return
		}
		c.crash(w, domain)
		panic(http.ErrAbortHandler)
	})
	entry := strings.Replace(string(w.entry("ready")), `"zone":"north"`, fmt.Sprintf(`"zone":%q`, domain), 1)
	c.store.Put(platform.ServerTopic, w.id, []byte(entry))
}

// crash ends a worker. Its entry goes a while later, when another one starts.
func (c *crashingWorkers) crash(w *worker, domain string) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	_ = w.server.Listener.Close()
	w.server.CloseClientConnections()
	time.AfterFunc(workerRestartTime, func() {
		c.store.Put(platform.ServerTopic, w.id, nil)
		c.start(domain)
	})
}

// crashesAfterWindow returns how many workers ended, and how many of them later than a
// time after the one that ended as number nth.
func (c *crashingWorkers) crashesAfterWindow(nth int, window time.Duration) (all, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.crashes {
		if len(c.crashes) > nth && at.Sub(c.crashes[nth-1]) > window {
			late++
		}
	}
	return len(c.crashes), late
}

// startInTwoDomains starts two instances in each of two failure domains.
func startInTwoDomains(t *testing.T, address string) (instances []*instance) {
	for n, domain := range []string{"north", "north", "south", "south"} {
		config := newConfig(t, fmt.Sprintf("front-%d", n), address)
		config.Domain = domain
		config.Domains = []string{"north", "south"}
		instances = append(instances, start(t, config))
	}
	return instances
}

// callCounts counts calls that crash servers, and sound ones beside them.
type callCounts struct {
	refused int
	sound   int
	served  int
}

// sendBadAndSound sends a call at each interval for 12 s, to one instance after another:
// each third one crashes servers, and the others, from half of the time on, are sound.
func sendBadAndSound(instances []*instance, interval time.Duration, sendBad func(i *instance, n int) (status int), sendSound func(i *instance, n int) (served bool)) (counts callCounts) {
	const length = 12 * time.Second
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		i := instances[n%len(instances)]
		switch {
		case n%3 == 0:
			if sendBad(i, n) == http.StatusServiceUnavailable {
				counts.refused++
			}
		case time.Since(began) > length/2:
			counts.sound++
			if sendSound(i, n) {
				counts.served++
			}
		}
		time.Sleep(interval)
	}
	return counts
}

// TestPromptPartThatCrashesWorkersIsBlockedInTheWholeFleet guards against instances and
// failure domains that each learn for themselves under which prompt part workers end.
func TestPromptPartThatCrashesWorkersIsBlockedInTheWholeFleet(t *testing.T) {
	store, address, _ := newStoreWithWorker(t)
	workers := &crashingWorkers{t: t, store: store, service: "llm"}
	for _, domain := range []string{"north", "south", "north", "south"} {
		workers.start(domain)
	}
	store.Put(platform.ServerTopic, "i-1", nil)
	instances := startInTwoDomains(t, address)
	for _, i := range instances {
		eventually(t, "serves", func() bool { return i.serves("k1", "a1") })
	}
	counts := sendBadAndSound(instances, 60*time.Millisecond, func(i *instance, n int) int {
		status, _ := i.sendPrompt(t, fmt.Sprint("bad-", n), fmt.Sprintf("first:60,bad:30,own-%d:10", n))
		return status
	}, func(i *instance, n int) bool {
		status, body := i.sendPrompt(t, fmt.Sprint("sound-", n), fmt.Sprintf("first:60,subject-%d:30,own-%d:10", n%5, n))
		return status == http.StatusOK && strings.Count(body, "id:") == 3
	})
	all, late := workers.crashesAfterWindow(5, 3*time.Second)
	t.Logf("%d workers ended, %d of them late; %d calls with the part refused; %d of %d sound calls served", all, late, counts.refused, counts.served, counts.sound)
	if late > 3 {
		t.Errorf("%d workers ended under the part later than 3 s after the fifth", late)
	}
	if counts.served*10 < counts.sound*9 {
		t.Errorf("%d of %d sound calls of the same team and first part were served", counts.served, counts.sound)
	}
}

// sendPrompt sends a request with prompt parts and returns the status and the body.
func (i *instance) sendPrompt(t *testing.T, id, parts string) (status int, body string) {
	t.Helper()
	status, body, err := i.sendWith(id, "k1", "a1", map[string]string{standin.HeaderPromptPrefix: parts})
	if err != nil {
		return 0, ""
	}
	return status, body
}
