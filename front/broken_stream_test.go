package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/standin"
)

// errorText must never be a part of a stream.
const errorText = "upstream failure"

// answered writes an answer with a status, header lines and a body as it stands.
func (e *exchange) answered(status, header, body string) {
	e.write("HTTP/1.1 " + status + "\r\n" + standin.HeaderStamp + ": s1\r\n" + standin.HeaderRequestID + ": " + e.id + "\r\n" + header + "\r\n" + body)
	e.end()
}

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func chunks(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

const (
	chunked     = "Transfer-Encoding: chunked\r\n"
	eventStream = "Content-Type: text/event-stream\r\n"
)

// resumedScenarios are the answers of a server that is asked to go on with a stream.
var resumedScenarios = []struct {
	name   string
	answer func(e *exchange)
	// whole says that the answer goes on with the stream to its end.
	whole bool
}{
	{name: "the rest", whole: true, answer: func(e *exchange) { e.answered("200 OK", eventStream+length(laterEvents), laterEvents) }},
	{name: "the rest, its type with a parameter", whole: true, answer: func(e *exchange) {
		e.answered("200 OK", "Content-Type: text/event-stream; charset=utf-8\r\n"+length(laterEvents), laterEvents)
	}},
	{name: "the rest after an interim answer", whole: true, answer: func(e *exchange) {
		e.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		e.answered("200 OK", eventStream+chunked, chunks(laterEvents))
	}},
	{name: "an error with a length", answer: func(e *exchange) { e.answered("500 Internal Server Error", length(errorText), errorText) }},
	{name: "an error in chunks", answer: func(e *exchange) { e.answered("503 Service Unavailable", chunked, chunks(errorText)) }},
	{name: "an error that looks like events", answer: func(e *exchange) {
		e.answered("502 Bad Gateway", eventStream, "id: 2\ndata: "+errorText+"\n\n")
	}},
	{name: "a permanent error", answer: func(e *exchange) { e.answered("404 Not Found", length(errorText), errorText) }},
	{name: "an error with a large head", answer: func(e *exchange) {
		e.answered("500 Internal Server Error", "X-Trace: "+strings.Repeat(errorText, 2000)+"\r\n", errorText)
	}},
	{name: "a head that is too large", answer: func(e *exchange) {
		e.answered("200 OK", "X-Trace: "+strings.Repeat(errorText, 20000)+"\r\n", laterEvents)
	}},
	{name: "an error after interim answers", answer: func(e *exchange) {
		e.write(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3))
		e.answered("500 Internal Server Error", length(errorText), errorText)
	}},
	{name: "interim answers without end", answer: func(e *exchange) {
		e.write(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50))
		e.end()
	}},
	{name: "another protocol", answer: func(e *exchange) {
		e.answered("101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n", errorText+"\n\n")
	}},
	{name: "a part of the content", answer: func(e *exchange) { e.answered("206 Partial Content", length(errorText), errorText) }},
	{name: "success with an error as JSON", answer: func(e *exchange) {
		body := `{"error":"` + errorText + `"}`
		e.answered("200 OK", "Content-Type: application/json\r\n"+length(body), body)
	}},
	{name: "success with an error as a page", answer: func(e *exchange) {
		body := "<html>" + errorText + "\n\n</html>\n\n"
		e.answered("200 OK", "Content-Type: text/html\r\n"+length(body), body)
	}},
	{name: "success, compressed", answer: func(e *exchange) {
		body := "\x1f\x8b" + errorText + "\n\n"
		e.answered("200 OK", eventStream+"Content-Encoding: gzip\r\n"+length(body), body)
	}},
	{name: "success without a body that ends with the connection", answer: func(e *exchange) { e.answered("200 OK", eventStream, "") }},
	{name: "success without a stamp", answer: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + standin.HeaderRequestID + ": " + e.id + "\r\n" + eventStream + length(laterEvents) + "\r\n" + laterEvents)
		e.end()
	}},
	{name: "a head inside the body", answer: func(e *exchange) {
		e.answered("200 OK", eventStream+length(laterEvents)+"X: y\r\n\r\nHTTP/1.1 500 "+errorText+"\r\n", "")
	}},
	{name: "the stream from its start", answer: func(e *exchange) {
		e.answered("200 OK", eventStream+length(firstEvent+laterEvents), firstEvent+laterEvents)
	}},
	{name: "the last event once more", answer: func(e *exchange) { e.answered("200 OK", eventStream+length(firstEvent), firstEvent) }},
	{name: "no head", answer: func(e *exchange) { e.write(errorText + "\r\n\r\n"); e.end() }},
	{name: "bytes before the head", answer: func(e *exchange) {
		e.write(errorText + "\r\n")
		e.answered("200 OK", eventStream+length(laterEvents), laterEvents)
	}},
}

// TestStreamHoldsAnErrorOfTheServerThatGoesOn guards against streams that hold an error's
// text, an event twice or end as if they were complete, once another server is asked.
func TestStreamHoldsAnErrorOfTheServerThatGoesOn(t *testing.T) {
	breaks := []struct {
		name string
		play func(e *exchange)
	}{
		{name: "reset", play: func(e *exchange) { e.write(firstEvent); e.reset() }},
		{name: "closed inside an event", play: func(e *exchange) { e.write(firstEvent + laterEvents[:9]); e.end() }},
		{name: "closed inside a line end", play: func(e *exchange) { e.write(firstEvent + strings.TrimSuffix(laterEvents, "\n\n")); e.end() }},
	}
	for _, broken := range breaks {
		t.Run(broken.name, func(t *testing.T) {
			servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
			servers.play = func(e *exchange) {
				var n int
				_, _ = fmt.Sscanf(e.id, "s-%d", &n)
				if e.attempt == 1 {
					e.head(eventStream)
					broken.play(e)
					return
				}
				resumedScenarios[n].answer(e)
			}
			i := startWithRawServers(t, servers)
			results := make([]received, len(resumedScenarios))
			for n := range resumedScenarios {
				results[n], _ = i.call(&http.Client{Transport: &http.Transport{}}, fmt.Sprintf("/proof/%d", n), fmt.Sprintf("s-%d", n))
			}
			for n, scenario := range resumedScenarios {
				want := received{Status: 200, Body: firstEvent}
				if strings.HasSuffix(broken.name, "line end") {
					want.Body += "id: 2\ndata: b\n\n"
				}
				if scenario.whole {
					want.Body, want.Complete = firstEvent+laterEvents, true
				}
				if scenario.whole && strings.HasSuffix(broken.name, "line end") {
					// The server goes on after the second event.
					continue
				}
				if diff := cmp.Diff(want, results[n]); diff != "" {
					t.Errorf("%s: %s", scenario.name, diff)
				}
			}
		})
	}
}
