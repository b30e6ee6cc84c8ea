package controllers

import (
	"context"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/events"
)

// KeysController ends the running requests of withdrawn keys.
type KeysController struct {
	*Common
	// Cause is what the requests are ended with.
	Cause error
	shown int64
}

// NewKeysController makes the controller.
func NewKeysController(common *Common, cause error) *KeysController {
	return &KeysController{
		Common: common,
		Cause:  cause,
	}
}

// Run acts on every change of configuration until the context ends.
func (k *KeysController) Run(ctx context.Context) error {
	for {
		changed := k.Board.Configuration.Changed()
		k.act()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *KeysController) act() {
	state := k.Board.Configuration.Get()
	if state.Next == k.shown {
		return
	}
	k.shown = state.Next
	events.Log(k.Logger, events.ConfigurationInForce, log.Fields{
		"offset": state.Next - 1,
	})
	cut := k.Board.Running.CancelInvalidKeys(func(key string) bool {
		return admission.KeyValid(state, key)
	}, k.Cause)
	for _, id := range cut {
		events.Log(k.Logger, events.RequestCut, log.Fields{
			"request": id,
		})
	}
}
