package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the time since the begin.
type record struct {
	mu     sync.Mutex
	begin  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (r *record, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		begin:  time.Now(),
		file:   file,
		writer: bufio.NewWriter(file),
	}, nil
}

// printf writes one line.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

// highlight writes one line, and prints it too.
func (r *record) highlight(format string, values ...any) {
	r.printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
