package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	limitPerSecond = 50
	// callInterval is the time between the calls of all callers: more than the limits allow.
	callInterval     = 4 * time.Millisecond
	machinesPerZone  = 3
	beforeStop       = 16 * time.Second
	afterStop        = 16 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	restartDelay     = 300 * time.Millisecond
	historyPath      = "/history/"
	firstZoneGroup   = "pomelospring-orders-plant-north"
	limitedSlots     = 64
	limitedPrefill   = 30 * time.Millisecond
	limitedEventTime = 10 * time.Millisecond
)

// arrival is one request that reached a server.
type arrival struct {
	at      time.Duration
	machine string
}

// limitedServers has the arrivals at each server.
type limitedServers struct {
	// perSecond is the limit that each server names.
	perSecond int
	mu        sync.Mutex
	arrivals  map[string][]arrival
}

func (l *limitedServers) run(f *fleet3.Fleet, w *fleet3.Worker, out http.ResponseWriter, r *http.Request) {
	machine, _, _ := strings.Cut(r.Header.Get(standin.HeaderRequestID), "/")
	l.mu.Lock()
	l.arrivals[w.ID] = append(l.arrivals[w.ID], arrival{
		at:      f.Record.Age(),
		machine: machine,
	})
	l.mu.Unlock()
	time.Sleep(limitedPrefill)
	out.Header().Set(standin.HeaderLimit, strconv.Itoa(l.perSecond))
	out.Header().Set(standin.HeaderStamp, w.ID)
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", n+1)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(limitedEventTime)
	}
}

// historyConfiguration has the route of billing histories of a small deployment.
func historyConfiguration() map[string]any {
	configuration := modelConfiguration()
	route := configuration["routes"].([]any)[0].(map[string]any)
	route["name"], route["path-prefix"], route["timeout-ms"], route["target-latency-ms"], route["gap-target-ms"] = "billing-history", historyPath, 5000, 1000, 250
	return configuration
}

// startLimited starts a model worker in each zone, which names a limit, and machines in each.
func startLimited(f *fleet3.Fleet, l *limitedServers, machines int) error {
	if err := f.Configure(historyConfiguration()); err != nil {
		return err
	}
	for n, zone := range fleet3.Zones {
		w := &fleet3.Worker{ID: fmt.Sprintf("i-%d", n+1), Service: "llm-pool", Zone: zone, Slots: limitedSlots, Model: modelName, LoadTime: diskLoadTime}
		w.OnRun = func(out http.ResponseWriter, r *http.Request) bool {
			l.run(f, w, out, r)
			return true
		}
		if err := w.Begin(f); err != nil {
			return err
		}
	}
	for n := range machines * len(fleet3.Zones) {
		if _, err := f.Add(fleet3.Zones[n%len(fleet3.Zones)]); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := i.AwaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * touchTime)
	return nil
}

// playLimit restarts the machine that leads the first zone while servers name a limit and
// callers ask for more.
func playLimit(record *fleet3.Record) (broken bool, verdict string, err error) {
	f, err := fleet3.New(record)
	if err != nil {
		return false, "", err
	}
	defer f.Close()
	l := &limitedServers{arrivals: map[string][]arrival{}, perSecond: limitPerSecond}
	if err = startLimited(f, l, machinesPerZone); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	go sendHistories(f, callInterval, stop)
	began := record.Age()
	time.Sleep(beforeStop)
	restarted := ""
	if fleet3.Trouble() {
		if restarted, err = restartLeader(f); err != nil {
			return false, "", err
		}
	}
	time.Sleep(afterStop)
	close(stop)
	return l.judge(restarted, began+2*touchTime)
}

// restartLeader stops the machine that leads the first zone and starts it again.
func restartLeader(f *fleet3.Fleet) (name string, err error) {
	answer := httptest.NewRecorder()
	f.Store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/api/log-owners?group="+firstZoneGroup, http.NoBody))
	var owners struct {
		Owners [][]any `json:"owners"`
	}
	if err = json.Unmarshal(answer.Body.Bytes(), &owners); err != nil || len(owners.Owners) == 0 {
		return "", fmt.Errorf("no machine leads the zone: %s", answer.Body)
	}
	for _, i := range f.Instances {
		if i.Peers != owners.Owners[0][2] {
			continue
		}
		f.Record.Add("%s, which leads the zone, is told to stop", i.Name)
		i.Signal(syscall.SIGTERM)
		<-i.Ended()
		time.Sleep(restartDelay)
		return i.Name, i.Start(false, nil)
	}
	return "", fmt.Errorf("no machine has the address %v", owners.Owners[0][2])
}

// sendHistories sends calls to one machine after the other.
func sendHistories(f *fleet3.Fleet, interval time.Duration, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		i := f.Instances[n%len(f.Instances)]
		go func() {
			id := i.Name + "/" + strconv.Itoa(n)
			status, _ := i.Send(fleet3.Call{ID: id, Method: http.MethodPost, Path: historyPath + "1", Body: id, Header: map[string]string{
				standin.HeaderAdapter: modelName, standin.HeaderTokenCount: "500,20", standin.HeaderPromptPrefix: fmt.Sprintf("a1:119,b%d:79,f%d:300", n%17, n), standin.HeaderDeadline: "5000",
			}})
			f.Record.Add("caller: %s, answer %d", id, status)
		}()
	}
}

// judge looks for the window in which a server got most, without the machine that was restarted.
func (l *limitedServers) judge(restarted string, from time.Duration) (broken bool, verdict string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := limitFactor*float64(l.perSecond)*limitWindow.Seconds() + limitSlack
	most, where, when := 0, "", time.Duration(0)
	for server, all := range l.arrivals {
		counted := slices.DeleteFunc(slices.Clone(all), func(a arrival) bool { return a.at < from || a.machine == restarted })
		for first, last := 0, 0; last < len(counted); last++ {
			for counted[last].at-counted[first].at > limitWindow {
				first++
			}
			if last-first+1 > most {
				most, where, when = last-first+1, server, counted[first].at
			}
		}
	}
	return float64(most) > allowed, fmt.Sprintf("LIMIT: server %s names a limit of %d requests a second and got %d in the %s from %.1f s on, without those of the machine that was restarted (%s), where %.0f are allowed",
		where, l.perSecond, most, limitWindow, when.Seconds(), restarted, allowed), nil
}
