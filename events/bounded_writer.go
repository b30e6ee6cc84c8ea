package events

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferLimit bounds lines that wait for a slow reader, in bytes.
	bufferLimit = 512 << 10
	// flushEvery is the time between writes; each write costs a system call.
	flushEvery = 250 * time.Millisecond
)

// BoundedWriter passes log lines on without ever blocking those who log:
// lines beyond its buffer are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
}

// NewBoundedWriter makes a writer in front of another.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{
		out: out,
	}
}

// Write implements io.Writer; it never fails.
func (b *BoundedWriter) Write(line []byte) (written int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > bufferLimit {
		b.dropped++
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Run writes until the context ends, and then the rest.
func (b *BoundedWriter) Run(ctx context.Context) (err error) {
	var spare bytes.Buffer
	for {
		// Lines that came while a flush was blocked go out with one more.
		last := ctx.Err() != nil
		if err = b.flush(&spare); err != nil {
			return fmt.Errorf("write log lines: %w", err)
		}
		if last {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushEvery):
		}
	}
}

func (b *BoundedWriter) flush(spare *bytes.Buffer) error {
	b.mu.Lock()
	*spare, b.pending = b.pending, *spare
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		fmt.Fprintf(spare, "{\"level\":\"warn\",\"message\":\"logLinesDropped\",\"fields\":{\"event\":%d,\"lines\":%d}}\n", LinesDropped.Number, dropped)
	}
	_, err := b.out.Write(spare.Bytes())
	spare.Reset()
	return err
}
