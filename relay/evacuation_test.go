package relay_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
)

// The call may have waited since its server was chosen.
func TestACallChosenBeforeAnEvacuationIsNotSent(t *testing.T) {
	scenarios := []struct {
		name   string
		broken bool
	}{
		{name: "over the own path"},
		{name: "through another instance", broken: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			target := newTarget()
			s := &server{send: func(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
				return answer(strings.NewReader("")), nil
			}}
			e := newEntry(t, target, startInstance(t, target, s).address)
			if scenario.broken {
				e.board.RecordPathFailure(target, time.Now())
			}
			e.board.SetEvacuated("north", true)
			_, err := e.Send(context.Background(), newCall("x"), dispatchTo(target))
			if !errors.Is(err, pomelospring.ErrEvacuated) || !errors.Is(err, pomelospring.ErrNotSent) {
				t.Errorf("error %v", err)
			}
			if s.calls.Load() != 0 || e.direct.calls.Load() != 0 {
				t.Errorf("%d and %d calls were sent", s.calls.Load(), e.direct.calls.Load())
			}
		})
	}
}
