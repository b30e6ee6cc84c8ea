package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
)

// TestRequestThatCrashesServersStopsReachingThem guards against one request, sent again
// and again by its caller and by us, that ends server after server.
func TestRequestThatCrashesServersStopsReachingThem(t *testing.T) {
	const badBody = "bad"
	scenarios := []struct {
		name    string
		path    string
		adapter string
	}{
		{name: "lookup", path: "/lookup/1"},
		{name: "order", path: "/order/1"},
		{name: "stream", path: "/brief/1", adapter: "m/x"},
		{name: "stream that may be resumed", path: "/proof/1", adapter: "m/x"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, b := newCrashingService()
				b.crashing = func(call *pomelospring.Call) bool { return string(call.Body) == badBody }
				serve := func(id, body string) *responder {
					out := &responder{}
					service.Serve(t.Context(), &pomelospring.Call{
						ID: id, Host: "shop.example", Target: scenario.path, Path: scenario.path, Key: key,
						Adapter: scenario.adapter, PromptTokens: 1000, Arrived: time.Now(), Body: []byte(body),
					}, out)
					time.Sleep(300 * time.Millisecond)
					return out
				}
				failed := 0
				for i := range 40 {
					serve(fmt.Sprintf("bad-%d", i), badBody)
					if out := serve(fmt.Sprintf("sound-%d", i), fmt.Sprintf("sound-%d", i%7)); out.Status != http.StatusOK || out.Body != events3 {
						failed++
					}
				}
				if b.crashes > 3 {
					t.Errorf("%d servers ended under one request", b.crashes)
				}
				if failed > 0 {
					t.Errorf("%d of 40 sound calls of the same path and team failed", failed)
				}
				if last := serve("bad-last", badBody); last.Code == "" || last.Outcome != pomelospring.NotRun {
					t.Errorf("the request got %+v", last.outcome)
				}
			})
		})
	}
}
