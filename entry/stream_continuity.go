package entry

import (
	"mime"
	"net/http"
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
