// Package framing checks that the answers of HTTP servers are framed as HTTP/1 demands, where
// net/http takes more for an answer.
package framing

import (
	"context"
	"net"
	"net/http"
)

// Transport sends requests over an HTTP transport. An answer without a length that ends with
// its connection is whole only if the connection was closed in order.
type Transport struct{ transport *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that uses another one, whose connections it watches.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{
			Conn: conn,
		}, nil
	}
	return &Transport{
		transport: transport,
	}
}

// CloseIdleConnections closes the connections that serve no request. http.Client looks for it.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	return t.transport.RoundTrip(request)
}
