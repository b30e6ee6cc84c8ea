package entry

import "bytes"

// eventScanner splits a server-sent event stream into complete events and tracks
// the last event ID. It doesn't parse the data.
type eventScanner struct {
	pending []byte
	id      string
}

// maxEventBytes bounds an incomplete event; events hold a few tokens each.
const maxEventBytes = 256 << 10

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add appends a chunk and returns the events that are now complete.
func (e *eventScanner) add(chunk []byte) (complete []byte) {
	e.pending = append(e.pending, chunk...)
	end := max(endOfLast(e.pending, eventEnd), endOfLast(e.pending, eventEndCRLF))
	if end < 0 {
		return nil
	}
	complete = bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
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
func (e *eventScanner) tooLong() bool { return len(e.pending) > maxEventBytes }

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
func (e *eventScanner) empty() bool { return len(bytes.TrimSpace(e.pending)) == 0 }
