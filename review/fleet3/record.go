package fleet3

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what was sent, answered and run, with the time since the case began.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	lines *bufio.Writer
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (r *Record, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		began: time.Now(),
		file:  file,
		lines: bufio.NewWriter(file),
	}, nil
}

// Add adds a line.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lines, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Age is the time since the case began.
func (r *Record) Age() time.Duration { return time.Since(r.began) }

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
