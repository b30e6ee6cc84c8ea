// Package connection finds out whether a caller has closed its connection. The HTTP
// server notices a close too, but beside the request's handler, which may be sooner at a
// backend server.
package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring"
	"golang.org/x/sys/unix"
)

// watchInterval is the time between looks at the connection of a request. The HTTP server
// sees no close behind bytes that follow the request.
const watchInterval = 200 * time.Millisecond

type connectionKey struct{}

// request is a request whose context ends when its caller is found to have left.
type request struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

type requestKey struct{}

// Remember keeps a caller's connection in the context of its requests. It fits
// http.Server.ConnContext.
func Remember(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// WithClose returns a context of a request that ends soon after the caller has closed its
// connection, and at once where Check finds the close.
func WithClose(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	conn := ctx.Value(connectionKey{})
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	plain, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	r := &request{
		raw:    raw,
		cancel: cancel,
	}
	go r.watch(ctx)
	return context.WithValue(ctx, requestKey{}, r), cancel
}

// watch looks for the close of the connection until the request has ended.
func (r *request) watch(ctx context.Context) {
	for pomelospring.Sleep(ctx, watchInterval) == nil {
		if isClosed(r.raw) {
			r.cancel()
		}
	}
}

// Check returns the error of a request's context, which it ends if the caller has closed
// its connection.
func Check(ctx context.Context) error {
	if r, _ := ctx.Value(requestKey{}).(*request); r != nil && isClosed(r.raw) {
		r.cancel()
	}
	return ctx.Err()
}

// isClosed reports whether the other side has closed a connection, or has reset it.
func isClosed(raw syscall.RawConn) (closed bool) {
	// A connection that this side has closed has no descriptor to look at.
	_ = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLRDHUP,
		}}
		if count, err := unix.Poll(events, 0); err == nil && count > 0 {
			closed = events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return closed
}
