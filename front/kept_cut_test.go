package front_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswerCutOnAKeptConnectionReplacesTheRetry guards against an answer that is cut on a
// connection that served a call before, and that reaches the caller in place of the whole
// one of the next server.
func TestAnswerCutOnAKeptConnectionReplacesTheRetry(t *testing.T) {
	servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
	answer := func(id string) string {
		body := "own of " + id
		return stampedHead("HTTP/1.1 200 OK", id, "\r\n") + length(body) + "\r\n" + body
	}
	servers.play = func(e *exchange) {
		var cut int
		if _, err := fmt.Sscanf(e.id, "cut-%d", &cut); err != nil || e.attempt > 1 {
			e.write(answer(e.id))
			return
		}
		e.write(answer(e.id)[:cut])
		e.end()
	}
	i := startWithRawServers(t, servers)
	client := &http.Client{Transport: &http.Transport{}}
	retried := 0
	for cut := range len(answer("cut-000")) {
		for n := range 2 {
			id := fmt.Sprintf("kept-%d-%d", cut, n)
			if got, _ := i.call(client, fmt.Sprintf("/lookup/%s", id), id); got.Body != "own of "+id {
				t.Errorf("%s: %+v", id, got)
			}
		}
		id := fmt.Sprintf("cut-%03d", cut)
		got, _ := i.call(client, fmt.Sprintf("/lookup/%d", cut), id)
		servers.mu.Lock()
		retried += servers.attempts[id] - 1
		servers.mu.Unlock()
		want := received{Status: http.StatusOK, Body: "own of " + id, Complete: true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("cut at %d: %s", cut, diff)
		}
	}
	t.Logf("%d of %d calls went on to the next server", retried, len(answer("cut-000")))
	if retried == 0 {
		t.Error("no call went on to the next server")
	}
}
