package origin_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// outOfStep is an instance that knew only v1, and others that may know of v2.
type outOfStep struct {
	store *originStore
	at    *instance
	// boot is what the uptime clock of the instance is ahead of its other one.
	boot time.Duration
}

func newOutOfStep() *outOfStep {
	o := &outOfStep{store: &originStore{versions: map[string][]string{}}}
	o.at = newInstance(o.store, "v1")
	o.at.Uptime = func() time.Duration { return o.at.now.Sub(time.UnixMilli(0)) + o.boot }
	o.at.keep()
	return o
}

// pass lets time pass in steps in which the instance runs, and lists its servers again
// unless it can't.
func (o *outOfStep) pass(duration time.Duration, lists bool) {
	const step = 100 * time.Millisecond
	for range duration / step {
		o.at.now = o.at.now.Add(step)
		if lists {
			o.at.list(time.UnixMilli(1000), "v1")
		}
		o.at.keep()
	}
}

// serveElsewhere lets another instance begin stream r1 at v2, and v2 leave again if it
// does.
func (o *outOfStep) serveElsewhere(writes, leaves bool) {
	other := newInstance(o.store, "v1", "v2")
	other.now = o.at.now
	other.list(time.UnixMilli(1000), "v1", "v2")
	if writes {
		other.begin("v2")
	}
	other.keep()
	if leaves {
		other.list(time.UnixMilli(1000), "v1")
		other.keep()
	}
}

// TestInstanceOutOfStepTakesItsVersionForTheOnlyOne guards against streams that go on at
// another software version because the instance missed the one that began them.
func TestInstanceOutOfStepTakesItsVersionForTheOnlyOne(t *testing.T) {
	v1 := originOf{Software: "v1", Known: true}
	scenarios := []struct {
		name string
		play func(o *outOfStep)
		want originOf
	}{
		{name: "in step", want: v1, play: func(o *outOfStep) { o.pass(3*time.Second, true) }},
		{name: "in step, the store away for others' starts", want: v1, play: func(o *outOfStep) {
			o.at.Directory = emptyDirectory{}
			o.store.away = true
			o.pass(3*time.Second, true)
		}},
		{name: "in step, and nobody answers whether others recorded a start", play: func(o *outOfStep) {
			o.store.away = true
			o.pass(3*time.Second, true)
		}},
		{name: "its list is as old as one that a leader relays", want: v1, play: func(o *outOfStep) { o.pass(900*time.Millisecond, false) }},
		{name: "its list is stale", play: func(o *outOfStep) { o.pass(2*time.Second, false) }},
		{name: "cut off from the store and the leaders", play: func(o *outOfStep) {
			o.store.away = true
			o.pass(2*time.Second, false)
		}},
		{name: "frozen and thawed", play: func(o *outOfStep) { o.at.now = o.at.now.Add(4 * time.Second) }},
		{name: "frozen and thawed, its list read again first", want: v1, play: func(o *outOfStep) {
			o.at.now = o.at.now.Add(4 * time.Second)
			o.pass(time.Second, true)
		}},
		{name: "suspended, so that its clock stood still", play: func(o *outOfStep) { o.boot += 4 * time.Second }},
		{name: "suspended, and v2 came and went meanwhile", play: func(o *outOfStep) {
			o.serveElsewhere(false, true)
			o.boot += 4 * time.Second
			o.pass(time.Second, true)
		}},
		{name: "cut off, and v2 came and went meanwhile", play: func(o *outOfStep) {
			o.store.away = true
			o.pass(3*time.Second, false)
			o.store.away = false
			o.serveElsewhere(false, true)
			o.pass(time.Second, true)
		}},
		{name: "frozen, and v2 came and went meanwhile", play: func(o *outOfStep) {
			o.serveElsewhere(false, true)
			o.at.now = o.at.now.Add(4 * time.Second)
			o.pass(time.Second, true)
		}},
		{name: "cut off, and the start was written meanwhile", want: originOf{Software: "v2", Known: true}, play: func(o *outOfStep) {
			o.pass(3*time.Second, false)
			o.serveElsewhere(true, false)
		}},
		{name: "cut off for a time in which only v1 served", want: v1, play: func(o *outOfStep) {
			o.store.away = true
			o.pass(3*time.Second, false)
			o.store.away = false
			o.pass(time.Second, true)
		}},
		{name: "back in step, but the store's history can't be read", play: func(o *outOfStep) {
			o.store.away = true
			o.pass(3*time.Second, false)
			o.pass(time.Second, true)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			o := newOutOfStep()
			scenario.play(o)
			found := o.at.Origin(t.Context(), "llm", "r1")
			got := originOf{Software: found.Software, Known: found.Known}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
