package arena

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards TCP connections to an address, with faults.
type proxy struct {
	listener net.Listener
	target   string
	// dropsAnswers discards what the target sends.
	dropsAnswers atomic.Bool

	mu          sync.Mutex
	refuses     bool
	connections map[*net.TCPConn]bool
}

func newProxy(target string) (p *proxy, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{
		listener:    listener,
		target:      target,
		connections: map[*net.TCPConn]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(connection.(*net.TCPConn))
	}
}

// forward forwards both directions until one ends, and then ends both.
func (p *proxy) forward(caller *net.TCPConn) {
	defer func() { _ = caller.Close() }()
	connection, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	target := connection.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	if !p.add(caller) {
		return
	}
	defer p.remove(caller)
	go func() {
		// The end of the caller's direction ends the target's, and with it both.
		_, _ = io.Copy(target, caller)
		_ = target.CloseWrite()
	}()
	_, _ = io.Copy(dropper{proxy: p, caller: caller}, target)
}

func (p *proxy) add(caller *net.TCPConn) (accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuses {
		return false
	}
	p.connections[caller] = true
	return true
}

func (p *proxy) remove(caller *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, caller)
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.connections {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	}
}

// setRefusing sets whether new connections are closed at once; it resets open ones.
func (p *proxy) setRefusing(refuses bool) {
	p.mu.Lock()
	p.refuses = refuses
	p.mu.Unlock()
	if refuses {
		p.reset()
	}
}

// stopAccepting ends the listener, and connections that it accepted but that are not
// forwarded yet.
func (p *proxy) stopAccepting() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = true
}

func (p *proxy) close() {
	p.stopAccepting()
	p.reset()
}

// dropper writes to the caller unless the proxy drops answers.
type dropper struct {
	proxy  *proxy
	caller *net.TCPConn
}

// Write implements io.Writer.
func (d dropper) Write(data []byte) (n int, err error) {
	if d.proxy.dropsAnswers.Load() {
		return len(data), nil
	}
	return d.caller.Write(data)
}
