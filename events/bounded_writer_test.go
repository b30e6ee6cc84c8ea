package events_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// brokenOutput takes nothing while it is broken.
type brokenOutput struct {
	broken  atomic.Bool
	written bytes.Buffer
}

func (b *brokenOutput) Write(lines []byte) (int, error) {
	if b.broken.Load() {
		return 0, errors.New("broken pipe")
	}
	return b.written.Write(lines)
}

// TestBrokenOutputCountsItsLines guards against an instance that ended because its
// standard output was broken.
func TestBrokenOutputCountsItsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &brokenOutput{}
		writer := events.NewBoundedWriter(out)
		ctx, stop := context.WithCancel(t.Context())
		runEnded := make(chan error, 1)
		go func() { runEnded <- writer.Run(ctx) }()
		for _, lines := range []string{"one\ntwo\n", "three\nfour\n", "five\n", "six\n"} {
			out.broken.Store(lines == "one\ntwo\n" || lines == "three\nfour\n")
			if _, err := writer.Write([]byte(lines)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1100 * time.Millisecond)
		}
		stop()
		if err := <-runEnded; err != nil {
			t.Error(err)
		}
		want := "five\n" + `{"level":"warn","message":"logLinesDropped","fields":{"event":105,"lines":4}}` + "\nsix\n"
		if diff := cmp.Diff(want, out.written.String()); diff != "" {
			t.Error(diff)
		}
	})
}
