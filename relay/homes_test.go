package relay_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/pomelospring/pomelospring"
)

func TestBodiesAreRelayedInTheirHomesOnly(t *testing.T) {
	scenarios := []struct {
		name   string
		homes  pomelospring.Homes
		region string
		sent   bool
	}{
		{name: "no homes", region: "east", sent: true},
		{name: "no homes, through the build before", sent: true},
		{name: "at home", homes: pomelospring.Homes{"west", "east"}, region: "east", sent: true},
		{name: "elsewhere", homes: pomelospring.Homes{"west"}, region: "east"},
		{name: "through the build before, which says no region", homes: pomelospring.Homes{"east"}},
		{name: "no common home", homes: pomelospring.Homes{}, region: "east"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			target := newTarget()
			s := &server{send: func(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				return answer(strings.NewReader("")), nil
			}}
			i := startInstance(t, target, s)
			i.server.Region = scenario.region
			e := newEntry(t, target, i.address)
			call := newCall("x")
			call.Homes = scenario.homes
			_, err := e.Send(context.Background(), call, dispatchTo(target))
			if sent := s.calls.Load() == 1; sent != scenario.sent {
				t.Errorf("sent %t, want %t: %v", sent, scenario.sent, err)
			}
			if !scenario.sent && !errors.Is(err, pomelospring.ErrNotSent) {
				t.Errorf("error %v", err)
			}
		})
	}
}
