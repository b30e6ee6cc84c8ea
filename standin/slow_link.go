package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// slowLinkBuffer is how much a slow link carries at once, in bytes.
const slowLinkBuffer = 8 << 10

// SlowLink is a link of one instance to a server, with little bandwidth.
type SlowLink struct {
	// Address is where the server is reached over the link.
	Address string

	server         string
	bytesPerSecond int
	listener       net.Listener
	closed         context.Context
	close          context.CancelFunc
	// link lets one transfer at a time use the bandwidth.
	link sync.Mutex
}

// NewSlowLink opens a link to a server.
func NewSlowLink(server string, bytesPerSecond int) (l *SlowLink, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &SlowLink{
		Address:        listener.Addr().String(),
		server:         server,
		bytesPerSecond: bytesPerSecond,
		listener:       listener,
	}
	l.closed, l.close = context.WithCancel(context.Background())
	go l.accept()
	return l, nil
}

// Close closes the link and its connections.
func (l *SlowLink) Close() {
	l.close()
	_ = l.listener.Close()
}

func (l *SlowLink) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.server)
		if err != nil {
			_ = near.Close()
			continue
		}
		context.AfterFunc(l.closed, func() {
			_ = near.Close()
			_ = far.Close()
		})
		go l.carry(far, near)
		go l.carry(near, far)
	}
}

// carry copies bytes from one connection to another, at the pace of the link.
func (l *SlowLink) carry(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, slowLinkBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.link.Lock()
			time.Sleep(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
			l.link.Unlock()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
