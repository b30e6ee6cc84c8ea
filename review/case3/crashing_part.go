package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	replyPath    = "/replies/"
	modelName    = "m0"
	modelWorkers = 5
	// prefillTime is the time until a worker begins to write an answer.
	prefillTime = 237 * time.Millisecond
	// partDownTime is how long a worker is away that has crashed, and diskLoadTime how long
	// it then takes to load its model.
	partDownTime = 4 * time.Second
	diskLoadTime = 400 * time.Millisecond
	// badInterval is the time between requests with the bad part.
	badInterval    = 50 * time.Millisecond
	badTime        = 30 * time.Second
	partCrashes    = 5
	soundPartEvery = 120 * time.Millisecond
	eventInterval  = 20 * time.Millisecond
	events         = 5
)

// modelConfiguration has the route and service of replies of a small deployment.
func modelConfiguration() map[string]any {
	configuration := plainConfiguration()
	configuration["routes"] = []any{
		map[string]any{"name": "agent-reply", "host": fleet3.Host, "path-prefix": replyPath, "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 1000, "gap-target-ms": 250, "priority": 0, "service": "llm-pool", "max-attempts": 2, "resumable": true, "sticky": true},
	}
	configuration["services"] = []any{map[string]any{"name": "llm-pool", "health-path": "/health", "max-conns": 360, "engine": map[string]any{
		"models":      []any{map[string]any{"name": modelName, "weight-size": 34300, "load-s": 1, "adapters": 3000, "adapter-mb": 40}},
		"weight-size": 35300, "adapter-slots": 8, "loads-per-s": 2.8,
	}}}
	return configuration
}

// partCrasher has when requests with the bad part reached workers, and when these crashed.
type partCrasher struct {
	fleet   *fleet3.Fleet
	mu      sync.Mutex
	started int
	reached []time.Duration
	crashes []time.Duration
}

func (p *partCrasher) start(zone string, empty bool) error {
	p.mu.Lock()
	p.started++
	w := &fleet3.Worker{ID: fmt.Sprintf("i-%d", p.started), Service: "llm-pool", Zone: zone, Slots: 64, Model: modelName, LoadTime: diskLoadTime, Empty: empty}
	p.mu.Unlock()
	w.OnRun = func(out http.ResponseWriter, r *http.Request) bool {
		p.run(w, out, r)
		return true
	}
	return w.Begin(p.fleet)
}

// run answers a request with some events. A worker crashes when it begins to write an
// answer on the bad part.
func (p *partCrasher) run(w *fleet3.Worker, out http.ResponseWriter, r *http.Request) {
	bad := strings.Contains(r.Header.Get(standin.HeaderPromptPrefix), "bad0:")
	if bad {
		p.mu.Lock()
		p.reached = append(p.reached, p.fleet.Record.Age())
		p.mu.Unlock()
	}
	time.Sleep(prefillTime)
	if bad && fleet3.Trouble() {
		p.crash(w)
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(standin.HeaderStamp, w.ID)
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", n+1)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(eventInterval)
	}
}

func (p *partCrasher) crash(w *fleet3.Worker) {
	if !w.Alive() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, p.fleet.Record.Age())
	p.mu.Unlock()
	w.Crash()
	time.AfterFunc(partDownTime, func() {
		if err := p.start(w.Zone, true); err != nil {
			p.fleet.Record.Add("no server started: %v", err)
		}
	})
}

// playCrashingPart sends requests with a part that crashes workers to all machines, and sound
// ones beside them. Each worker is back under another ID.
func playCrashingPart(record *fleet3.Record) (broken bool, verdict string, err error) {
	f, err := fleet3.New(record)
	if err != nil {
		return false, "", err
	}
	defer f.Close()
	p := &partCrasher{fleet: f}
	if err = f.Configure(modelConfiguration()); err != nil {
		return false, "", err
	}
	for n := range modelWorkers {
		if err = p.start(fleet3.Zones[n%len(fleet3.Zones)], false); err != nil {
			return false, "", err
		}
	}
	for _, zone := range fleet3.Zones {
		if _, err = f.Add(zone); err != nil {
			return false, "", err
		}
	}
	for _, i := range f.Instances {
		if err = i.AwaitReady(); err != nil {
			return false, "", err
		}
	}
	time.Sleep(2 * touchTime)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		sendParts(f, stop, soundPartEvery, "sound", func(n int) string { return fmt.Sprintf("a1:119,b%d:79,f%d:300", n%17, n) })
	})
	time.Sleep(touchTime)
	callers.Go(func() {
		sendParts(f, stop, badInterval, "bad", func(n int) string { return fmt.Sprintf("a1:119,bad0:79,e%d:300", n) })
	})
	time.Sleep(badTime)
	close(stop)
	callers.Wait()
	return p.judge()
}

// sendParts sends a request at each interval, to one machine after the other.
func sendParts(f *fleet3.Fleet, stop chan struct{}, interval time.Duration, kind string, prefix func(n int) string) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		i := f.Instances[n%len(f.Instances)]
		calls.Go(func() {
			id := fmt.Sprintf("%s-%d", kind, n)
			status, _ := i.Send(fleet3.Call{ID: id, Method: http.MethodPost, Path: replyPath + "1", Body: id, Header: map[string]string{
				standin.HeaderAdapter: modelName, standin.HeaderTokenCount: "9190,20", standin.HeaderPromptPrefix: prefix(n), standin.HeaderDeadline: "4000",
			}})
			f.Record.Add("caller: %s sent to %s, answer %d", id, i.Name, status)
		})
	}
}

// judge counts the requests with the bad part that reached workers after the fifth crash.
func (p *partCrasher) judge() (broken bool, verdict string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(p.crashes) >= partCrashes {
		for _, at := range p.reached {
			if at > p.crashes[partCrashes-1]+touchTime {
				late++
			}
		}
	}
	return late > maxRetries, fmt.Sprintf("BUDGET: %d requests with the part reached workers, of which %d crashed; %d of these requests came later than %s after the fifth crash, where %d are allowed",
		len(p.reached), len(p.crashes), late, touchTime, maxRetries), nil
}
