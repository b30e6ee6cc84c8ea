package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
)

const (
	// homesInForce is the time within which a configuration is in force everywhere.
	homesInForce = 3 * time.Second
	// homedLoad is how long calls are sent.
	homedLoad = 3 * time.Second
)

func TestCallsStayInTheirHomes(t *testing.T) {
	scenarios := []struct {
		name string
		// route and team are the homes of the stream's route and of the team.
		route string
		team  string
		cut   bool
		// want lists the domains whose servers get streams, and which get plain calls.
		wantModels string
		wantPlain  string
	}{
		{name: "the route's", route: `["asia","africa"]`, wantModels: "east south", wantPlain: "east north south"},
		{name: "the team's", team: `["asia"]`, wantModels: "east", wantPlain: "east"},
		{name: "both", route: `["asia","africa"]`, team: `["africa","europe"]`, wantModels: "south", wantPlain: "north south"},
		{name: "the team's, through other instances", team: `["asia"]`, cut: true, wantModels: "east", wantPlain: "east"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			f := newEvacuationFleet(t)
			homed := strings.Replace(cutPolicy, `"version":1`, `"version":2`, 1)
			if scenario.route != "" {
				homed = strings.Replace(homed, `"resumable":true`, `"resumable":true,"allowed-regions":`+scenario.route, 1)
			}
			if scenario.team != "" {
				homed = strings.Replace(homed, `"api-keys"`, `"allowed-regions":`+scenario.team+`,"api-keys"`, 1)
			}
			f.store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(homed))
			if scenario.cut {
				// The first instance is in the east.
				f.links[1].fail(cutRefuse, nil)
			}
			time.Sleep(homesInForce)
			from := time.Now()
			calls := <-f.load(homedLoad)
			served := 0
			statuses := map[string]int{}
			for _, call := range calls {
				statuses[fmt.Sprint(call.instance, call.path, call.status)]++
				if call.whole {
					served++
				}
			}
			if float64(served) < leastEvacuatedServed*float64(len(calls)) {
				t.Errorf("%d of %d calls were served: %v", served, len(calls), statuses)
			}
			for _, servers := range []struct {
				list []*worker
				want string
			}{{list: f.models, want: scenario.wantModels}, {list: f.plain, want: scenario.wantPlain}} {
				for _, w := range servers.list {
					requests, _ := w.arrivals(from)
					if requests > 0 && !strings.Contains(servers.want, w.domain) {
						t.Errorf("%d requests reached %s in the %s", requests, w.id, w.domain)
					}
				}
			}
		})
	}
}
