package intake

import (
	"context"
	"io"
	"time"

	"github.com/pomelospring/pomelospring"
)

// ReadBody reads a request's body, of a length that is negative if unknown, as its memory
// is granted. The request is charged until its connection is idle or closed; memory is
// what it may ask for more.
func ReadBody(ctx context.Context, body io.Reader, length int64) (content []byte, memory pomelospring.Memory, err error) {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		content, err = pomelospring.ReadGranted(nil, body, length)
		return content, nil, err
	}
	c.begin(phaseBody)
	before := c.holds()
	_ = c.Conn.SetReadDeadline(time.Time{})
	g := grant{
		ctx:  ctx,
		conn: c,
	}
	if !g.Grow(requestBytes) {
		return nil, nil, pomelospring.ErrNoMemory
	}
	if content, err = pomelospring.ReadGranted(g, body, length); err != nil {
		if c.drop(before) {
			err = pomelospring.ErrNoMemory
		}
		return nil, nil, err
	}
	if !c.run() {
		c.drop(before)
		return nil, nil, pomelospring.ErrNoMemory
	}
	return content, g, nil
}

func (c *Conn) holds() int64 {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.held
}

// drop frees what a request that isn't run holds more than before its body, as the HTTP
// server keeps its connection open for a while. It reports whether the request was told to
// give way.
func (c *Conn) drop(before int64) (gaveWay bool) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.shrink(c, before)
	return c.gaveWay
}

// run begins the run of a request that was read, which gives way to none, unless it was
// told to before.
func (c *Conn) run() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.gaveWay || c.phase.Load() == phaseClosed {
		return false
	}
	c.phase.Store(phaseRunning)
	return true
}
