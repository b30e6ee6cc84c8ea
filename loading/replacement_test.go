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
