package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/loading"
)

// modelPoll is the time after which a worker is asked for its base model again.
const modelPoll = 700 * time.Millisecond

// orderModels takes the orders that are due for accepted and names the workers.
func orderModels(k *loading.PlacementTable, now time.Time) (servers []string) {
	for _, due := range k.Maintenance(now) {
		servers = append(servers, due.Server.ID)
		k.ApplyModelLoad(due.Server.ID, due.Adapter, pomelospring.OrderAccepted, now)
	}
	return servers
}

// emptyWorkers is a book of 40 workers, w00 and so on, that hold nothing.
func emptyWorkers() *loading.PlacementTable {
	k := loading.NewPlacementTable()
	k.SetServers(workersAt(nil), limits(), 1)
	for _, worker := range workersAt(nil) {
		k.ApplyReport(worker.ID, pomelospring.EngineReport{Started: start}, start)
	}
	return k
}

// workersAt lists 40 workers at addresses of their own, with the starts of some.
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

// TestBaseModelsComeOneAfterTheOther is incident inc-2ca6: 17 workers came up
// empty, all loaded at once for 15 s, and were ordered again every 2.4 s.
func TestBaseModelsComeOneAfterTheOther(t *testing.T) {
	busy := pomelospring.EngineReport{
		Started:  start,
		Sequence: 1,
		Busy:     true,
	}
	later := start.Add(modelPoll)
	scenarios := []struct {
		name string
		// play returns the workers that are ordered in the end.
		play func(k *loading.PlacementTable) []string
		want []string
	}{
		{
			name: "as many at once as the weight store serves at full speed",
			play: func(k *loading.PlacementTable) []string { return orderModels(k, start) },
			want: []string{"w00", "w01"},
		},
		{
			name: "a worker that still loads is not ordered again, nor is another",
			play: func(k *loading.PlacementTable) []string {
				orderModels(k, start)
				k.ApplyReport("w00", busy, later)
				k.ApplyReport("w01", busy, later)
				return orderModels(k, later)
			},
		},
		{
			name: "the next one follows",
			play: func(k *loading.PlacementTable) []string {
				orderModels(k, start)
				k.ApplyReport("w00", report(1), later)
				return orderModels(k, later)
			},
			want: []string{"w02"},
		},
		{
			name: "a worker whose load came to nothing is ordered again",
			play: func(k *loading.PlacementTable) []string {
				orderModels(k, start)
				k.ApplyReport("w00", pomelospring.EngineReport{Started: start, Sequence: 1}, later)
				return orderModels(k, later)
			},
			want: []string{"w00"},
		},
		{
			name: "a worker that fell silent holds up no other for long",
			play: func(k *loading.PlacementTable) []string {
				orderModels(k, start)
				return orderModels(k, start.Add(5*time.Second))
			},
			want: []string{"w02", "w03"},
		},
		{
			name: "one that starts again where it has a copy on disk does not wait",
			play: func(k *loading.PlacementTable) []string {
				orderModels(k, start)
				k.ApplyReport("w00", report(1), start)
				k.ApplyReport("w01", busy, start)
				orderModels(k, start)
				again := start.Add(time.Second)
				k.SetServers(workersAt(map[string]time.Time{"w00": again}), limits(), 1)
				k.ApplyReport("w00", pomelospring.EngineReport{Started: again}, again)
				return orderModels(k, again)
			},
			want: []string{"w00"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if diff := cmp.Diff(scenario.want, scenario.play(emptyWorkers())); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestALoadingWorkerIsNotWaitedFor(t *testing.T) {
	k := emptyWorkers()
	orderModels(k, start)
	if diff := cmp.Diff(loading.PlanNone, k.Plan(wish("m/x"), start).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestUpkeep(t *testing.T) {
	type order struct {
		Kind    pomelospring.OrderKind
		Server  string
		Adapter string
	}
	now := start.Add(10 * time.Second)
	scenarios := []struct {
		name    string
		book    *loading.PlacementTable
		prepare func(k *loading.PlacementTable)
		want    []order
	}{
		{
			name: "nothing is due",
			book: book(report(0, "m/x"), report(0)),
		},
		{
			name: "a worker that came up empty gets its base model",
			book: book(report(0), pomelospring.EngineReport{Started: start}),
			want: []order{{Kind: pomelospring.LoadModel, Server: "b", Adapter: "m"}},
		},
		{
			name: "an old version that is not used makes way",
			book: book(report(0, "m/x"), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.DeclareVersion("m/x", 2)
			},
			want: []order{{Kind: pomelospring.UnloadAdapter, Server: "a", Adapter: "m/x"}},
		},
		{
			name: "one that is used is replaced in place",
			book: book(report(0, "m/x"), report(0)),
			prepare: func(k *loading.PlacementTable) {
				k.DeclareVersion("m/x", 2)
				k.SetServerLoad("a", 1, 0, map[string]int{"m/x": 1}, now)
			},
			want: []order{{Kind: pomelospring.LoadAdapter, Server: "a", Adapter: "m/x"}},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if scenario.prepare != nil {
				scenario.prepare(scenario.book)
			}
			var got []order
			for _, due := range scenario.book.Maintenance(now) {
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
