package pomelospring_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
)

func TestHomes(t *testing.T) {
	scenarios := []struct {
		name  string
		route pomelospring.Homes
		team  pomelospring.Homes
		// want lists which of the regions "", east and west the call may reach.
		want []bool
	}{
		{name: "none", want: []bool{true, true, true}},
		{name: "the route's", route: pomelospring.Homes{"east"}, want: []bool{false, true, false}},
		{name: "the team's", team: pomelospring.Homes{"east", "west"}, want: []bool{false, true, true}},
		{name: "both", route: pomelospring.Homes{"east", "west"}, team: pomelospring.Homes{"west"}, want: []bool{false, false, true}},
		{name: "both, which have none in common", route: pomelospring.Homes{"east"}, team: pomelospring.Homes{"west"}, want: []bool{false, false, false}},
		{name: "an empty list", route: pomelospring.Homes{}, want: []bool{true, true, true}},
		{name: "an empty name", route: pomelospring.Homes{""}, team: pomelospring.Homes{"", "east"}, want: []bool{false, true, false}},
		{name: "empty names only", route: pomelospring.Homes{""}, team: pomelospring.Homes{"", ""}, want: []bool{true, true, true}},
		{name: "an unknown region", route: pomelospring.Homes{"north"}, want: []bool{false, false, false}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			homes := pomelospring.CommonHomes(scenario.route, scenario.team)
			got := make([]bool, 0, 3)
			for _, region := range []string{"", "east", "west"} {
				got = append(got, homes.Allow(region))
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
