package events

import (
	"fmt"
	"io"
)

// WritePage writes the catalogue as a Markdown page.
func WritePage(out io.Writer) {
	_, _ = fmt.Fprint(out, `# Events

Each log line is one JSON object with the event's number in `+"`event`"+` and its
name in `+"`message`"+`. Numbers are never reused. Made by
`+"`pomelospringd events`"+`; a test keeps the page in step.

| number | name | level | meaning |
| --- | --- | --- | --- |
`)
	for _, event := range Catalogue() {
		_, _ = fmt.Fprintf(out, "| %d | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning)
	}
}
