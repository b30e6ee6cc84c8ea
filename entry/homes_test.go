package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
)

// The model workers a, in the east, and b, in the west, have the adapter; so do the
// plain servers lie.
func TestCallStaysInItsHomes(t *testing.T) {
	scenarios := []struct {
		name    string
		route   pomelospring.Homes
		team    pomelospring.Homes
		regions map[string]string
		// want lists the domains to which calls may be sent.
		want []string
	}{
		{name: "no homes", want: []string{"north", "south"}},
		{name: "no homes, unknown regions", regions: map[string]string{}, want: []string{"north", "south"}},
		{name: "the route's", route: pomelospring.Homes{"east"}, want: []string{"south"}},
		{name: "the team's", team: pomelospring.Homes{"west"}, want: []string{"north"}},
		{name: "both", route: pomelospring.Homes{"east", "west"}, team: pomelospring.Homes{"east"}, want: []string{"south"}},
		{name: "both, which have none in common", route: pomelospring.Homes{"west"}, team: pomelospring.Homes{"east"}},
		{name: "an unknown region", route: pomelospring.Homes{"nowhere"}},
		{name: "unknown regions of the domains", route: pomelospring.Homes{"east"}, regions: map[string]string{}},
	}
	for _, scenario := range scenarios {
		for _, path := range []string{"/order/1", "/lookup/1", "/proof/1"} {
			t.Run(scenario.name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					service, _ := newEvacuatedService(false)
					backend := &pausingBackend{}
					service.Backend, service.Coordinator = backend, unaskedCoordinator{}
					service.Board.Regions = map[string]string{"north": "west", "south": "east"}
					if scenario.regions != nil {
						service.Board.Regions = scenario.regions
					}
					homed := *service.Board.Policy()
					homed.Version++
					homed.Routes = slices.Clone(homed.Routes)
					for i := range homed.Routes {
						homed.Routes[i].Homes = scenario.route
					}
					homed.Teams = map[string]pomelospring.PolicyTeam{"shop": {Name: "shop", Homes: scenario.team}}
					service.Board.SetPolicy(&homed)
					// Servers that answer 503 with a pause let calls go on to others.
					backend.pauses = map[string]time.Duration{"a": time.Minute, "b": time.Minute, "app-a": time.Minute, "app-b": time.Minute}
					out := &refusedResponder{}
					for range 4 {
						service.Serve(t.Context(), call(path), out)
					}
					domains := map[string]bool{}
					for id := range backend.arrivals {
						server, _ := service.Board.Server(id)
						domains[server.Domain] = true
						if !slices.Contains(scenario.want, server.Domain) {
							t.Errorf("sent to %s in the %s", id, server.Domain)
						}
					}
					if len(domains) != len(scenario.want) {
						t.Errorf("sent to %v, want %v", domains, scenario.want)
					}
					if len(scenario.want) == 0 && (out.refusal == nil || out.refusal.Outcome != pomelospring.NotRun) {
						t.Errorf("refusal %s, want one as not run", fmt.Sprint(out.refusal))
					}
				})
			})
		}
	}
}
