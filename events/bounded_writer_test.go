package events_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/events"
)

// blockedOutput blocks every write until it is released.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedOutput) Write(lines []byte) (int, error) {
	<-b.release
	return b.written.Write(lines)
}

// Logging must return at once and buffer a bounded amount while the output, such
// as a pipe that nobody reads, blocks: the buffer that is being written and the one
// that fills meanwhile, of 512 KiB each.
func TestSlowOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedOutput{
		release: make(chan struct{}),
	}
	writer := events.NewBoundedWriter(out)
	ctx, stop := context.WithCancel(t.Context())
	runEnded := make(chan error, 1)
	go func() { runEnded <- writer.Run(ctx) }()
	line := strings.Repeat("x", 1023) + "\n"
	began := time.Now()
	for range 2000 {
		if _, err := writer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("logging 2000 lines took %s", took)
	}
	close(out.release)
	stop()
	if err := <-runEnded; err != nil {
		t.Fatal(err)
	}
	if size := out.written.Len(); size > 1100<<10 {
		t.Errorf("%d bytes of 2 MB were written", size)
	}
	if diff := cmp.Diff(true, strings.Contains(out.written.String(), "logLinesDropped")); diff != "" {
		t.Error(diff)
	}
}
