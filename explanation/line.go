// Package explanation tells from the logs of any number of processes what
// became of a request and why.
package explanation

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one log line.
type Line struct {
	// Process is the file or, where lines bear a name in front, the process
	// that wrote it.
	Process string         `json:"-"`
	Message string         `json:"message"`
	Level   string         `json:"level"`
	At      time.Time      `json:"timestamp"`
	Fields  map[string]any `json:"fields"`
}

// parse reads a line; what stands before the JSON names the process.
func parse(file string, text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line.Process = file
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		line.Process = string(words[len(words)-1])
	}
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		return Line{}, false
	}
	return line, true
}

// number is the event's number in the catalogue; 0 without one.
func (l *Line) number() int {
	number, _ := l.Fields["event"].(float64)
	return int(number)
}

func (l *Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

func (l *Line) count(field string) int {
	number, _ := l.Fields[field].(float64)
	return int(number)
}
