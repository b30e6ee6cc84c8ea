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

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(piece []byte) (int, error) {
	<-s.release
	return s.got.Write(piece)
}

func TestASlowReaderNeverBlocksThoseWhoLog(t *testing.T) {
	out := &stuck{
		release: make(chan struct{}),
	}
	writer := events.NewBoundedWriter(out)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- writer.Run(ctx) }()
	line := strings.Repeat("x", 1023) + "\n"
	began := time.Now()
	for range 2000 {
		if _, err := writer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("logging took %s", took)
	}
	close(out.release)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if kept := out.got.Len(); kept > 1100<<10 {
		t.Errorf("%d bytes were kept of 2 MB", kept)
	}
	if diff := cmp.Diff(true, strings.Contains(out.got.String(), "logLinesDropped")); diff != "" {
		t.Error(diff)
	}
}
