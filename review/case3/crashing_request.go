package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
)

const (
	// downTime is how long a server is away that has crashed.
	downTime = 3 * time.Second
	// comesAgainAfter is the time between two comings of the request.
	comesAgainAfter = 3 * time.Second
	// touchTime is the deployment's stable-window-ms.
	touchTime   = 3 * time.Second
	crashesTime = 90 * time.Second
	// maxRetries and crashesBefore are the rule's.
	maxRetries    = 3
	crashesBefore = 3
	soundInterval = 250 * time.Millisecond
)

const orderPath = "/orders/"

// plainConfiguration has the route and service of orders of a small deployment.
func plainConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "service-order", "host": fleet3.Host, "path-prefix": orderPath, "kind": "non_idempotent", "timeout-ms": 800, "target-latency-ms": 300, "priority": 2, "service": "cis-app", "max-attempts": 1},
		},
		"services": []any{map[string]any{"name": "cis-app", "health-path": "/health", "max-conns": 96}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		"tenants": []any{
			map[string]any{"name": "tenant-one", "api-keys": []string{fleet3.Key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1e6, "burst": 1e6},
		},
	}
}

// arrivals has when the request reached servers, and crashes when it crashed one.
type arrivals struct {
	mu      sync.Mutex
	reached []time.Duration
	crashes []time.Duration
}

// startPlain starts four machines, two of them in the first zone, and a server in each zone.
func startPlain(f *fleet3.Fleet, onRun func(w *fleet3.Worker) func(http.ResponseWriter, *http.Request) bool) error {
	if err := f.Configure(plainConfiguration()); err != nil {
		return err
	}
	for n, zone := range fleet3.Zones {
		w := &fleet3.Worker{ID: fmt.Sprintf("i-%d", n+1), Service: "cis-app", Zone: zone, Slots: 6, Work: 60 * time.Millisecond}
		w.OnRun = onRun(w)
		if err := w.Begin(f); err != nil {
			return err
		}
	}
	for _, zone := range append([]string{fleet3.Zones[0]}, fleet3.Zones...) {
		if _, err := f.Add(zone); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := i.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// playCrashingRequest sends a request that crashes the server which runs it to one machine
// after the other. Each server is back under the ID that it had, or with NEW_IDS=1 under
// another one.
func playCrashingRequest(record *fleet3.Record) (broken bool, verdict string, err error) {
	f, err := fleet3.New(record)
	if err != nil {
		return false, "", err
	}
	defer f.Close()
	seen := &arrivals{}
	if err = startPlain(f, func(w *fleet3.Worker) func(http.ResponseWriter, *http.Request) bool {
		return func(_ http.ResponseWriter, r *http.Request) bool { return seen.run(f, w, r) }
	}); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	for n := range f.Instances {
		go sendSound(f, n, stop)
	}
	time.Sleep(touchTime)
	for n := 0; record.Age() < crashesTime; n++ {
		i := f.Instances[n%len(f.Instances)]
		id := fmt.Sprintf("bad-%d", n)
		status, _ := i.Send(fleet3.Call{ID: id, Method: http.MethodPost, Path: orderPath + "bad", Body: "the same", Header: map[string]string{"X-Pomelospring-Deadline-Ms": "1500"}})
		record.Add("caller: %s sent to %s, answer %d", id, i.Name, status)
		time.Sleep(comesAgainAfter)
	}
	return seen.judge()
}

// run is called when a request begins to run at a server.
func (a *arrivals) run(f *fleet3.Fleet, w *fleet3.Worker, r *http.Request) (done bool) {
	if !strings.HasSuffix(r.URL.Path, "/bad") {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reached = append(a.reached, f.Record.Age())
	if !fleet3.Trouble() {
		return false
	}
	a.crashes = append(a.crashes, f.Record.Age())
	w.Crash()
	if os.Getenv("NEW_IDS") == "1" {
		w = &fleet3.Worker{ID: fmt.Sprintf("i-%d", len(a.crashes)+len(fleet3.Zones)), Service: w.Service, Zone: w.Zone, Slots: w.Slots, Work: w.Work}
		w.OnRun = func(_ http.ResponseWriter, r *http.Request) bool { return a.run(f, w, r) }
	}
	time.AfterFunc(downTime, func() {
		if err := w.Begin(f); err != nil {
			f.Record.Add("server %s: not started: %v", w.ID, err)
		}
	})
	return true
}

// judge counts the comings of the request at servers after its third crash.
func (a *arrivals) judge() (broken bool, verdict string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := 0
	if len(a.crashes) >= crashesBefore {
		for _, at := range a.reached {
			if at > a.crashes[crashesBefore-1]+touchTime {
				late++
			}
		}
	}
	return late > maxRetries, fmt.Sprintf("BUDGET: the request reached servers %d times and crashed %d; %d times it reached one later than %s after its third crash, where %d are allowed",
		len(a.reached), len(a.crashes), late, touchTime, maxRetries), nil
}

// sendSound sends sound requests to one machine, each with a body of its own.
func sendSound(f *fleet3.Fleet, n int, stop chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(soundInterval):
		}
		id := fmt.Sprintf("sound-%d-%d", n, k)
		status, _ := f.Instances[n].Send(fleet3.Call{ID: id, Method: http.MethodPost, Path: orderPath + "sound", Body: id, Header: map[string]string{"X-Pomelospring-Deadline-Ms": "1500"}})
		if status != http.StatusOK {
			f.Record.Add("caller: %s sent to %s, answer %d", id, f.Instances[n].Name, status)
		}
	}
}
