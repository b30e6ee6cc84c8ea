package events

import (
	stdlog "log"
	"strings"

	"github.com/apex/log"
)

// maxErrorText bounds the text of one line of the standard library.
const maxErrorText = 8 << 10

// errorLog writes each line as an event.
type errorLog struct {
	logger log.Interface
}

// NewErrorLog returns a logger for the servers of the standard library.
func NewErrorLog(logger log.Interface) *stdlog.Logger {
	return stdlog.New(&errorLog{logger: logger}, "", 0)
}

// Write implements io.Writer.
func (e *errorLog) Write(line []byte) (written int, err error) {
	Log(e.logger, ServerFailed, log.Fields{
		"error": strings.TrimSpace(string(line[:min(len(line), maxErrorText)])),
	})
	return len(line), nil
}
