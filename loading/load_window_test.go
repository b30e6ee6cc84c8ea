package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/loading"
)

// tableOf returns a table of a domain's workers, each with the given slots, all
// reported as empty. The fleet has so many domains.
func tableOf(workerCount, slotsEach, domains int) *loading.PlacementTable {
	limits := limits()
	engine := limits["llm"]
	engine.AdapterSlots = slotsEach
	limits["llm"] = engine
	servers := make([]pomelospring.FleetServer, 0, workerCount)
	for i := range workerCount {
		servers = append(servers, server(fmt.Sprintf("w%05d", i)))
	}
	table := loading.NewPlacementTable()
	table.SetServers(servers, limits, domains)
	for _, s := range servers {
		table.ApplyReport(s.ID, report(0), start)
	}
	return table
}

// place plans for an adapter and, if it is to be loaded, applies an accepted order.
func place(table *loading.PlacementTable, request pomelospring.PlacementRequest, now time.Time) loading.Plan {
	plan := table.Plan(request, now)
	if plan.Kind != loading.PlanLoad {
		return plan
	}
	table.BeginOrder(plan.Server.ID)
	plan.At, _ = table.ApplyLoad(plan.Server.ID, request.Adapter, plan.Version, pomelospring.OrderAccepted, now)
	table.EndOrder(plan.Server.ID)
	return plan
}

func TestDomainsShareTheFirstLoads(t *testing.T) {
	// Three domains of 12 workers start with 8 loads, whatever the weight store
	// serves at full speed.
	scenarios := []struct {
		name    string
		leaders int
		want    int
	}{
		{name: "all domains load", want: 3},
		{name: "one domain has no active leader", leaders: 2, want: 4},
		{name: "only this domain loads", leaders: 1, want: 8},
		{name: "no more leaders than domains", leaders: 9, want: 3},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			table := tableOf(12, slots, 3)
			table.ActiveLeaders = scenario.leaders
			loads := 0
			for i := range 20 {
				if place(table, request(fmt.Sprint("m/", i)), start).Kind == loading.PlanLoad {
					loads++
				}
			}
			if diff := cmp.Diff(scenario.want, loads); diff != "" {
				t.Errorf("concurrent loads: %s", diff)
			}
		})
	}
}

// TestFailedCallsDontShrinkTheWindow plays workers that crash while they load. Only
// calls that a worker answers without the adapter show that a load is late.
func TestFailedCallsDontShrinkTheWindow(t *testing.T) {
	table := tableOf(12, slots, 1)
	concurrent := func(from int, now time.Time) (loads int) {
		for i := range 20 {
			if place(table, request(fmt.Sprint("m/", from+i)), now).Kind == loading.PlanLoad {
				loads++
			}
		}
		return loads
	}
	before := concurrent(0, start)
	for i := range before {
		failed := request(fmt.Sprint("m/", i))
		failed.Avoid = []string{table.Plan(failed, start).Server.ID}
		table.Plan(failed, start.Add(300*time.Millisecond))
	}
	if after := concurrent(100, start.Add(2*time.Second)); after < before {
		t.Errorf("%d loads at once after failed calls, %d before", after, before)
	}
}

const (
	storeStep = 5 * time.Millisecond
	// fullSpeedLoadTime is how long a simulated weight store takes for a load, and
	// slowStoreLoadTime how long another one does.
	fullSpeedLoadTime = 250 * time.Millisecond
	slowStoreLoadTime = 290 * time.Millisecond
	callSpread        = 30 * time.Millisecond
)

// weightStore simulates a weight store that serves some loads at full speed and
// slows all of them down beyond.
type weightStore struct {
	fullSpeed int
	// remaining holds the time at full speed that each load still needs.
	remaining map[string]time.Duration
	// sent is when a call for the adapter is sent to its worker, and asked when
	// its caller asked.
	sent  map[string]loading.Plan
	asked map[string]time.Time
}

// advance runs the loads for one step.
func (s *weightStore) advance() {
	progress := storeStep
	if len(s.remaining) > s.fullSpeed {
		progress = storeStep * time.Duration(s.fullSpeed) / time.Duration(len(s.remaining))
	}
	for adapter := range s.remaining {
		if s.remaining[adapter] -= progress; s.remaining[adapter] <= 0 {
			delete(s.remaining, adapter)
		}
	}
}

