package front_test

import (
	"fmt"
	"testing"
	"time"
)

// faultDomains are the failure domains of the instances, in turn.
var faultDomains = []string{"east", "north", "south"}

// startInDomains starts instances in several failure domains, each with a leader.
func (f *versionFleet) startInDomains(t *testing.T, count int) (instances []*instance) {
	for n := range count {
		config := newConfig(t, fmt.Sprintf("i%d", n), f.address)
		config.Domain, config.Domains = faultDomains[n%len(faultDomains)], faultDomains
		instances = append(instances, start(t, config))
	}
	for n, i := range instances {
		eventually(t, "places adapters", func() bool {
			s := &callerStream{id: fmt.Sprint("probe-", n, "-", time.Now().UnixNano()), adapter: fmt.Sprint("b", n), versions: map[string]bool{}}
			s.read(i, 1, 1)
			return s.events > 0
		})
	}
	return instances
}

// TestStreamIsLostWithInstancesThatKnewIt guards against refusing streams whose start was
// known to instances that have stopped, while the store can't be read.
func TestStreamIsLostWithInstancesThatKnewIt(t *testing.T) {
	scenarios := []struct {
		name string
		// stopped is how many instances stop between the tries, of those that began the
		// streams.
		stopped int
		// storeAway takes the store away before the streams begin.
		storeAway bool
		// after is the time between the stop and the next try.
		after time.Duration
	}{
		{name: "none stopped, the store away", storeAway: true},
		{name: "one of six stopped", stopped: 1},
		{name: "one of six stopped, the store away", stopped: 1, storeAway: true},
		{name: "three of six stopped", stopped: 3},
		{name: "three of six stopped, two seconds later", stopped: 3, after: 2 * time.Second},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			f := newVersionFleet(t)
			instances := f.startInDomains(t, 6)
			if scenario.storeAway {
				f.store.SetDown(true, false)
			}
			f.readAll(instances, 1, eventsTillLeft)
			began := f.versionsBegun()
			for _, i := range instances[:scenario.stopped] {
				i.stopAndWait(t)
			}
			time.Sleep(scenario.after)
			left := instances[scenario.stopped:]
			// Most streams are taken up at another instance than the one that began them.
			f.takeUp(append(left[1:len(left):len(left)], left[0]))
			mixed, complete, expected := f.count(began, "")
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
