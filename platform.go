package pomelospring

import (
	"context"
	"time"
)

// Instance is one running process that accepts callers' requests.
type Instance struct {
	// ID is unique to one start of a process.
	ID string `json:"id"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"domain"`
	// CallerAddress is host:port of the HTTP listener for callers.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is host:port of the listener for other instances.
	PeerAddress string `json:"peerAddress"`
	// Leaving is set once the instance accepts no new requests.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind the instances' state.
type InstanceList interface {
	// List returns the known instances in any order.
	List(ctx context.Context) (instances []Instance, err error)
	// Put adds an instance, or renews it, until the deadline.
	Put(ctx context.Context, instance Instance, deadline time.Time) (err error)
	// Remove deletes an instance from the list.
	Remove(ctx context.Context, id string) (err error)
}

// WeightStore serves adapter weights. Engines fetch from it; the serving layer
// only limits loads to its rate.
type WeightStore interface {
	// Fetch returns once the weights of an adapter version have been served.
	Fetch(ctx context.Context, name AdapterVersion) (err error)
}

// Clock returns the current time; tests replace it.
type Clock func() time.Time
