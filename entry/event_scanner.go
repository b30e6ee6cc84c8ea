package entry

import (
	"bytes"

	"github.com/pomelospring/pomelospring"
)

// eventScanner splits a server-sent event stream into complete events and tracks
// the last event ID. It doesn't parse the data.
type eventScanner struct {
	// content is what is held, from start on of an event that isn't complete. What lies
	// before start was returned last, and is overwritten by the next chunk.
	content []byte
	start   int
	id      string
	// memory grants what is pending beyond freeEventBytes, and granted is what it has.
	memory  pomelospring.Memory
	granted int
}

const (
	// maxEventBytes bounds an incomplete event; events hold a few tokens each.
	maxEventBytes = 256 << 10
	// freeEventBytes is what each running call is charged for anyway.
	freeEventBytes = 16 << 10
)

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// pending returns the part of an event that isn't complete.
func (e *eventScanner) pending() []byte { return e.content[e.start:] }

// hold makes room for more bytes of an incomplete event, and reports whether they may be
// held.
func (e *eventScanner) hold(bytes int) bool {
	needed := len(e.pending()) + bytes
	if needed <= cap(e.content) || needed <= freeEventBytes {
		return true
	}
	size := max(needed, 2*cap(e.content))
	if e.memory != nil && !e.memory.Grow(int64(size-e.granted)) {
		return false
	}
	e.granted = size
	e.content = append(make([]byte, 0, size), e.pending()...)
	e.start = 0
	return true
}

// release gives back the room of a long event once it has ended.
func (e *eventScanner) release() {
	if e.granted > 0 && len(e.pending()) <= freeEventBytes {
		e.content = bytes.Clone(e.pending())
		e.start = 0
		e.drop()
	}
}

// drop gives back what was granted.
func (e *eventScanner) drop() {
	if e.memory != nil && e.granted > 0 {
		e.memory.Shrink(int64(e.granted))
	}
	e.granted = 0
}

// add appends a chunk and returns the events that are now complete, which are valid until
// the next call.
func (e *eventScanner) add(chunk []byte) (complete []byte) {
	e.content = append(e.content[:0], e.pending()...)
	e.content = append(e.content, chunk...)
	e.start = 0
	end := max(endOfLast(e.content, eventEnd), endOfLast(e.content, eventEndCRLF))
	if end < 0 {
		return nil
	}
	complete = e.content[:end]
	e.start = end
	e.release()
	e.scanID(complete)
	return complete
}

// endOfLast returns the position after the last occurrence of a separator; -1
// without one.
func endOfLast(text, separator []byte) int {
	at := bytes.LastIndex(text, separator)
	if at < 0 {
		return -1
	}
	return at + len(separator)
}

// tooLong reports whether the pending event exceeds maxEventBytes.
func (e *eventScanner) tooLong() bool { return len(e.pending()) > maxEventBytes }

// scanID stores the last ID of complete events.
func (e *eventScanner) scanID(complete []byte) {
	for at := bytes.LastIndex(complete, idField); at >= 0; at = bytes.LastIndex(complete[:at], idField) {
		if at > 0 && complete[at-1] != '\n' {
			continue
		}
		line := complete[at+len(idField):]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		e.id = string(bytes.TrimSpace(line))
		return
	}
}

// lastID returns the ID of the last complete event that has one, or fallback.
func (e *eventScanner) lastID(fallback string) string {
	if e.id == "" {
		return fallback
	}
	return e.id
}

// empty reports whether no incomplete event is pending.
func (e *eventScanner) empty() bool { return len(bytes.TrimSpace(e.pending())) == 0 }
