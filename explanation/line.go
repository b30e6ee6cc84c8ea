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

// parse decodes a line. The last word before the JSON, if any, names the process. If a
// process was killed while it wrote, a line of another one may follow on the same line:
// that one is decoded, and wasCut is set.
func parse(file string, text []byte) (line Line, wasCut, ok bool) {
	start := bytes.IndexByte(text, '{')
	for start >= 0 {
		if line, ok = decode(file, text[:start], text[start:]); ok {
			return line, wasCut, true
		}
		wasCut = true
		next := bytes.Index(text[start+1:], []byte(` {"`))
		if next < 0 {
			break
		}
		start += 1 + next + 1
	}
	return Line{}, wasCut, false
}

// decode decodes the JSON of a line, with what is in front of it.
func decode(file string, before, text []byte) (line Line, ok bool) {
	line.Process = file
	if words := bytes.Fields(before); len(words) > 0 {
		line.Process = string(words[len(words)-1])
	}
	if err := json.Unmarshal(text, &line); err != nil || line.Message == "" {
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