// TestLoadWindowFindsFullSpeed plays callers that ask for more new adapters than
// any store can serve, and checks how many of them get theirs, and how fast.
func TestLoadWindowFindsFullSpeed(t *testing.T) {
	scenarios := []struct {
		fullSpeed int
		loadTime  time.Duration
		// spread is by how much later some calls reach the worker than others.
		spread time.Duration
	}{
		{fullSpeed: 3, loadTime: fullSpeedLoadTime},
		{fullSpeed: 8, loadTime: fullSpeedLoadTime},
		{fullSpeed: 24, loadTime: fullSpeedLoadTime},
		{fullSpeed: 72, loadTime: fullSpeedLoadTime},
		{fullSpeed: 3, loadTime: slowStoreLoadTime},
		{fullSpeed: 8, loadTime: slowStoreLoadTime},
		{fullSpeed: 24, loadTime: slowStoreLoadTime},
		{fullSpeed: 72, loadTime: slowStoreLoadTime},
		{fullSpeed: 8, loadTime: slowStoreLoadTime, spread: callSpread},
		{fullSpeed: 24, loadTime: slowStoreLoadTime, spread: callSpread},
		{fullSpeed: 72, loadTime: slowStoreLoadTime, spread: callSpread},
	}
	for _, scenario := range scenarios {
		fullSpeed := scenario.fullSpeed
		t.Run(fmt.Sprintf("%d loads at full speed, each of %s, calls up to %s later", fullSpeed, scenario.loadTime, scenario.spread), func(t *testing.T) {
			table := tableOf(60, 40, 1)
			store := &weightStore{
				fullSpeed: fullSpeed,
				remaining: map[string]time.Duration{},
				sent:      map[string]loading.Plan{},
				asked:     map[string]time.Time{},
			}
			const learning, length = 8 * time.Second, 20 * time.Second
			served, adapters := 0, 0
			var waited time.Duration
			for passed := time.Duration(0); passed < length; passed += storeStep {
				now := start.Add(passed)
				store.advance()
				table.MarkReady(now.Add(-storeStep), now)
				for adapter, plan := range store.sent {
					if now.Before(plan.At.Add(time.Duration(dispatch.HashFraction(adapter) * float64(scenario.spread)))) {
						continue
					}
					if store.remaining[adapter] > 0 {
						// The worker rejects the call, as it lacks the adapter.
						again := request(adapter)
						again.Missing = []string{plan.Server.ID}
						store.sent[adapter] = place(table, again, now)
						continue
					}
					delete(store.sent, adapter)
					if passed > learning {
						served++
						waited += now.Sub(store.asked[adapter])
					}
				}
				for {
					adapter := fmt.Sprint("m/", adapters)
					plan := place(table, request(adapter), now)
					if plan.Kind != loading.PlanLoad {
						break
					}
					adapters++
					store.remaining[adapter] = scenario.loadTime
					store.sent[adapter] = plan
					store.asked[adapter] = now
				}
			}
			possible := float64(fullSpeed) / scenario.loadTime.Seconds() * (length - learning).Seconds()
			if share := float64(served) / possible; share < 0.75 {
				t.Errorf("%d callers were served, %.2f of what the store can load", served, share)
			}
			if mean := waited / time.Duration(max(1, served)); mean > scenario.loadTime*3/2 {
				t.Errorf("callers waited for %s on average", mean)
			}
		})
	}
}

// BenchmarkPlan measures a decision for an adapter that no worker has, with the
// slots of all workers taken.
func BenchmarkPlan(b *testing.B) {
	for _, workerCount := range []int{156, 1200, 12000} {
		b.Run(fmt.Sprint(workerCount), func(b *testing.B) {
			table := tableOf(workerCount, 6, 1)
			now := start
			for i := range workerCount * 6 {
				now = now.Add(fullSpeedLoadTime)
				place(table, request(fmt.Sprint("m/", i)), now)
			}
			now = now.Add(time.Minute)
			b.ResetTimer()
			for b.Loop() {
				table.Plan(request("m/new"), now)
			}
		})
	}
}
