package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospring/pomelospring/standin"
)

// cutScenarios are answers that are cut at each position. body is what a caller gets of
// the whole answer.
var cutScenarios = []struct {
	name string
	path string
	// answer gives the answer to a call.
	answer func(id string) string
	body   string
}{
	{name: "a length", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + "Content-Length: 5\r\n\r\nwhole"
	}},
	{name: "chunks", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + chunked + "\r\n" + chunks("whole")
	}},
	{name: "HTTP/1.0 with a length", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.0 200 OK", id, "\r\n") + "Content-Length: 5\r\n\r\nwhole"
	}},
	{name: "line feeds only", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\n") + "Content-Length: 5\n\nwhole"
	}},
	{name: "the length twice", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"
	}},
	{name: "a folded line", path: "/order/", body: "whole", answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + "X-Note: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole"
	}},
	{name: "a stream with a length", path: "/brief/", body: firstEvent, answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + length(firstEvent) + "\r\n" + firstEvent
	}},
	{name: "a stream in chunks", path: "/brief/", body: firstEvent, answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + chunked + "\r\n" + chunks(firstEvent)
	}},
	{name: "a stream that ends with its connection", path: "/brief/", body: firstEvent, answer: func(id string) string {
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + "\r\n" + firstEvent
	}},
}

func stampedHead(status, id, lineEnd string) string {
	return strings.Join([]string{status, standin.HeaderStamp + ": s1", standin.HeaderRequestID + ": " + id, ""}, lineEnd)
}

// TestAnswerCutAnywhereIsFramedAsWhole guards against answers that a server cut in their
// head or framing and that reach callers as a whole, empty or short one.
func TestAnswerCutAnywhereIsFramedAsWhole(t *testing.T) {
	for n, scenario := range cutScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
			servers.play = func(e *exchange) {
				var cut int
				_, _ = fmt.Sscanf(e.id[strings.LastIndex(e.id, "-"):], "-%d", &cut)
				answer := scenario.answer(e.id)
				e.write(answer[:min(cut, len(answer))])
				e.end()
			}
			i := startWithRawServers(t, servers)
			client := &http.Client{Transport: &http.Transport{}}
			reached, whole := 0, 0
			for cut := 0; ; cut++ {
				id := fmt.Sprintf("c%d-%d", n, cut)
				length := len(scenario.answer(id))
				got, _ := i.call(client, fmt.Sprintf("%s%d", scenario.path, cut), id)
				servers.mu.Lock()
				reached += servers.attempts[id]
				servers.mu.Unlock()
				isWhole := got.Status == http.StatusOK && got.Complete
				if isWhole {
					whole++
				}
				if isWhole && got.Body != scenario.body {
					t.Errorf("cut at %d of %d: %q framed as whole", cut, length, got.Body)
				}
				if cut >= length {
					break
				}
			}
			t.Logf("%d answers reached the instance, %d were whole", reached, whole)
			if whole == 0 {
				t.Error("no answer was whole")
			}
		})
	}
}
