// Package controllers contains the background loops of a daemon. Each controller
// has one job, such as renewing the lease: it updates the blackboard or acts on
// it, and runs until its context ends.
package controllers

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/settings"
	"github.com/pomelospring/pomelospring/stream"
)

// Common holds the dependencies that the controllers share.
type Common struct {
	Settings *settings.Settings
	Board    *blackboard.Blackboard
	List     pomelospring.InstanceList
	Peers    *peer.Client
	Owner    *ownership.Owner
	// Configuration, Budget, Domain and Intents follow the streams of the log.
	Configuration *stream.Follower
	Budget        *stream.Follower
	Domain        *stream.Follower
	Intents       *stream.Follower
	Logger        log.Interface
	Clock         pomelospring.Clock
}

// Controller is a background loop of the daemon.
type Controller interface {
	// Run works until ctx ends.
	Run(ctx context.Context) error
}

// renewInterval returns the time between an instance's renewals. It grows with
// the number of members, so that the domain's append rate does not.
func (c *Common) renewInterval() time.Duration {
	members := len(c.Board.Domain.Get().Members)
	return max(c.Settings.Budget.RenewEvery, time.Duration(members)*renewIntervalPerMember)
}

// renewIntervalPerMember limits a domain to about 2.5 renewals a second at any
// size.
const renewIntervalPerMember = 400 * time.Millisecond

// runEvery calls work, then waits for interval, until ctx ends. It asks for the
// interval anew each time.
func runEvery(ctx context.Context, interval func() time.Duration, work func(ctx context.Context)) error {
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval()):
		}
	}
}

func fixedInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}
