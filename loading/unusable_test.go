package loading_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// TestUnusableWorkerIsPlanned guards against placements on a worker that the asking
// instance sends nothing to, and against requests for its report, as it has not
// failed.
func TestUnusableWorkerIsPlanned(t *testing.T) {
	now := start.Add(10 * time.Second)
	table := workers(report(1, "m/x"), report(1))
	request := request("m/x")
	request.Unusable = []string{"a"}
	plan := table.Plan(request, now)
	if diff := cmp.Diff([]any{loading.PlanLoad, "b"}, []any{plan.Kind, plan.Server.ID}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]pomelospring.FleetServer(nil), table.DueReports(now)); diff != "" {
		t.Error(diff)
	}
}

// TestOrderToDrainingWorker guards against orders that were planned just before their
// worker announced that it leaves.
func TestOrderToDrainingWorker(t *testing.T) {
	table := workers(report(1), report(1))
	leaving := server("a")
	leaving.Draining = true
	table.SetServers([]pomelospring.FleetServer{leaving, server("b")}, limits(), 1)
	for id, want := range map[string]bool{"a": false, "b": true} {
		if _, ok := table.BeginOrder(id); ok != want {
			t.Errorf("order to %s: %t, want %t", id, ok, want)
		}
	}
}

// TestPausingWorkerIsOrdered guards against orders and requests for a report that reach
// a worker which asked the leader's instance for a pause.
func TestPausingWorkerIsOrdered(t *testing.T) {
	now := start.Add(10 * time.Second)
	end := now.Add(time.Second)
	table := workers(report(1), pomelospring.EngineReport{Sequence: 1, Started: start})
	table.Pauses = map[string]time.Time{"a": end, "b": end}
	if plan := table.Plan(request("m/x"), now); plan.Kind != loading.PlanNone {
		t.Errorf("plan %s at %s", plan.Kind, plan.Server.ID)
	}
	if diff := cmp.Diff(0, len(table.Maintenance(now))); diff != "" {
		t.Errorf("maintenance: %s", diff)
	}
	table.Invalidate(now)
	if diff := cmp.Diff(0, len(table.DueReports(now))); diff != "" {
		t.Errorf("reports: %s", diff)
	}
	if diff := cmp.Diff(2, len(table.DueReports(end))); diff != "" {
		t.Errorf("reports after the pause: %s", diff)
	}
	table.ApplyReport("a", report(1), end)
	if plan := table.Plan(request("m/x"), end); plan.Kind != loading.PlanLoad {
		t.Errorf("plan %s after the pause", plan.Kind)
	}
}
