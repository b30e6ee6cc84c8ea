package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout hold until a
	// configuration is known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 65 * time.Second
	// headSlack is the number of bytes behind a head that are read with it.
	headSlack = 4096
	// MaxHeaderBytes bounds a head whatever the configuration allows.
	MaxHeaderBytes = 1 << 20
	// freeHeadBytes is what a head may cost without being charged; running requests pay
	// for it.
	freeHeadBytes = 16 << 10
	// headLineBytes is what the parsed form of a line and its copies hold, beside the
	// text, which headByteCost counts.
	headLineBytes = 256
	headByteCost  = 4
	// requestBytes is what a running request holds beside its body and a large head:
	// buffers and stacks of both its connections.
	requestBytes = 48 << 10
	// unreadTime is how long nothing of an answer may be taken while callers hold too much.
	unreadTime = 10 * time.Second
	// writePiece is the part of an answer that is written at once, so that slow but steady
	// readers are told from those that don't read.
	writePiece = 64 << 10
	// suspensionGrace is the time to read what arrived while the process was suspended.
	suspensionGrace = 20 * time.Millisecond
	// lingerTime is how long a refused connection stays open, so that the caller reads
	// the refusal before the connection is reset.
	lingerTime  = 500 * time.Millisecond
	refusalWait = 100 * time.Millisecond
	headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Phases of a connection. A new one is silent until its first byte, one that has served a
// request is idle until the next; then a head is read, then a body, and then the request
// runs until its answer is written.
const (
	phaseSilent int32 = iota
	phaseIdle
	phaseHead
	phaseBody
	phaseRunning
	phaseClosed
)

// errEnded ends the reading of a head; the HTTP server closes the connection without an
// answer.
var errEnded = &net.OpError{
	Op:  "read",
	Err: os.ErrDeadlineExceeded,
}

// Conn is a caller's connection. It follows the limits of the configuration, and is
// charged for what it holds.
type Conn struct {
	net.Conn
	account *Account

	phase atomic.Int32
	// soundUntil is until what age of the account the request comes on fast enough without
	// another byte.
	soundUntil atomic.Int64
	// writingSince is the age of the account when the write that is under way began; 0 for
	// none.
	writingSince atomic.Int64
	// The account's lock guards those of these that change in several goroutines.
	since   time.Time
	held    int64
	gaveWay bool
	// Of the goroutine that reads heads. Reads wait from readSince until readUntil.
	readSince time.Time
	readUntil time.Time
	headBytes int64
	headCost  int64
	headPaid  int64
}

// Listener accepts callers' connections as far as the account admits them.
type Listener struct {
	net.Listener
	Account *Account

	closes   sync.Once
	closeErr error
}

// Close implements net.Listener. A planned stop closes the listener before the HTTP server
// does, to which that is no error.
func (l *Listener) Close() error {
	l.closes.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{
			Conn:    conn,
			account: l.Account,
			since:   l.Account.Clock(),
		}
		if l.Account.admit(c) {
			c.readBy(c.account.idleTimeout())
			return c, nil
		}
		_ = conn.Close()
	}
}

func (a *Account) idleTimeout() time.Duration {
	if timeout := a.Limits().IdleTimeout; timeout > 0 {
		return timeout
	}
	return defaultIdleTimeout
}

func (a *Account) headerTimeout() time.Duration {
	if timeout := a.Limits().HeaderTimeout; timeout > 0 {
		return timeout
	}
	return defaultHeaderTimeout
}

func (a *Account) headerBytes() int64 {
	if limit := a.Limits().HeaderBytes; limit > 0 {
		return min(limit, MaxHeaderBytes)
	}
	return defaultHeaderBytes
}

// NetConn returns the connection itself.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the direction to the caller, as the HTTP server does before it closes a
// connection of which it hasn't read all.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// readBy sets the time by which the next bytes must arrive.
func (c *Conn) readBy(timeout time.Duration) {
	c.readSince = time.Now()
	c.readUntil = c.readSince.Add(timeout)
	_ = c.Conn.SetReadDeadline(c.readUntil)
}

// extend has reads go on if their time is up by a limit that was raised since.
func (c *Conn) extend(phase int32) (isLonger bool) {
	timeout := c.account.idleTimeout()
	if phase == phaseHead {
		timeout = c.account.headerTimeout()
	}
	until := c.readSince.Add(timeout)
	if !until.After(c.readUntil) {
		return false
	}
	c.readUntil = until
	_ = c.Conn.SetReadDeadline(until)
	return true
}

