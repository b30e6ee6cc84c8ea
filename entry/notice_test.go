package entry_test

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
)

// call returns a call of a path, for the adapter m/x where the path's service has
// adapters.
func call(path string) *pomelospring.Call {
	call := &pomelospring.Call{ID: "r1", Host: "shop.example", Path: path, Key: key, PromptTokens: 1000, Arrived: time.Now()}
	if path == "/proof/1" || path == "/brief/1" {
		call.Adapter = "m/x"
	}
	return call
}

// TestLeavingServerGetsNextCall guards against calls that go on to a server which
// announced in any answer that it leaves.
func TestLeavingServerGetsNextCall(t *testing.T) {
	leaving := pomelospring.ServerNotice{Leaving: true}
	streamed := outcome{Status: http.StatusOK, Body: events3}
	done := outcome{Status: http.StatusOK, Body: "done"}
	scenarios := []struct {
		name    string
		path    string
		replies []reply
		// leaving is the number of the attempt whose answer says so.
		leaving int
		want    outcome
	}{
		{name: "a complete answer", path: "/order/1", replies: []reply{{status: 200, body: "done"}}, want: done},
		{name: "a failed answer", path: "/order/1", replies: []reply{{status: 500, body: "no"}}, want: outcome{Status: 500, Body: "no"}},
		{name: "a rejection", path: "/order/1", replies: []reply{{status: 503, notRun: true}, {status: 200, body: "done"}}, want: done},
		{name: "a stream, which ends in peace", path: "/proof/1", replies: []reply{{status: 200, body: events3}}, want: streamed},
		{name: "a misdirected call", path: "/brief/1", replies: []reply{{status: 421, notRun: true, misdirected: true}, {status: 200, body: events3}}, want: streamed},
		{name: "a takeover that fails", path: "/lookup/1", replies: []reply{{unresponsive: true}, {status: 503, notRun: true}, {status: 200, body: "done"}}, leaving: 1, want: done},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scenario.replies[scenario.leaving].notice = leaving
				b := &backend{replies: scenario.replies}
				service := newService(b, false)
				out := &responder{}
				service.Serve(t.Context(), call(scenario.path), out)
				if diff := cmp.Diff(scenario.want, out.outcome); diff != "" {
					t.Error(diff)
				}
				left, sent := b.servers[scenario.leaving], len(b.servers)
				for range 5 {
					b.replies = []reply{{status: 200, body: events3}}
					service.Serve(t.Context(), call(scenario.path), &responder{})
				}
				if slices.Contains(b.servers[sent:], left) {
					t.Errorf("%s got calls after it announced that it leaves: %v", left, b.servers[sent:])
				}
			})
		})
	}
}

// TestOnlyHolderOfAdapterLeaves guards against calls that are refused, or that wait
// for the leaving server, when it alone has their adapter.
func TestOnlyHolderOfAdapterLeaves(t *testing.T) {
	b := &backend{replies: []reply{{status: 200, body: events3, notice: pomelospring.ServerNotice{Leaving: true}}, {status: 200, body: events3}}}
	service := newService(b, false)
	placed := &coordinator{board: service.Board}
	service.Coordinator = placed
	service.Board.SetResidency("north", map[string]pomelospring.Residency{
		"b": {Whole: true, Ready: []pomelospring.ResidentAdapter{{Adapter: "m/x", Version: 1}}},
	}, true, 2)
	for range 2 {
		out := &responder{}
		service.Serve(t.Context(), call("/proof/1"), out)
		if diff := cmp.Diff(outcome{Status: http.StatusOK, Body: events3}, out.outcome); diff != "" {
			t.Error(diff)
		}
	}
	if diff := cmp.Diff([]string{"b", "a"}, b.servers); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"b"}, placed.requests[0].Unusable); diff != "" {
		t.Error(diff)
	}
}
