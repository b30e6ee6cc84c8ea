// Package peer implements the calls between instances, over drpc.
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
	// dialTimeout limits the connection attempt to another instance.
	dialTimeout = time.Second
	// idleTimeout is the time after which unused connections are closed.
	idleTimeout = time.Minute
	// maxIdlePerPeer limits the idle connections to one instance.
	maxIdlePerPeer = 64
	// maxMessageBytes limits one message between instances.
	maxMessageBytes = 32 << 20
)

// Client calls other instances by address, over pooled connections.
type Client struct {
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial connects to an address; over TCP unless set.
	Dial func(ctx context.Context, address string) (conn net.Conn, err error)
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client that uses TLS if config is not nil.
func NewClient(config *tls.Config) *Client {
	return &Client{
		TLS: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// At returns the Peer service of the instance at an address. It connects on the
// first call.
func (c *Client) At(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(ctx, address))
}

// Conn returns a pooled connection to the instance at an address, for services
// other than Peer.
func (c *Client) Conn(ctx context.Context, address string) drpcpool.Conn {
	return c.pool.Get(ctx, address, c.dial)
}

func dialTCP(ctx context.Context, address string) (conn net.Conn, err error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) dial(ctx context.Context, address string) (conn drpcpool.Conn, err error) {
	defer pomelospring.Annotate(&err, "dial instance at %s", address)
	connect := c.Dial
	if connect == nil {
		connect = dialTCP
	}
	raw, err := connect(ctx, address)
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

// managerOptions are the connection options that client and server share.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: maxMessageBytes,
		},
	}
}
