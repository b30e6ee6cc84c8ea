package entry

import "bytes"

// eventScanner finds the ends of events in a stream, and the last ID among
// them; it does not look at the data.
type eventScanner struct {
	pending []byte
	id      string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes in a piece and returns the whole events that are there now. They
// are valid until the next call.
func (e *eventScanner) add(piece []byte) (whole []byte) {
	e.pending = append(e.pending, piece...)
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole = bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.scanID(whole)
	return whole
}

// scanID keeps the last ID of whole events.
func (e *eventScanner) scanID(whole []byte) {
	for at := bytes.LastIndex(whole, idField); at >= 0; at = bytes.LastIndex(whole[:at], idField) {
		if at > 0 && whole[at-1] != '\n' {
			continue
		}
		line := whole[at+len(idField):]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		e.id = string(bytes.TrimSpace(line))
		return
	}
}

// lastID is the ID of the last whole event, or before where none had one.
func (e *eventScanner) lastID(before string) string {
	if e.id == "" {
		return before
	}
	return e.id
}

// empty reports whether nothing of an event is left over.
func (e *eventScanner) empty() bool { return len(bytes.TrimSpace(e.pending)) == 0 }
