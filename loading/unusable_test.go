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
