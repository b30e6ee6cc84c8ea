package pomelospring

import (
	"context"
	"time"
)

// Instance is one entry instance of the system.
type Instance struct {
	// ID is unique to one start of one process.
	ID string `json:"id"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"domain"`
	// CallerAddress is host:port of the HTTP listener for callers.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is host:port of the listener for other instances.
	PeerAddress string `json:"peerAddress"`
	// Leaving is set once the instance takes no new requests.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// List returns the instances known, in no order.
	List(ctx context.Context) (instances []Instance, err error)
	// Put enters or renews an instance until the deadline.
	Put(ctx context.Context, instance Instance, deadline time.Time) (err error)
	// Remove takes an instance off the list.
	Remove(ctx context.Context, id string) (err error)
}

// WeightStore hands out adapter weights. Engines use it; the system only
// keeps within its rate.
type WeightStore interface {
	// Fetch returns once the weights of one adapter version were handed out.
	Fetch(ctx context.Context, name AdapterVersion) (err error)
}

// Clock gives the time; tests put their own in its place.
type Clock func() time.Time
