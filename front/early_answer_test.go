package front_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/platform"
)

const (
	// uploadBytes is more than the connection to a server holds of an upload.
	uploadBytes = 8 << 20
	// uploads is how often each early answer is played.
	uploads = 10
)

// TestAnswerResetBehindAnUploadIsFramedAsWhole guards against a part of an answer that
// reaches the caller as a whole one: a server answers a long upload at once, and resets its
// connection while the upload is still written.
func TestAnswerResetBehindAnUploadIsFramedAsWhole(t *testing.T) {
	half := strings.Repeat("x", 300_000)
	scenarios := []struct {
		name string
		path string
		// framing is that of the answer, part what is sent of it.
		framing string
		part    string
		// pooled says that calls without an upload were served before over the same connection.
		pooled bool
		// later is played where the server is asked again.
		later func(e *exchange)
		want  received
	}{
		{name: "an order", path: "/order/", part: "01234567", want: received{Status: 502, Complete: true}},
		{name: "a long order", path: "/order/", part: half, want: received{Status: 502, Complete: true}},
		{name: "an order with a length", path: "/order/", framing: "Content-Length: 10\r\n", part: "01234567", want: received{Status: 502, Complete: true}},
		{name: "an order in chunks", path: "/order/", framing: chunked, part: "8\r\n01234567\r\n", want: received{Status: 502, Complete: true}},
		{name: "an empty order", path: "/order/", want: received{Status: 502, Complete: true}},
		{name: "an order that is too long to be kept", path: "/order/", part: longHalf, want: received{Status: 502, Complete: true}},
		{name: "a lookup", path: "/lookup/", part: "01234567", want: received{Status: 502, Complete: true}},
		{name: "a lookup that another server answers", path: "/lookup/", part: "01234567", later: func(e *exchange) { e.answered("200 OK", "Connection: close\r\n"+length("whole"), "whole") }, want: received{Status: 200, Body: "whole", Complete: true}},
		{name: "a lookup on a connection that served others", path: "/lookup/", pooled: true, part: "01234567", want: received{Status: 502, Complete: true}},
		{name: "a stream", path: "/brief/", part: firstEvent, want: received{Status: 200, Body: firstEvent}},
		{name: "a stream that another server goes on with", path: "/proof/", part: firstEvent, later: func(e *exchange) {
			e.answered("200 OK", "Connection: close\r\n"+eventStream+length(laterEvents), laterEvents)
		}, want: received{Status: 200, Body: firstEvent + laterEvents, Complete: true}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			servers := &rawServers{attempts: map[string]int{}, wait: func() {}, answersEarly: "early"}
			servers.play = func(e *exchange) {
				switch {
				case !strings.HasPrefix(e.id, "early"):
					e.answered("200 OK", length("done"), "done")
					return
				case e.attempt > 1 && scenario.later != nil:
					scenario.later(e)
					return
				}
				e.head(scenario.framing)
				e.write(scenario.part)
				e.reset()
			}
			store, address := newStoreWithRawServers(t, servers)
			store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(strings.Replace(framingPolicy, `"max-body-bytes":1000`, fmt.Sprintf(`"max-body-bytes":%d`, uploadBytes), 1)))
			i := startBeforeRawServers(t, "a", address)
			eventually(t, "ready", i.ready)
			content := make([]byte, uploadBytes)
			results := make([]received, uploads)
			var group sync.WaitGroup
			for n := range uploads {
				group.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					for before := range 3 {
						if scenario.pooled {
							i.call(client, scenario.path, fmt.Sprintf("before-%d-%d", n, before))
						}
					}
					results[n], _ = i.upload(client, scenario.path, fmt.Sprintf("early-%d", n), bytes.NewReader(content))
				})
			}
			group.Wait()
			for n, got := range results {
				if scenario.part == longHalf && got.Status == http.StatusOK && !got.Complete {
					// What was forwarded before the reset is cut.
					continue
				}
				if diff := cmp.Diff(scenario.want, got); diff != "" {
					t.Errorf("call %d: %.600s", n, diff)
				}
			}
		})
	}
}
