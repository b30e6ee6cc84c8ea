package controllers

import (
	"context"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/events"
)

// KeysController cancels the running requests of withdrawn keys.
type KeysController struct {
	*Common
	// Cause is the cancellation cause of those requests.
	Cause error
	// appliedNext is the offset after the configuration that was applied last.
	appliedNext int64
}

// NewKeysController returns a controller; Run starts it.
func NewKeysController(common *Common, cause error) *KeysController {
	return &KeysController{
		Common: common,
		Cause:  cause,
	}
}

// Run applies every change of configuration until ctx ends.
func (k *KeysController) Run(ctx context.Context) error {
	for {
		changed := k.Board.Configuration.Changed()
		k.reconcile()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile cancels the requests whose keys the current configuration doesn't
// accept, if it is a new one.
func (k *KeysController) reconcile() {
	state := k.Board.Configuration.Get()
	if state.Next == k.appliedNext {
		return
	}
	k.appliedNext = state.Next
	events.Log(k.Logger, events.ConfigurationInForce, log.Fields{
		"offset": state.Next - 1,
	})
	canceled := k.Board.Running.CancelInvalidKeys(func(key string) bool {
		return admission.KeyValid(state, key)
	}, k.Cause)
	for _, id := range canceled {
		events.Log(k.Logger, events.RequestCut, log.Fields{
			"request": id,
		})
	}
}
