package framing

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// errReset reports a connection that its server has reset.
var errReset = errors.New("the connection was reset")

// watchedConn is a connection that tells a reset from a close in order. The system reports a
// reset only once. If a write gets it, as while a long request is still sent, reads end as
// after a close.
type watchedConn struct {
	net.Conn
	writeFailed atomic.Bool
	head        oldHead
}

// Read implements net.Conn.
func (c *watchedConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	c.head.add(buffer[:n])
	// A write that failed may have closed the connection before its state is looked at.
	if errors.Is(err, io.EOF) && (!endsInOrder(c.Conn) || c.writeFailed.Load()) {
		err = errReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(content []byte) (n int, err error) {
	n, err = c.Conn.Write(content)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.writeFailed.Store(true)
	}
	return n, err
}

// endsInOrder reports whether a connection on which nothing is left to read is open in the
// other direction, as after a close by the other side. A reset ends both.
func endsInOrder(conn net.Conn) (inOrder bool) {
	plain, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return false
	}
	// Nothing is called for a connection that this side has closed.
	_ = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{
			Fd: int32(fd),
		}}
		for {
			if _, err = unix.Poll(events, 0); !errors.Is(err, unix.EINTR) {
				break
			}
		}
		inOrder = events[0].Revents&(unix.POLLHUP|unix.POLLERR) == 0
	})
	return inOrder
}
