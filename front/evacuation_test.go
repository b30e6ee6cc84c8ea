package front_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/front"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation after which
	// nothing may reach the servers of its failure domain, and storeStable the time after
	// an outage of the store from which it holds again.
	evacuationBound = 5 * time.Second
	storeStable     = 4 * time.Second
	// evacuationLength is the time from the acknowledgement until the domain is taken back.
	evacuationLength = 9 * time.Second
	// leastEvacuatedServed is the part of the calls that the other domains' servers must
	// serve meanwhile.
	leastEvacuatedServed = 0.9
)

// evacuationFleet has an instance, a model worker and a plain server in each of three
// failure domains.
type evacuationFleet struct {
	cutFleet
	proxies []*storeProxy
}

var evacuationDomains = []string{"east", "north", "south"}

func newEvacuationFleet(t *testing.T) *evacuationFleet {
	f := &evacuationFleet{
		cutFleet: cutFleet{store: standin.NewStore()},
	}
	f.store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(cutPolicy))
	for _, domain := range evacuationDomains {
		model, plain := newWorker(t, "m-"+domain), newWorker(t, "p-"+domain)
		plain.service = "app"
		f.models, f.plain = append(f.models, model), append(f.plain, plain)
		for _, w := range []*worker{model, plain} {
			w.domain = domain
			w.eventCount, w.eventInterval = 4, 20*time.Millisecond
			f.store.Put(platform.ServerTopic, w.id, w.entry("ready"))
		}
	}
	for _, domain := range evacuationDomains {
		f.start(t, domain, false)
	}
	for _, i := range f.instances {
		eventually(t, "ready", i.ready)
		for n := range 4 {
			eventually(t, "serves", func() bool { return f.send(0, "/proof/", fmt.Sprint("probe-", time.Now().UnixNano()), n).whole })
		}
	}
	return f
}

// start adds an instance of a domain, which finds no leaders if it is isolated.
func (f *evacuationFleet) start(t *testing.T, domain string, isolated bool) {
	proxy := &storeProxy{store: f.store}
	proxy.noGroups.Store(isolated)
	server := httptest.NewServer(proxy)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	config := newConfig(t, fmt.Sprintf("front-%s-%d", domain, len(f.instances)), strings.TrimPrefix(server.URL, "http://"))
	config.Domain, config.Domains = domain, evacuationDomains
	config.Regions = map[string]string{"east": "asia", "north": "europe", "south": "africa"}
	l := newLinks()
	f.instances = append(f.instances, startPrepared(t, config, func(instance *front.Front) { instance.Dial = l.dial }))
	f.links, f.proxies = append(f.links, l), append(f.proxies, proxy)
}

// evacuate evacuates a domain, or takes it back.
func (f *evacuationFleet) evacuate(domain string, evacuated bool) {
	value := ""
	if evacuated {
		value = "{}"
	}
	f.store.Put(platform.OperatorTopic, "evacuate/"+domain, []byte(value))
}

// arrivals counts the requests and orders that reached a domain's servers from a time on.
func (f *evacuationFleet) arrivals(domain string, after time.Time) (count int) {
	for _, w := range slices.Concat(f.models, f.plain) {
		if w.domain == domain {
			requests, orders := w.arrivals(after)
			count += requests + orders
		}
	}
	return count
}

// ran reports whether a server ran a request.
func (w *worker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[id] > 0
}

// leaderOf returns the instance whose orders a domain's model worker got, or the first one.
func (f *evacuationFleet) leaderOf(domain string) int {
	w := f.models[slices.Index(evacuationDomains, domain)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, slices.IndexFunc(f.instances, func(i *instance) bool { return w.holders[i.config.Listen.Peers] }))
}

