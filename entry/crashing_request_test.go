package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
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

// TestServersThatEndByThemselvesBlockARequest guards against sound requests that are
// blocked because servers are restarted under them, in turn or together.
func TestServersThatEndByThemselvesBlockARequest(t *testing.T) {
	for _, together := range []int{1, 2} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(together, "-", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 1))
					service, b := newCrashingService()
					b.callTime = 100 * time.Millisecond
					var blocked atomic.Int64
					var group sync.WaitGroup
					for began := time.Now(); time.Since(began) < 30*time.Second; {
						body := fmt.Sprint(random.IntN(12))
						path := []string{"/lookup/1", "/order/1"}[random.IntN(2)]
						group.Go(func() {
							out := &responder{}
							service.Serve(t.Context(), &pomelospring.Call{
								ID: body, Host: "shop.example", Target: path, Path: path, Key: key, Arrived: time.Now(), Body: []byte(body),
							}, out)
							if out.Code == pomelospring.CodeRequestBlocked {
								blocked.Add(1)
							}
						})
						time.Sleep(40 * time.Millisecond)
						if random.IntN(20) == 0 {
							b.endServers("app", together)
						}
					}
					group.Wait()
					time.Sleep(time.Second)
					if blocked.Load() > 0 {
						t.Errorf("%d sound calls were refused, %d servers ended", blocked.Load(), len(b.ended))
					}
				})
			})
		}
	}
}
