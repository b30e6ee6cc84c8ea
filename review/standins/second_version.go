package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const (
	// Times of the case, from the moment at which all fronts are ready.
	warmUp = 6 * time.Second
	// leadTime is from the loss of the leader to the first declaration, and
	// secondDeclaration from that to the second one.
	leadTime          = 2 * time.Second
	secondDeclaration = 8 * time.Second
	afterSecond       = 4 * time.Second
	// replacementDelay is the time after which a new machine takes the place of the one
	// that was lost.
	replacementDelay = 2 * time.Second
	requestInterval  = 25 * time.Millisecond
	adapterCount     = 3
	workersPerZone   = 2
	// versionBound is version_ms, and stableWindow stable-window-ms.
	versionBound = 5 * time.Second
	stableWindow = 3 * time.Second
)

// frontsOfZone has the numbers of fronts of a small deployment by zone.
var frontsOfZone = map[string]int{
	"plant-north":     3,
	"ops-center":      2,
	"substation-east": 1,
}

var zones = []string{"plant-north", "ops-center", "substation-east"}

// versionFleet is the system with its surroundings.
type versionFleet struct {
	options options
	log     *record
	store   *standin.Store
	address string
	workers []*worker

	mu       sync.Mutex
	fronts   []*front
	requests map[string]*request
	begins   []begin
	// declared has when each version after the first was acknowledged, by adapter.
	declared map[string][]time.Time
}

// secondVersion declares two versions of some adapters one after the other. With the
// disruption, the leader of the domain that has a copy is lost for good before. It counts
// the requests that begin on a version that was outdated for longer than the bound.
func secondVersion(o options, log *record) (broken int, err error) {
	f := &versionFleet{
		options:  o,
		log:      log,
		store:    standin.NewStore(),
		requests: map[string]*request{},
		declared: map[string][]time.Time{},
	}
	defer f.end()
	if err = f.start(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { f.sendRequests(stop) })
	time.Sleep(warmUp)
	leader, err := f.leader()
	if err != nil {
		close(stop)
		clients.Wait()
		return 0, err
	}
	if o.trouble {
		err = f.replace(leader)
	}
	time.Sleep(leadTime)
	f.declare()
	time.Sleep(secondDeclaration)
	f.declare()
	time.Sleep(afterSecond)
	close(stop)
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return f.judge()
}

func (f *versionFleet) start() (err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.address = listener.Addr().String()
	server := &http.Server{
		Handler:           f.store,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	configuration, err := json.Marshal(configurationOf(1))
	if err != nil {
		return err
	}
	f.store.Put("keyed.op", "config", configuration)
	for n := range workersPerZone * len(zones) {
		w, err := startWorker(fmt.Sprintf("i-%02d", n), zones[n%len(zones)], f.store, f.log)
		if err != nil {
			return err
		}
		w.onBegin = f.recordBegin
		w.newest = f.newest
		f.workers = append(f.workers, w)
	}
	for _, zone := range zones {
		for n := range frontsOfZone[zone] {
			if err = f.addFront(fmt.Sprintf("front-%s-%d", zone, n+1), zone, true); err != nil {
				return err
			}
		}
	}
	for _, front := range f.fronts {
		if err = front.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (f *versionFleet) addFront(name, zone string, first bool) error {
	added, err := newFront(f.options, name, zone, zones, f.address)
	if err != nil {
		return err
	}
	if err = added.start(first); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fronts = append(f.fronts, added)
	return nil
}

func (f *versionFleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, front := range f.fronts {
		front.kill()
	}
}

// configurationOf returns a configuration with one resumable route to the model workers.
func configurationOf(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name":              "billing-history",
			"host":              host,
			"path-prefix":       streamPath,
			"kind":              "streaming",
			"timeout-ms":        5000,
			"target-latency-ms": 1000,
			"gap-target-ms":     250,
			"priority":          1,
			"service":           modelService,
			"max-attempts":      2,
			"public":            false,
			"sticky":            true,
			"resumable":         true,
		}},
		"services": []any{map[string]any{
			"name": modelService,
			"engine": map[string]any{
				"adapter-slots": adapterSlots,
				"loads-per-s":   2.8,
				"models":        []any{map[string]any{"name": modelName, "load-s": 1}},
			},
		}},
		"limits": map[string]any{"max-body-bytes": 4 << 20},
		"tenants": []any{map[string]any{
			"name":         "customer-service",
			"api-keys":     []string{clientKey},
			"unit":         "tokens",
			"plain-tokens": 200,
			"rate-per-s":   1_000_000,
			"burst":        1_000_000,
		}},
	}
}

