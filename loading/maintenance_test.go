package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// modelPollInterval is the time between requests for the report of a worker that
// loads its base model.
const modelPollInterval = 700 * time.Millisecond

// orderModels applies the due orders as accepted and returns their workers.
func orderModels(table *loading.PlacementTable, now time.Time) (servers []string) {
	for _, due := range table.Maintenance(now) {
		servers = append(servers, due.Server.ID)
		table.ApplyModelLoad(due.Server.ID, due.Adapter, pomelospring.OrderAccepted, now)
	}
	return servers
}

// emptyWorkers returns a table of 40 workers, w00 to w39, without base models.
func emptyWorkers() *loading.PlacementTable {
	table := loading.NewPlacementTable()
	table.SetServers(workersAt(nil), limits(), 1)
	for _, worker := range workersAt(nil) {
		table.ApplyReport(worker.ID, pomelospring.EngineReport{Started: start}, start)
	}
	return table
}

// workersAt lists 40 workers at different addresses; starts overrides the start
// times of some.
func workersAt(starts map[string]time.Time) (servers []pomelospring.FleetServer) {
	for i := range 40 {
		worker := server(fmt.Sprintf("w%02d", i))
		worker.Address = fmt.Sprintf("10.0.0.%d:80", i)
		if at, set := starts[worker.ID]; set {
			worker.Started = at
		}
		servers = append(servers, worker)
	}
	return servers
}

// TestBaseModelLoadsAreLimited guards against overloading the weight store when
// many workers start empty: 17 workers that loaded their base models at once
// took 15 s, and received the same order again every 2.4 s.
func TestBaseModelLoadsAreLimited(t *testing.T) {
	busy := pomelospring.EngineReport{
		Started:  start,
		Sequence: 1,
		Busy:     true,
	}
	later := start.Add(modelPollInterval)
	scenarios := []struct {
		name string
		// run returns the workers that receive the last orders.
		run  func(table *loading.PlacementTable) []string
		want []string
	}{
		{
			name: "loads start up to the full speed of the weight store",
			run:  func(table *loading.PlacementTable) []string { return orderModels(table, start) },
			want: []string{"w00", "w01"},
		},
		{
			name: "no order is given while the loads are in flight",
			run: func(table *loading.PlacementTable) []string {
				orderModels(table, start)
				table.ApplyReport("w00", busy, later)
				table.ApplyReport("w01", busy, later)
				return orderModels(table, later)
			},
		},
		{
			name: "the next worker loads after one has finished",
			run: func(table *loading.PlacementTable) []string {
				orderModels(table, start)
				table.ApplyReport("w00", report(1), later)
				return orderModels(table, later)
			},
			want: []string{"w02"},
		},
		{
			name: "a worker whose load failed receives the order again",
			run: func(table *loading.PlacementTable) []string {
				orderModels(table, start)
				table.ApplyReport("w00", pomelospring.EngineReport{Started: start, Sequence: 1}, later)
				return orderModels(table, later)
			},
			want: []string{"w00"},
		},
		{
			name: "a worker that stops responding does not block others for long",
			run: func(table *loading.PlacementTable) []string {
				orderModels(table, start)
				return orderModels(table, start.Add(5*time.Second))
			},
			want: []string{"w02", "w03"},
		},
		{
			name: "a worker that restarts with a copy on disk does not wait",
			run: func(table *loading.PlacementTable) []string {
				orderModels(table, start)
				table.ApplyReport("w00", report(1), start)
				table.ApplyReport("w01", busy, start)
				orderModels(table, start)
				again := start.Add(time.Second)
				table.SetServers(workersAt(map[string]time.Time{"w00": again}), limits(), 1)
				table.ApplyReport("w00", pomelospring.EngineReport{Started: again}, again)
				return orderModels(table, again)
			},
			want: []string{"w00"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if diff := cmp.Diff(scenario.want, scenario.run(emptyWorkers())); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlanDoesNotWaitForBaseModelLoads(t *testing.T) {
	table := emptyWorkers()
	orderModels(table, start)
	if diff := cmp.Diff(loading.PlanNone, table.Plan(request("m/x"), start).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestMaintenance(t *testing.T) {
	type order struct {
		Kind    pomelospring.OrderKind
		Server  string
		Adapter string
	}
	now := start.Add(10 * time.Second)
	scenarios := []struct {
		name    string
		workers *loading.PlacementTable
		prepare func(table *loading.PlacementTable)
		want    []order
	}{
		{
			name:    "no order is due",
			workers: workers(report(0, "m/x"), report(0)),
		},
		{
			name:    "an empty worker loads a base model",
			workers: workers(report(0), pomelospring.EngineReport{Started: start}),
			want:    []order{{Kind: pomelospring.LoadModel, Server: "b", Adapter: "m"}},
		},
		{
			name:    "an outdated version that is not in use is unloaded",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.DeclareVersion("m/x", 2)
			},
			want: []order{{Kind: pomelospring.UnloadAdapter, Server: "a", Adapter: "m/x"}},
		},
		{
			name:    "an outdated version in use is replaced in place",
			workers: workers(report(0, "m/x"), report(0)),
			prepare: func(table *loading.PlacementTable) {
				table.DeclareVersion("m/x", 2)
				table.SetServerLoad("a", 1, 0, map[string]int{"m/x": 1}, now)
			},
			want: []order{{Kind: pomelospring.LoadAdapter, Server: "a", Adapter: "m/x"}},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if scenario.prepare != nil {
				scenario.prepare(scenario.workers)
			}
			var got []order
			for _, due := range scenario.workers.Maintenance(now) {
				got = append(got, order{
					Kind:    due.Kind,
					Server:  due.Server.ID,
					Adapter: due.Adapter,
				})
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
