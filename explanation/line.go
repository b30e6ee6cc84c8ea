// Package explanation reconstructs how a request ended, and why, from the logs
// of any number of processes.
package explanation

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one log line.
type Line struct {
	// Process is the process that wrote the line: the name in front of the
	// JSON, or the file's name if there is none.
	Process string         `json:"-"`
	Message string         `json:"message"`
	Level   string         `json:"level"`
	At      time.Time      `json:"timestamp"`
	Fields  map[string]any `json:"fields"`
}

// parse decodes a line. The last word before the JSON, if any, names the process.
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

// number returns the event's number in the catalogue, or 0 if the line has none.
func (l *Line) number() int {
	number, _ := l.Fields["event"].(float64)
	return int(number)
}

// text returns a field's string, or "" if it is missing or no string.
func (l *Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// count returns a field's integer, or 0 if it is missing or no number.
func (l *Line) count(field string) int {
	number, _ := l.Fields[field].(float64)
	return int(number)
}
