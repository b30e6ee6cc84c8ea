package entry

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
)

// sameFormat reports whether the events of an answer can follow those of the answer that
// began a stream. An answer without a content type is taken to have the same one.
func sameFormat(began, next http.Header) bool {
	if began.Get("Content-Encoding") != next.Get("Content-Encoding") {
		return false
	}
	before, after := mediaType(began), mediaType(next)
	return before == "" || after == "" || before == after
}

// mediaType returns the content type without its parameters.
func mediaType(header http.Header) string {
	text := header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(text)
	if err != nil {
		return text
	}
	return mediaType
}

// repeats reports whether events begin with one that does not come after the event with
// an ID. IDs that aren't numbers are only compared for equality.
func repeats(events []byte, lastID string) bool {
	id, found := firstID(events)
	if !found || lastID == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(lastID, 10, 64)
	if err != nil || lastErr != nil {
		return id == lastID
	}
	return number <= last
}

// firstID returns the first ID of complete events.
func firstID(events []byte) (id string, found bool) {
	for line := range bytes.Lines(events) {
		if text, isID := bytes.CutPrefix(line, idField); isID {
			return string(bytes.TrimSpace(text)), true
		}
	}
	return "", false
}
