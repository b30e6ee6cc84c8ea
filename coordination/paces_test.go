package coordination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/quarantine"
)

// TestLeaderTellsPaces guards against paces that one instance observed and that others don't
// get, get again in each exchange, or keep once the server is as usual.
func TestLeaderTellsPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := &coordination.Server{
			Leaders: map[string]*coordination.Leader{
				"north": startLeader(ctx, &singleWorker{}),
			},
			Quarantine: quarantine.NewRegister(),
		}
		exchange := func(request *coordinationpb.ExchangeRequest) *coordinationpb.ExchangeReply {
			request.Domain = "north"
			reply, err := server.Exchange(ctx, request)
			if err != nil || !reply.Leading {
				t.Fatal(reply, err)
			}
			time.Sleep(200 * time.Millisecond)
			return reply
		}
		told := func(leader string, version int64) (paces map[string]int32, reply *coordinationpb.ExchangeReply) {
			reply = exchange(&coordinationpb.ExchangeRequest{
				Instance:    "other",
				Leader:      leader,
				PaceVersion: version,
			})
			paces = map[string]int32{}
			for _, pace := range reply.Paces {
				paces[pace.Server] = pace.Percent
			}
			return paces, reply
		}
		observe := func(percent int32) {
			exchange(&coordinationpb.ExchangeRequest{
				Instance: "observer",
				Paces: []*coordinationpb.ServerPace{
					{Server: "a", Percent: percent, Weight: 5, AgeMilliseconds: 100, Said: true},
					{Server: "a", Percent: -percent, Weight: -5, AgeMilliseconds: -100, Said: true},
					{Server: "unlisted", Percent: percent, Weight: 5, Said: true},
				},
			})
		}
		none := map[string]int32{}
		paces, first := told("", 0)
		if diff := cmp.Diff(none, paces); diff != "" {
			t.Error(diff)
		}
		observe(200)
		paces, second := told(first.Leader, first.PaceVersion)
		if diff := cmp.Diff(map[string]int32{"a": 200}, paces); diff != "" {
			t.Error(diff)
		}
		if paces, _ = told(second.Leader, second.PaceVersion); !cmp.Equal(none, paces) {
			t.Errorf("told once more: %v", paces)
		}
		if paces, _ = told("a former leader", second.PaceVersion); !cmp.Equal(map[string]int32{"a": 200}, paces) {
			t.Errorf("after a former leader: %v", paces)
		}
		time.Sleep(10 * time.Second)
		observe(100)
		if paces, _ = told(second.Leader, second.PaceVersion); !cmp.Equal(map[string]int32{"a": 100}, paces) {
			t.Errorf("once the server is as usual: %v", paces)
		}
	})
}

// TestLeaderLogsUsualPaces guards against a log that leaves out that a server is as usual
// again.
func TestLeaderLogsUsualPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		leader := startLeader(ctx, &singleWorker{})
		handler := memory.New()
		synctest.Wait()
		leader.Logger = &log.Logger{Handler: handler, Level: log.InfoLevel}
		server := &coordination.Server{
			Leaders:    map[string]*coordination.Leader{"north": leader},
			Quarantine: quarantine.NewRegister(),
		}
		for _, percent := range []int32{400, 100} {
			for range 30 {
				_, err := server.Exchange(ctx, &coordinationpb.ExchangeRequest{
					Domain:   "north",
					Instance: "observer",
					Paces:    []*coordinationpb.ServerPace{{Server: "a", Percent: percent, Weight: 5, Said: true}},
				})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		var logged []any
		for _, entry := range handler.Entries {
			if entry.Fields["pace"] != nil {
				logged = append(logged, entry.Fields["pace"])
			}
		}
		if diff := cmp.Diff([]any{4.0, 1.0}, logged); diff != "" {
			t.Error(diff)
		}
	})
}
