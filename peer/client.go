// Package peer carries what instances say to each other, over drpc.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	// dialTimeout bounds a connection to another instance.
	dialTimeout = time.Second
	// idleExpiry closes connections that were not used.
	idleExpiry = time.Minute
	// connectionsPerPeer bounds the idle connections kept for one instance.
	connectionsPerPeer = 64
	// messageLimit bounds one message between instances, in bytes.
	messageLimit = 32 << 20
)

// Client calls other instances by address.
type Client struct {
	// TLS is nil for plain TCP.
	TLS  *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient makes a client.
func NewClient(config *tls.Config) *Client {
	return &Client{
		TLS: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiry,
			KeyCapacity: connectionsPerPeer,
		}),
	}
}

// Close drops all idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// At gives the calls of the instance at an address.
func (c *Client) At(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(ctx, address))
}

// Conn gives a connection of the pool to the instance at an address, for other
// services than Peer.
func (c *Client) Conn(ctx context.Context, address string) drpcpool.Conn {
	return c.pool.Get(ctx, address, c.dial)
}

func (c *Client) dial(ctx context.Context, address string) (conn drpcpool.Conn, err error) {
	defer pomelospring.Annotate(&err, "dial instance at %s", address)
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.TLS != nil {
		raw = tls.Client(raw, c.TLS)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{
		Manager: managerOptions(),
	}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: messageLimit,
		},
	}
}
