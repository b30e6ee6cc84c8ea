package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// TestDomainDemandOfARareAdapterIsNotOverestimated plays a domain's calls for one
// adapter that reach its instances at random, and checks how many of the instances
// take the adapter for one that is called 4 times a second.
func TestDomainDemandOfARareAdapterIsNotOverestimated(t *testing.T) {
	const domains, length, frequent = 5, 60 * time.Second, 4.0
	scenarios := []struct {
		instances int
		perSecond float64
		// most and least bound the share of the calls that find the adapter frequent.
		least, most float64
	}{
		{instances: 5, perSecond: 0.5, most: 0.02},
		{instances: 60, perSecond: 0.5, most: 0.02},
		{instances: 195, perSecond: 0.5, most: 0.02},
		{instances: 5, perSecond: 20, least: 0.9, most: 1},
		{instances: 60, perSecond: 40, least: 0.9, most: 1},
		{instances: 195, perSecond: 100, least: 0.9, most: 1},
	}
	for _, scenario := range scenarios {
		t.Run(fmt.Sprintf("%d instances, %.1f calls a second", scenario.instances, scenario.perSecond), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			servers := map[string]pomelospring.FleetServer{}
			for i := range domains {
				id := fmt.Sprint(i)
				servers[id] = pomelospring.FleetServer{ID: id, Domain: id}
			}
			boards := make([]*fleet.Board, scenario.instances/domains)
			for i := range boards {
				boards[i] = fleet.NewBoard("0")
				boards[i].SetServers(servers, start)
				boards[i].SetReportStaleness(scenario.instances, 300*time.Millisecond)
			}
			calls, found := 0, 0
			interval := time.Duration(float64(time.Second) / scenario.perSecond)
			for now := start; now.Before(start.Add(length)); now = now.Add(interval) {
				board := boards[random.IntN(len(boards))]
				board.RecordDemand("m/x", 1000, now)
				if now.Before(start.Add(length / 4)) {
					continue
				}
				calls++
				if board.DomainDemand("m/x", now) > frequent {
					found++
				}
			}
			if share := float64(found) / float64(calls); share < scenario.least || share > scenario.most {
				t.Errorf("%.2f of the calls find the adapter frequent", share)
			}
		})
	}
}
