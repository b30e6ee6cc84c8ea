package front_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// brittleStableTime is the time after which a brittle worker may let fewer wait.
	brittleStableTime = 3 * time.Second
	// brittleFallTime is how long a brittle worker that fell over is away.
	brittleFallTime = 3 * time.Second
	// brittleCallTime is how long a brittle worker works on a call.
	brittleCallTime = 60 * time.Millisecond
)

// brittleWorkers are workers of a plain service that take a number of calls at once and
// fall over when they turn too many away.
type brittleWorkers struct {
	t     *testing.T
	store *standin.Store
	// slots is what they are listed with, and rejections what each may turn away in a
	// second without a fall.
	slots      int
	rejections int

	mu      sync.Mutex
	room    int
	brittle bool
	started int
	falls   int
	// rejected is how many calls they turned away.
	rejected int
}

// setRoom sets how many calls each worker takes at once.
func (b *brittleWorkers) setRoom(room int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.room = room
}

// sayBrittle lets the workers say in all answers that they are brittle.
func (b *brittleWorkers) sayBrittle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle = true
}

// counts returns how often the workers fell over, and how many calls they turned away.
func (b *brittleWorkers) counts() (falls, rejected int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls, b.rejected
}

// start starts a worker and lists it.
func (b *brittleWorkers) start() {
	b.mu.Lock()
	b.started++
	w := &brittleWorker{
		all: b,
		id:  fmt.Sprintf("brittle-%d", b.started),
	}
	b.mu.Unlock()
	w.server = httptest.NewServer(w)
	b.t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	b.store.Put(platform.ServerTopic, w.id, fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"north","slots":%d,"state":"ready","born":%d,"seq":0}`,
		w.server.Listener.Addr().String(), b.slots, time.Now().UnixMilli()))
}

// brittleWorker is one start of a worker.
type brittleWorker struct {
	all    *brittleWorkers
	id     string
	server *httptest.Server
	// running, rejectedAt and fallen are protected by the lock of all.
	running    int
	rejectedAt []time.Time
	fallen     bool
}

func (w *brittleWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.all.mu.Lock()
	if w.all.brittle {
		out.Header().Set(standin.HeaderBrittle, fmt.Sprint(w.all.rejections))
	}
	taken := w.running < w.all.room
	if taken {
		w.running++
	} else {
		w.reject(time.Now())
	}
	w.all.mu.Unlock()
	out.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	out.Header().Set(standin.HeaderStamp, w.id)
	if !taken {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(brittleCallTime)
	w.all.mu.Lock()
	w.running--
	fallen := w.fallen
	w.all.mu.Unlock()
	if fallen {
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte("done"))
}

// reject records that the worker turns a call away, and lets it fall if these are too
// many. The caller holds the lock.
func (w *brittleWorker) reject(now time.Time) {
	w.all.rejected++
	w.rejectedAt = slices.DeleteFunc(append(w.rejectedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if !w.all.brittle || w.fallen || len(w.rejectedAt) <= w.all.rejections {
		return
	}
	w.fallen = true
	w.all.falls++
	_ = w.server.Listener.Close()
	go w.server.CloseClientConnections()
	time.AfterFunc(brittleFallTime, func() {
		w.all.store.Put(platform.ServerTopic, w.id, nil)
		w.all.start()
	})
}

// sendSteadily sends perSecond calls in turn to the instances for a time, and returns
// their number by status, 0 for no complete response.
func sendSteadily(instances []*instance, perSecond int, name string, length time.Duration) (statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for n := range int(length.Seconds() * float64(perSecond)) {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
		group.Go(func() {
			status := instances[n%len(instances)].sendTo(fmt.Sprint(name, n), fmt.Sprint("/lookup/", n))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}

// brittleScenario is a load on brittle servers.
type brittleScenario struct {
	name       string
	rejections int
	// slots is listed; room is what a server takes at once, then less.
	slots, room, less int
	perSecond         int
	instances         int
}

// TestBrittleServersFallUnderRejections guards against instances that together send
// brittle servers more than they have room for, or far less.
func TestBrittleServersFallUnderRejections(t *testing.T) {
	playBrittle(t, []brittleScenario{
		{name: "three rejections a second", rejections: 3, slots: 16, room: 16, less: 3, perSecond: 400, instances: 6},
		{name: "eight rejections a second", rejections: 8, slots: 16, room: 16, less: 3, perSecond: 400, instances: 6},
		{name: "fewer wait than before", rejections: 3, slots: 3, room: 16, less: 3, perSecond: 400, instances: 6},
		{name: "half of the load", rejections: 3, slots: 16, room: 16, less: 3, perSecond: 125, instances: 6},
		{name: "few instances", rejections: 3, slots: 16, room: 16, less: 3, perSecond: 400, instances: 2},
	})
}

// TestServersThatStandOneRejectionAreUsedLittle guards against calls that are rejected
// although servers have room for them, as one rejected call a second is all they stand.
func TestServersThatStandOneRejectionAreUsedLittle(t *testing.T) {
	playBrittle(t, []brittleScenario{
		{name: "one rejection a second", rejections: 1, slots: 16, room: 16, less: 3, perSecond: 400, instances: 6},
	})
}

// playBrittle plays scenarios and checks how often servers fall, and how many calls are
// served of those that could be.
func playBrittle(t *testing.T, scenarios []brittleScenario) {
	const (
		servers      = 5
		length       = 10 * time.Second
		allowedFalls = 2
	)
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store, address, _ := newStoreWithWorker(t)
			workers := &brittleWorkers{t: t, store: store, slots: scenario.slots, rejections: scenario.rejections, room: scenario.room}
			for range servers {
				workers.start()
			}
			var instances []*instance
			for n := range scenario.instances {
				instances = append(instances, startInstance(t, fmt.Sprintf("front-%d", n), address))
			}
			for _, i := range instances {
				eventually(t, "serves", func() bool { return i.sendTo("probe", "/lookup/probe") == http.StatusOK })
			}
			workers.sayBrittle()
			before := sendSteadily(instances, scenario.perSecond, "before-", brittleStableTime)
			workers.setRoom(scenario.less)
			statuses := sendSteadily(instances, scenario.perSecond, "after-", length)
			falls, rejected := workers.counts()
			canServe := min(float64(scenario.perSecond), servers*float64(scenario.less)/brittleCallTime.Seconds()) * length.Seconds()
			t.Logf("%d falls, %d rejections, %d served of %.0f that could be; statuses before %v, after %v", falls, rejected, statuses[http.StatusOK], canServe, before, statuses)
			if falls > allowedFalls {
				t.Errorf("%d falls, allowed %d", falls, allowedFalls)
			}
			if got := float64(statuses[http.StatusOK]) / canServe; got < 0.9 {
				t.Errorf("%.2f of what could be served was, want 0.9", got)
			}
			if diff := slices.DeleteFunc(slices.Sorted(maps.Keys(statuses)), func(status int) bool {
				return status == http.StatusOK || status == http.StatusServiceUnavailable
			}); len(diff) > 0 && falls == 0 {
				t.Errorf("answers with other statuses than 200 and 503: %v", diff)
			}
		})
	}
}
