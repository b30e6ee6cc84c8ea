// Package framing checks that the answers of HTTP servers are framed as HTTP/1 demands, where
// net/http takes more for an answer.
package framing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
)

// errNoFinalStatus reports an answer whose status is none of HTTP, or none that ends an
// exchange.
var errNoFinalStatus = errors.New("the status is not that of a final answer")

// errOtherProtocol reports an answer in another version of HTTP than the request.
var errOtherProtocol = errors.New("the answer is not in HTTP/1")

// errOldCoding reports an answer whose framing its version of HTTP doesn't have.
var errOldCoding = errors.New("the answer is in HTTP/1.0 and names a transfer coding")

// Transport sends requests over an HTTP transport. An answer that HTTP/1 doesn't allow is an
// error, and its connection serves no other request. An answer without a length that ends
// with its connection is whole only if the connection was closed in order.
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
	var used atomic.Pointer[httptrace.GotConnInfo]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used.Store(&info)
			if watched, ok := info.Conn.(*watchedConn); ok {
				watched.head.begin()
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
	})
	response, err = t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err = checkHead(response, used.Load().Conn); err != nil {
		// Closing the body may leave the connection for the next request.
		_ = used.Load().Conn.Close()
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{
			ReadCloser: response.Body,
			response:   response,
		}
	}
	return response, nil
}

// checkHead checks what net/http doesn't check of a head that was read from a connection.
func checkHead(response *http.Response, conn net.Conn) error {
	watched, isWatched := conn.(*watchedConn)
	switch {
	case isWatched && !response.ProtoAtLeast(1, 1) && watched.head.namesCoding():
		return errOldCoding
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: %s", errOtherProtocol, response.Proto)
	case response.StatusCode < http.StatusOK || response.StatusCode > maxStatus:
		return fmt.Errorf("%w: %03d", errNoFinalStatus, response.StatusCode)
	}
	return checkNames(response.Header)
}

// maxStatus is the highest status that HTTP has.
const maxStatus = 599

// checkNames checks the names of the fields of a head or a trailer. net/http accepts blanks in
// them, and overlooks so written fields that frame the answer.
func checkNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, isNoTokenCharacter) {
			return fmt.Errorf("the name of the field %q is malformed", name)
		}
	}
	return nil
}

// isNoTokenCharacter reports whether a character can't be part of a field's name.
func isNoTokenCharacter(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// trailedBody is a body in chunks, which a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(buffer []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := checkNames(b.response.Trailer); malformed != nil {
		err = malformed
	}
	return n, err
}
