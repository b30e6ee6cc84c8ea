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
	// maxBufferedBytes bounds the lines that wait for a slow output.
	maxBufferedBytes = 512 << 10
	// flushInterval is the time between writes. Each write is a system call, so
	// lines are written in batches.
	flushInterval = 250 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them in the background, so that a
// slow output never blocks the code that logs. Lines beyond its buffer, and those
// that the output did not take, are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
}

// NewBoundedWriter returns a writer that buffers lines for another one.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{
		out: out,
	}
}

// Write implements io.Writer. It buffers or drops the line and never fails.
func (b *BoundedWriter) Write(line []byte) (written int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > maxBufferedBytes {
		b.dropped++
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Run writes buffered lines until the context ends, then writes the rest. Only an
// error of the last write is returned, as the instance goes on without its output.
func (b *BoundedWriter) Run(ctx context.Context) (err error) {
	var spare bytes.Buffer
	for {
		// Lines that arrive while a flush blocks need one more flush at the end.
		last := ctx.Err() != nil
		err = b.flush(&spare)
		if last {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushInterval):
		}
	}
	if err != nil {
		return fmt.Errorf("write log lines: %w", err)
	}
	return nil
}

// flush writes the buffered lines and, if lines were dropped, an event with their
// count. The buffers are swapped so that Write never waits for the output.
func (b *BoundedWriter) flush(spare *bytes.Buffer) error {
	b.mu.Lock()
	*spare, b.pending = b.pending, *spare
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	buffered := spare.Len()
	if dropped > 0 {
		fmt.Fprintf(spare, "{\"level\":\"warn\",\"message\":\"logLinesDropped\",\"fields\":{\"event\":%d,\"lines\":%d}}\n", LinesDropped.Number, dropped)
	}
	written, err := b.out.Write(spare.Bytes())
	if err != nil {
		lost := bytes.Count(spare.Bytes()[min(written, buffered):buffered], []byte("\n"))
		b.mu.Lock()
		b.dropped += dropped + lost
		b.mu.Unlock()
	}
	spare.Reset()
	return err
}
