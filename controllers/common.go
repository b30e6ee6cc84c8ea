// Package controllers keeps the blackboard current and acts on it. Each
// controller has one job and runs until its context ends.
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

// Common is what every controller may use.
type Common struct {
	Settings *settings.Settings
	Board    *blackboard.Blackboard
	List     pomelospring.InstanceList
	Peers    *peer.Client
	Owner    *ownership.Owner
	// Configuration, Budget, Domain and Intents follow the streams.
	Configuration *stream.Follower
	Budget        *stream.Follower
	Domain        *stream.Follower
	Intents       *stream.Follower
	Logger        log.Interface
	Clock         pomelospring.Clock
}

// Controller is one part of the daemon.
type Controller interface {
	Run(ctx context.Context) error
}

// renewInterval is the time between renewals: it grows with the domain, so
// that the log's appends do not.
func (c *Common) renewInterval() time.Duration {
	members := len(c.Board.Domain.Get().Members)
	return max(c.Settings.Budget.RenewEvery, time.Duration(members)*renewPerMember)
}

// renewPerMember keeps a domain's renewals near 2.5 a second at any size.
const renewPerMember = 400 * time.Millisecond

// every calls work at an interval, which may change, until the context ends.
func every(ctx context.Context, interval func() time.Duration, work func(ctx context.Context)) error {
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval()):
		}
	}
}

func fixed(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}