func TestNothingReachesAnEvacuatedDomain(t *testing.T) {
	scenarios := []struct {
		name string
		// before runs before the evacuation of the south and after right after it.
		before func(t *testing.T, f *evacuationFleet)
		after  func(t *testing.T, f *evacuationFleet)
		// outage is how long the store is away after the acknowledgement.
		outage time.Duration
		// others lists further domains that are evacuated by the bound's end.
		others []string
		// unserved says that no server is left.
		unserved bool
	}{
		{name: "calm"},
		{
			name: "the domain's leader stops",
			after: func(_ *testing.T, f *evacuationFleet) {
				f.instances[f.leaderOf("south")].stop()
			},
		},
		{
			name: "the store turns the instance away that leads",
			before: func(_ *testing.T, f *evacuationFleet) {
				f.proxies[f.leaderOf("south")].refusing.Store(true)
				time.Sleep(time.Second)
			},
		},
		{
			name: "an instance starts",
			after: func(t *testing.T, f *evacuationFleet) {
				f.start(t, "south", false)
				eventually(t, "ready", f.instances[3].ready)
			},
		},
		{
			name: "an instance finds no other",
			before: func(t *testing.T, f *evacuationFleet) {
				f.start(t, "south", true)
				eventually(t, "ready", f.instances[3].ready)
			},
		},
		{
			name: "the store is away right after it",
			after: func(_ *testing.T, f *evacuationFleet) {
				f.store.SetDown(true, true)
				time.AfterFunc(2*time.Second, func() { f.store.SetDown(false, false) })
			},
			outage: 2 * time.Second,
		},
		{
			name: "another evacuation overlaps",
			after: func(_ *testing.T, f *evacuationFleet) {
				f.evacuate("north", true)
			},
			others: []string{"north"},
		},
		{
			name: "all domains",
			after: func(_ *testing.T, f *evacuationFleet) {
				f.evacuate("north", true)
				f.evacuate("east", true)
			},
			others:   []string{"north", "east"},
			unserved: true,
		},
		{
			name: "an instance sends through others",
			before: func(_ *testing.T, f *evacuationFleet) {
				f.cut(cutRefuse, 1, nil)
				time.Sleep(time.Second)
			},
		},
	}
	places := make(chan struct{}, cutFleetsAtOnce)
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			f := newEvacuationFleet(t)
			if scenario.before != nil {
				scenario.before(t, f)
			}
			// Instances that start later are not among these.
			loaded := f.cutFleet
			calls := loaded.load(evacuationLength)
			time.Sleep(500 * time.Millisecond)
			if f.arrivals("south", time.Now().Add(-500*time.Millisecond)) == 0 {
				t.Error("nothing reached the domain before")
			}
			f.evacuate("south", true)
			acknowledged := time.Now()
			if scenario.after != nil {
				scenario.after(t, f)
			}
			var later <-chan []cutCall
			if added := f.instances[3:]; scenario.before == nil && len(added) > 0 {
				late := &cutFleet{instances: added, prefix: "late-"}
				later = late.load(time.Until(acknowledged.Add(evacuationLength)))
			}
			from := acknowledged.Add(evacuationBound)
			if scenario.outage > 0 {
				from = acknowledged.Add(max(evacuationBound, scenario.outage+storeStable))
			}
			all := <-calls
			if later != nil {
				all = append(all, <-later...)
			}
			for _, domain := range append(scenario.others, "south") {
				if count := f.arrivals(domain, from); count > 0 {
					t.Errorf("%d requests and orders reached the %s", count, domain)
				}
			}
			checkEvacuatedServed(t, all, from, scenario.unserved)
			f.checkPromises(t, all)
			for _, domain := range append(scenario.others, "south") {
				f.evacuate(domain, false)
			}
			for _, w := range f.plain[:2] {
				f.store.Put(platform.ServerTopic, w.id, w.entry("draining"))
			}
			for n, i := range f.instances {
				if !i.ready() {
					continue
				}
				eventually(t, "the south serves calls again", func() bool {
					id := fmt.Sprint("back-", time.Now().UnixNano())
					return f.send(n, "/lookup/", id, 0).whole && f.plain[2].ran(id)
				})
			}
		})
	}
}

// checkEvacuatedServed checks that the calls sent from a time on were served elsewhere, or
// refused as not run if there is no server left.
func checkEvacuatedServed(t *testing.T, calls []cutCall, from time.Time, unserved bool) {
	t.Helper()
	sent, served, answered := 0, 0, 0
	for _, call := range calls {
		// An instance that stopped answers nothing.
		if call.at.Before(from) || call.status == 0 {
			continue
		}
		sent++
		if call.whole {
			served++
		}
		if call.status != http.StatusServiceUnavailable {
			answered++
		}
	}
	if unserved && answered > 0 {
		t.Errorf("%d of %d calls were not refused as not run", answered, sent)
	}
	if sent == 0 || !unserved && float64(served) < leastEvacuatedServed*float64(sent) {
		t.Errorf("%d of %d calls were served", served, sent)
	}
}
