package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestLoadTotalsEqualTheSumOfReports compares the totals with sums over all
// reports after random reports and expiries.
func TestLoadTotalsEqualTheSumOfReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	totals := fleet.NewLoadTotals()
	reports := map[string]map[string]fleet.ServerLoad{}
	expiries := map[string]time.Time{}
	for step := range 2000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		instance := fmt.Sprint("instance", random.IntN(8))
		loads := map[string]fleet.ServerLoad{}
		for range random.IntN(4) {
			loads[fmt.Sprint("server", random.IntN(5))] = fleet.ServerLoad{
				Running:       1 + random.IntN(5),
				WaitingTokens: random.Int64N(9000),
				Adapters:      []string{fmt.Sprint("m/", random.IntN(3)), "m/used"},
			}
		}
		reports[instance], expiries[instance] = loads, now.Add(80*time.Millisecond)
		totals.Report(instance, loads, expiries[instance])
		totals.Expire(now)
		want := map[string]fleet.ServerLoad{}
		adapters := map[string]map[string]int{}
		for id, report := range reports {
			if now.After(expiries[id]) {
				continue
			}
			for server, load := range report {
				if adapters[server] == nil {
					adapters[server] = map[string]int{}
				}
				for _, adapter := range load.Adapters {
					adapters[server][adapter]++
				}
				if id == instance {
					continue
				}
				sum := want[server]
				sum.Running += load.Running
				sum.WaitingTokens += load.WaitingTokens
				want[server] = sum
			}
		}
		if diff := cmp.Diff(want, totals.Others(instance)); diff != "" {
			t.Fatalf("step %d, others: %s", step, diff)
		}
		for server := range adapters {
			if diff := cmp.Diff(adapters[server], totals.Total(server).Adapters); diff != "" {
				t.Fatalf("step %d, adapters of %s: %s", step, server, diff)
			}
		}
	}
}

// BenchmarkLoadTotals measures a report and the reply to it.
func BenchmarkLoadTotals(b *testing.B) {
	for _, instances := range []int{6, 79, 530} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			totals := fleet.NewLoadTotals()
			loads := map[string]fleet.ServerLoad{}
			for i := range 30 {
				loads[fmt.Sprint("server", i)] = fleet.ServerLoad{
					Running:  1,
					Adapters: []string{"m/x"},
				}
			}
			for i := range instances {
				totals.Report(fmt.Sprint(i), loads, start)
			}
			for b.Loop() {
				totals.Report("0", loads, start)
				totals.Others("0")
			}
		})
	}
}
