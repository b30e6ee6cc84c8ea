package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// policyWatchInterval is the time between looks at the age of the configuration.
const policyWatchInterval = 200 * time.Millisecond

// PolicyWatch logs when the configuration becomes too old to be relied on, and when it is
// confirmed again.
type PolicyWatch struct {
	Board  *Board
	Logger log.Interface
	Clock  pomelospring.Clock

	// outdatedSince is zero while the configuration is fresh.
	outdatedSince time.Time
}

// Run watches until the context ends.
func (w *PolicyWatch) Run(ctx context.Context) error {
	for pomelospring.Sleep(ctx, policyWatchInterval) == nil {
		w.look()
	}
	return nil
}

func (w *PolicyWatch) look() {
	policy := w.Board.Policy()
	now := w.Clock()
	fresh := w.Board.PolicyFresh(now)
	if policy == nil || fresh == w.outdatedSince.IsZero() {
		return
	}
	position := w.Board.OperatorPosition()
	fields := log.Fields{
		"version": policy.Version,
		"offset":  position.Offset,
		"era":     position.Era,
		"ageMs":   w.Board.PolicyAge(now).Milliseconds(),
	}
	if fresh {
		fields["outdatedMs"] = now.Sub(w.outdatedSince).Milliseconds()
		w.outdatedSince = time.Time{}
		events.Log(w.Logger, events.PolicyConfirmed, fields)
		return
	}
	w.outdatedSince = now
	events.Log(w.Logger, events.PolicyOutdated, fields)
}
