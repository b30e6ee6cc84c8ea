package front_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// takenUpFraction is the least part of the streams taken up elsewhere that must go on.
	takenUpFraction = 0.9
	// slowLinkBytes is what a slow link carries, in bytes a second.
	slowLinkBytes = 10_000_000 / 8
	// longHistoryRecords is how many starts of other streams the store holds.
	longHistoryRecords = 25_000
)

// slowLink returns an address at which a server is reached over a slow link of one
// instance.
func slowLink(t *testing.T, address string) string {
	l, err := standin.NewSlowLink(address, slowLinkBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.Address
}

// fillHistory records starts of streams that nobody takes up.
func (f *versionFleet) fillHistory() {
	for n := range longHistoryRecords {
		f.store.Put(platform.StartTopic, fmt.Sprintf("other%d", n), fmt.Appendf(nil, `{"service":"llm","software":"v1","server":"i-1","startedMs":1000,"atMs":%d}`, time.Now().UnixMilli()))
	}
}

// startAll starts instances over links to the store that a function makes.
func (f *versionFleet) startAll(t *testing.T, count int, link func(address string) string) (instances []*instance) {
	for n := range count {
		instances = append(instances, startInstance(t, fmt.Sprintf("i%d", n), link(f.address)))
	}
	for n, i := range instances {
		// No server has the adapter, so that the instance needs to know a leader.
		eventually(t, "places adapters", func() bool {
			s := &callerStream{id: fmt.Sprint("probe-", n, "-", time.Now().UnixNano()), adapter: fmt.Sprint("b", n), versions: map[string]bool{}}
			s.read(i, 1, 1)
			return s.events > 0
		})
	}
	return instances
}

// breakAndTakeUp lets all streams break off after one to three events and be taken up
// some time later at other instances, with one retry.
func (f *versionFleet) breakAndTakeUp(instances []*instance, after time.Duration, away func()) {
	var group sync.WaitGroup
	for n, s := range f.streams {
		group.Go(func() {
			s.read(instances[n%len(instances)], 1, 1+n%eventsTillLeft)
			time.Sleep(after)
			for try := 2; try < 4 && s.events > 0 && s.events < streamEvents; try++ {
				s.read(instances[(n+try)%len(instances)], try, streamEvents)
			}
		})
		time.Sleep(10 * time.Millisecond)
		if away != nil && n == 0 {
			away()
		}
	}
	group.Wait()
}

// TestStreamTakenUpElsewhereIsRefused guards against refusing streams that are taken up at
// an instance that did not begin them, though servers of their software version serve.
func TestStreamTakenUpElsewhereIsRefused(t *testing.T) {
	direct := func(address string) string { return address }
	scenarios := []struct {
		name      string
		instances int
		slow      bool
		after     time.Duration
		// prepare is played before the instances start, away after the first stream began.
		prepare func(f *versionFleet)
		away    func(f *versionFleet)
	}{
		{name: "six instances", instances: 6},
		{name: "24 instances", instances: 24},
		{name: "a long history behind slow links", instances: 6, slow: true, prepare: (*versionFleet).fillHistory},
		{name: "a long history behind slow links, a second later", instances: 6, slow: true, after: time.Second, prepare: (*versionFleet).fillHistory},
		{name: "the store goes away as the streams begin", instances: 6, away: func(f *versionFleet) { f.store.SetDown(true, false) }},
		{name: "the store falls silent as the streams begin", instances: 6, away: func(f *versionFleet) { f.store.SetDown(false, true) }},
		{name: "the store is slow", instances: 6, away: func(f *versionFleet) { f.store.SetDelay(400 * time.Millisecond) }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			f := newVersionFleet(t)
			if scenario.prepare != nil {
				scenario.prepare(f)
			}
			link := direct
			if scenario.slow {
				link = func(address string) string { return slowLink(t, address) }
			}
			instances := f.startAll(t, scenario.instances, link)
			var away func()
			if scenario.away != nil {
				away = func() { scenario.away(f) }
			}
			f.breakAndTakeUp(instances, scenario.after, away)
			mixed, complete, expected := f.count(f.versionsBegun(), "")
			t.Logf("%d streams of two versions, %d of %d whole", mixed, complete, expected)
			if mixed > maxMixedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", mixed, len(f.streams))
			}
			if expected < len(f.streams)*9/10 || float64(complete) < takenUpFraction*float64(expected) {
				t.Errorf("%d of %d streams began, %d of them are whole, want %.2f of them", expected, len(f.streams), complete, takenUpFraction)
			}
		})
	}
}
