package framing

import (
	"bytes"
	"strings"
	"sync"
)

// oldVersion begins the head of an answer in HTTP/1.0.
const oldVersion = "HTTP/1.0 "

// maxOldHeadBytes bounds what is kept of a head; transports take no longer ones.
const maxOldHeadBytes = 64 << 10

// oldHead keeps the head of an answer in HTTP/1.0 as it is read. That version has no transfer
// codings, and net/http drops the field that names one.
type oldHead struct {
	mu   sync.Mutex
	text []byte
	// ended is set once the head is whole, or is none of HTTP/1.0.
	ended bool
}

// begin begins to read the head of the next answer.
func (h *oldHead) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text, h.ended = nil, false
}

// add adds bytes that were read.
func (h *oldHead) add(read []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || len(read) == 0 {
		return
	}
	expected := oldVersion[min(len(h.text), len(oldVersion)):]
	expected = expected[:min(len(read), len(expected))]
	if string(read[:len(expected)]) != expected {
		h.text, h.ended = nil, true
		return
	}
	h.text = append(h.text, read...)
	h.ended = len(h.text) > maxOldHeadBytes || bytes.Contains(h.text, []byte("\n\r\n")) || bytes.Contains(h.text, []byte("\n\n"))
}

// namesCoding reports whether the head names a transfer coding.
func (h *oldHead) namesCoding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for line := range strings.Lines(string(h.text)) {
		if strings.TrimSpace(line) == "" {
			return false
		}
		if name, _, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Transfer-Encoding") {
			return true
		}
	}
	return false
}