// SetReadDeadline implements net.Conn. Until a request runs, the limits of the
// configuration hold instead of the HTTP server's.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c.phase.Load() <= phaseHead && (deadline.IsZero() || deadline.After(c.readUntil)) {
		deadline = c.readUntil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	phase := c.phase.Load()
	if phase > phaseHead {
		if phase == phaseBody && n > 0 {
			c.comeOn(n)
		}
		return n, err
	}
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if time.Now().Before(c.readUntil) {
			// The HTTP server ended this read, not a limit.
			return 0, err
		}
		isLonger := c.extend(phase)
		if !isLonger {
			_ = c.Conn.SetReadDeadline(time.Now().Add(suspensionGrace))
		}
		n, err = c.Conn.Read(buffer)
		if !isLonger {
			break
		}
	}
	if n == 0 {
		if err != nil {
			return 0, c.end()
		}
		return 0, nil
	}
	if phase != phaseHead {
		if !c.begin(phaseHead) {
			// A byte behind a pipelined request that runs meanwhile.
			return n, err
		}
		c.headBytes, c.headCost, c.headPaid = 0, 0, freeHeadBytes
		c.readBy(c.account.headerTimeout())
	}
	if !c.receiveHead(buffer[:n]) {
		return 0, c.end()
	}
	return n, err
}

// end closes the connection before the HTTP server can answer the part of a head that it
// has with 400, which would be final.
func (c *Conn) end() error {
	_ = c.Conn.Close()
	return errEnded
}

// Write implements net.Conn.
func (c *Conn) Write(answer []byte) (n int, err error) {
	defer c.writingSince.Store(0)
	for {
		c.writingSince.Store(c.account.age(c.account.Clock()))
		written, err := c.Conn.Write(answer[n:min(len(answer), n+writePiece)])
		n += written
		if err != nil || n == len(answer) {
			return n, err
		}
	}
}

// isUnread reports whether the caller has taken nothing of its answer for long.
func (c *Conn) isUnread(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && c.account.age(now)-since > int64(unreadTime)
}

// receiveHead counts and charges a part of a head, and reports whether it may go on.
func (c *Conn) receiveHead(part []byte) bool {
	c.comeOn(len(part))
	c.headBytes += int64(len(part))
	if c.headBytes > c.account.headerBytes()+headSlack {
		c.refuseHead()
		return false
	}
	c.headCost += int64(len(part))*headByteCost + int64(bytes.Count(part, []byte{'\n'}))*headLineBytes
	due := c.headCost - c.headPaid
	if due <= 0 {
		return true
	}
	if !c.account.grow(context.Background(), c, due) {
		return false
	}
	c.headPaid += due
	return true
}

func (c *Conn) refuseHead() {
	c.account.mu.Lock()
	c.account.count(kindHead)
	c.account.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(refusalWait))
	if _, err := c.Write([]byte(headRefusal)); err != nil {
		return
	}
	_ = c.CloseWrite()
	time.Sleep(lingerTime)
}

// begin begins a phase, and reports whether it did. A head can only begin before a request
// runs: the HTTP server reads a byte beside the handler to see a caller leave.
func (c *Conn) begin(phase int32) (begun bool) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if before := c.phase.Load(); before == phaseClosed || phase == phaseHead && before > phaseHead {
		return false
	}
	c.since = c.account.Clock()
	c.soundUntil.Store(c.account.age(c.since.Add(lagGrace)))
	c.phase.Store(phase)
	if phase == phaseIdle {
		c.account.shrink(c, 0)
	}
	return true
}

// isRead reports whether a request is still being read.
func (c *Conn) isRead() bool {
	phase := c.phase.Load()
	return phase == phaseHead || phase == phaseBody
}

// comeOn records that n bytes of a request have come.
func (c *Conn) comeOn(n int) {
	now := c.account.Clock()
	until := max(c.soundUntil.Load(), c.account.age(now)) + int64(n)*int64(time.Second)/minBytesPerSecond
	c.soundUntil.Store(min(until, c.account.age(now.Add(lagGrace))))
}

// lags reports whether a request comes on too slowly for times when memory is short.
func (c *Conn) lags(now time.Time) bool { return c.account.age(now) > c.soundUntil.Load() }

// interrupt ends the reading of a request. A head is closed, a body fails, so that its
// request is refused.
func (c *Conn) interrupt() {
	if c.phase.Load() == phaseBody {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.mu.Lock()
	c.account.remove(c)
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// Follow follows the states that the HTTP server gives a connection. It fits
// http.Server.ConnState.
func Follow(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.begin(phaseIdle)
	c.readBy(c.account.idleTimeout())
}

type connKey struct{}

// Remember keeps a caller's connection in the context of its requests.
func Remember(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// grant grants memory to one request.
type grant struct {
	ctx  context.Context
	conn *Conn
}

var _ pomelospring.Memory = grant{}

// Grow implements pomelospring.Memory.
func (g grant) Grow(bytes int64) bool { return g.conn.account.grow(g.ctx, g.conn, bytes) }

// Shrink implements pomelospring.Memory.
func (g grant) Shrink(bytes int64) {
	g.conn.account.mu.Lock()
	defer g.conn.account.mu.Unlock()
	g.conn.account.shrink(g.conn, max(0, g.conn.held-bytes))
}
