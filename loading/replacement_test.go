package loading_test

import (
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// TestReplacedVersionTakesNoSlot guards against workers that are ordered to load more than
// they have slots for: one that replaces an adapter's version holds both until the calls
// of the old one have ended.
func TestReplacedVersionTakesNoSlot(t *testing.T) {
	waiting := func(resident ...string) pomelospring.EngineReport {
		r := report(1, resident...)
		r.Loading = []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 2}}
		return r
	}
	scenarios := []struct {
		name string
		// resident are the adapters before the replacement, of slots.
		resident []string
		// reported is the worker's report after it; nil for none.
		reported *pomelospring.EngineReport
		after    time.Duration
		want     loading.PlanKind
	}{
		{name: "a slot free before", resident: []string{"m/x"}, want: loading.PlanWait},
		{name: "all slots in use", resident: []string{"m/x", "m/old"}, want: loading.PlanWait},
		{name: "a slot free before, long after the order", resident: []string{"m/x"}, after: 5 * time.Second, want: loading.PlanWait},
		{name: "reported as waiting", resident: []string{"m/x"}, reported: new(waiting("m/x")), after: 5 * time.Second, want: loading.PlanWait},
		{name: "reported as done", resident: []string{"m/x"}, reported: new(report(1, "m/x")), after: 5 * time.Second, want: loading.PlanLoad},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			table := loading.NewPlacementTable()
			table.SetServers([]pomelospring.FleetServer{server("a")}, limits(), 1)
			table.ApplyReport("a", report(0, scenario.resident...), start)
			now := start.Add(10 * time.Second)
			if _, ok := table.BeginOrder("a"); !ok {
				t.Fatal("the worker takes no order")
			}
			table.ApplyLoad("a", "m/x", 2, pomelospring.OrderAccepted, now)
			table.EndOrder("a")
			now = now.Add(scenario.after)
			due := table.DueReports(now)
			if len(due) > 0 && scenario.reported != nil {
				table.ApplyReport("a", *scenario.reported, now)
			}
			if got := table.Plan(request("m/new"), now); got.Kind != scenario.want {
				t.Errorf("plan %+v, want %s", got, scenario.want)
			}
		})
	}
}

// TestEvictionForReplica plays adapters that are asked for once and then keep the slots
// of workers that a popular adapter needs.
func TestEvictionForReplica(t *testing.T) {
	queued := request("m/popular")
	queued.Replica = true
	optional := request("m/elsewhere")
	optional.Optional, optional.OwnDomain, optional.AtOnce = true, true, true
	scenarios := []struct {
		name    string
		request pomelospring.PlacementRequest
		unused  time.Duration
		want    loading.PlanKind
	}{
		{name: "a queue, no worker with an adapter that is out of use", request: queued, unused: 100 * time.Millisecond, want: loading.PlanWait},
		{name: "a queue, adapters that were used lately", request: queued, unused: 1500 * time.Millisecond, want: loading.PlanLoad},
		{name: "fewer bytes, adapters that were used lately", request: optional, unused: 1500 * time.Millisecond, want: loading.PlanWait},
		{name: "fewer bytes, unused adapters", request: optional, unused: 4 * time.Second, want: loading.PlanLoad},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			table := loading.NewPlacementTable()
			table.SetServers([]pomelospring.FleetServer{server("a"), server("b")}, limits(), 1)
			table.ApplyReport("a", report(0, "m/popular", "m/x"), start)
			table.ApplyReport("b", report(0, "m/once", "m/rare"), start)
			used := start.Add(time.Minute)
			table.SetServerLoad("a", 2, 0, map[string]int{"m/popular": 1, "m/x": 1}, used)
			table.SetServerLoad("a", 0, 0, nil, used)
			table.SetServerLoad("b", 2, 0, map[string]int{"m/once": 1, "m/rare": 1}, used)
			table.SetServerLoad("b", 0, 0, nil, used)
			if got := table.Plan(scenario.request, used.Add(scenario.unused)); got.Kind != scenario.want {
				t.Errorf("plan %+v, want %s", got, scenario.want)
			}
		})
	}
}