func adapterName(n int) string { return fmt.Sprintf("a%d", n+1) }

// sendRequests sends requests to random fronts until it is stopped. Clients whose
// connection fails go to another front with the next request.
func (f *versionFleet) sendRequests(stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		q := &request{
			id:      fmt.Sprintf("%08x", 0x9c41d000+n),
			front:   f.fronts[rand.IntN(len(f.fronts))],
			adapter: adapterName(rand.IntN(adapterCount)),
		}
		f.requests[q.id] = q
		f.mu.Unlock()
		running.Go(func() { q.send(f.log) })
	}
}

// leader returns the front that gives the orders to a worker with an adapter, in a zone
// that has other fronts.
func (f *versionFleet) leader() (leader *front, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if frontsOfZone[w.zone] < 2 || w.holds(adapterName(0))+w.holds(adapterName(1))+w.holds(adapterName(2)) == 0 {
			continue
		}
		for _, front := range f.fronts {
			if front.peers == w.lastHolder() {
				return front, nil
			}
		}
	}
	return nil, errors.New("no worker with an adapter in a zone with several fronts")
}

// replace ends a front for good, and adds one at other addresses later.
func (f *versionFleet) replace(lost *front) error {
	f.log.highlight("%s is lost for good", lost.name)
	lost.kill()
	f.mu.Lock()
	for n, front := range f.fronts {
		if front == lost {
			f.fronts = append(f.fronts[:n:n], f.fronts[n+1:]...)
			break
		}
	}
	f.mu.Unlock()
	time.Sleep(replacementDelay)
	f.log.highlight("a new front comes at another address")
	return f.addFront(lost.name+"-new", lost.zone, false)
}

// declare declares the next version of each adapter.
func (f *versionFleet) declare() {
	for n := range adapterCount {
		name := adapterName(n)
		version := f.newest(name) + 1
		text, err := json.Marshal(map[string]any{
			"model":   modelName,
			"adapter": name,
			"version": version,
		})
		if err != nil {
			continue
		}
		f.store.Put("keyed.op", "version/"+modelName+"."+name, text)
		f.mu.Lock()
		f.declared[name] = append(f.declared[name], time.Now())
		f.mu.Unlock()
		f.log.highlight("version %d of %s is acknowledged", version, name)
	}
}

// newest returns the newest version of an adapter.
func (f *versionFleet) newest(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(1 + len(f.declared[name]))
}

func (f *versionFleet) recordBegin(b begin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begins = append(f.begins, b)
}

// judge counts the requests, sent on by machines in touch, that began on a version later
// than the bound after a newer one was acknowledged.
func (f *versionFleet) judge() (broken int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, q := range f.requests {
		if q.status == http.StatusOK {
			served++
		}
	}
	f.log.highlight("%d requests, %d served", len(f.requests), served)
	if served < len(f.requests)/2 {
		return 0, errors.New("less than half of the requests were served")
	}
	for _, b := range f.begins {
		acknowledged := f.declared[b.adapter]
		if int(b.version) > len(acknowledged) {
			continue
		}
		// Version n+1 was acknowledged at index n-1.
		late := b.at.Sub(acknowledged[b.version-1])
		q := f.requests[b.request]
		if late <= versionBound || q == nil || q.sentAt.Sub(q.front.startedAt) < stableWindow {
			continue
		}
		broken++
		f.log.printf("BROKEN: %s, sent by %s, began at %s on version %d of %s, %s after version %d was acknowledged", b.request, q.front.name, b.worker, b.version, b.adapter, late.Round(time.Millisecond), b.version+1)
	}
	if broken > 0 {
		f.log.highlight("VERSION: %d requests began on a version that was outdated for more than %s", broken, versionBound)
	}
	return broken, nil
}
