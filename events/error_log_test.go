package events_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pomelospring/pomelospring/events"
)

// TestErrorLogWritesEvents guards against lines of HTTP servers that went to standard
// error without an event's number.
func TestErrorLogWritesEvents(t *testing.T) {
	var lines bytes.Buffer
	errorLog := events.NewErrorLog(&log.Logger{Handler: json.New(&lines)})
	errorLog.Printf("http: Accept error: %s", "too many open files")
	if text := lines.String(); !strings.Contains(text, `"event":107`) || !strings.Contains(text, `"error":"http: Accept error: too many open files"`) {
		t.Error(text)
	}
}
