package history_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// sound returns a history in which a request sent after some seconds was served.
func sound(sent float64) *history.History {
	r := history.Request{
		ID:         "r",
		Instance:   "a",
		Key:        "grid-key",
		Team:       "grid",
		Adapter:    "a1",
		Sent:       at(sent),
		Ended:      at(sent + 0.1),
		Status:     http.StatusOK,
		EventCount: 2,
		Events: []history.Event{
			{Number: 1, RequestID: "r", Adapter: "a1", Version: 1, Team: "grid"},
			{Number: 2, RequestID: "r", Adapter: "a1", Version: 1, Team: "grid"},
		},
	}
	return &history.History{
		Requests: []history.Request{r},
		Arrivals: []history.Arrival{{RequestID: "r", Server: "s", At: at(sent), Ran: true, Completed: true}},
	}
}

// add adds requests that reached a server, after some seconds each, like a sample.
func add(h *history.History, sample history.Arrival, seconds ...float64) {
	for n, s := range seconds {
		sample.RequestID = string(rune('A' + n))
		sample.At = at(s)
		h.Arrivals = append(h.Arrivals, sample)
		h.Requests = append(h.Requests, history.Request{
			ID:       sample.RequestID,
			Instance: "a",
			Sent:     at(s),
			Ended:    at(s),
			Status:   http.StatusBadGateway,
		})
	}
}

// TestEachCheckFindsItsFault has for each check a history that breaks its promise, and
// one in which a disturbance or the bound allows the same.
func TestEachCheckFindsItsFault(t *testing.T) {
	scenarios := []struct {
		check   string
		broken  func(h *history.History)
		allowed func(h *history.History)
	}{
		{
			check:  "rightAdapter",
			broken: func(h *history.History) { h.Requests[0].Events[0].Adapter = "a2" },
		},
		{
			check:  "rightVersion",
			broken: func(h *history.History) { h.Requests[0].Events[0].Version = 2 },
		},
		{
			check: "rightVersion",
			broken: func(h *history.History) {
				h.Declarations = []history.Declaration{{Adapter: "a1", Version: 2, At: at(0.9)}}
			},
			allowed: func(h *history.History) { h.Declarations[0].At = at(1.1) },
		},
		{
			check:  "rightTeam",
			broken: func(h *history.History) { h.Requests[0].Events[0].Team = "signs" },
		},
		{
			check:  "delivery",
			broken: func(h *history.History) { h.Requests[0].Events[1].RequestID = "other" },
		},
		{
			check: "delivery",
			broken: func(h *history.History) {
				h.Requests[0].Events = append(h.Requests[0].Events, h.Requests[0].Events[1])
			},
		},
		{
			check: "streamsWhole",
			broken: func(h *history.History) {
				h.Requests[0].Events = h.Requests[0].Events[:1]
				h.Faults = []history.Fault{{Kind: plan.SilenceServer, Target: "s", Begin: at(9), End: at(11)}}
			},
			allowed: func(h *history.History) {
				h.Faults = []history.Fault{{Target: "s", Begin: at(9.5), End: at(10.5)}}
			},
		},
		{
			check:  "answerLost",
			broken: func(h *history.History) { h.Requests[0].Status, h.Requests[0].Events = 0, nil },
			allowed: func(h *history.History) {
				h.Faults = []history.Fault{{Target: "a", Begin: at(10.05), End: at(12)}}
			},
		},
		{
			check:  "answerTime",
			broken: func(h *history.History) { h.Requests[0].Ended = at(17.1) },
			allowed: func(h *history.History) {
				h.Faults = []history.Fault{{Target: "a", Begin: at(11), End: at(16)}}
			},
		},
		{
			check: "notRun",
			broken: func(h *history.History) {
				h.Requests[0].Status, h.Requests[0].Events, h.Arrivals[0].Completed = http.StatusTooManyRequests, nil, false
			},
			allowed: func(h *history.History) { h.Arrivals[0].Ran = false },
		},
		{
			check: "atMostOnce",
			broken: func(h *history.History) {
				h.Arrivals = append(h.Arrivals, history.Arrival{RequestID: "r", Server: "s2", Ran: true})
			},
			allowed: func(h *history.History) { h.Arrivals[1].Ran = false },
		},
		{
			check: "denied",
			broken: func(h *history.History) {
				h.Requests[0].Status, h.Requests[0].Events, h.Arrivals = http.StatusUnauthorized, nil, nil
			},
			allowed: func(h *history.History) {
				h.Withdrawals = []history.Withdrawal{{Key: "grid-key", At: at(5)}}
			},
		},
		{
			check: "withdrawnKey",
			broken: func(h *history.History) {
				h.Withdrawals = []history.Withdrawal{{Key: "grid-key", At: at(3.9)}}
			},
			allowed: func(h *history.History) { h.Withdrawals[0].At = at(4.1) },
		},
		{
			check: "quota",
			broken: func(h *history.History) {
				h.Quotas = []history.Quota{{Team: "grid", TokensPerSecond: 100, Burst: 9200, RequestTokens: 121_001}}
			},
			allowed: func(h *history.History) { h.Quotas[0].RequestTokens = 121_000 },
		},
		{
			check: "returnedKey",
			broken: func(h *history.History) {
				h.Withdrawals = []history.Withdrawal{{Key: "grid-key", At: at(5)}}
				h.Requests = append(h.Requests, history.Request{
					ID:       "refused",
					Instance: "a",
					Key:      "grid-key",
					Sent:     at(7),
					Ended:    at(7),
					Status:   http.StatusUnauthorized,
				})
			},
			allowed: func(h *history.History) {
				h.Stops = []history.Stop{{Instance: "a", Forced: true, SignalledAt: at(8), EndedAt: at(9)}}
			},
		},
		{
			check: "leftServer",
			broken: func(h *history.History) {
				h.Departures = []history.Departure{{Server: "s", At: at(6.9)}}
			},
			allowed: func(h *history.History) {
				h.Faults = []history.Fault{{Target: history.Store, Begin: at(4), End: at(4.5)}}
			},
		},
		{
			check: "leftServer",
			broken: func(h *history.History) {
				h.Arrivals[0].Leaving = true
				add(h, history.Arrival{Server: "s"}, 12.2)
			},
			allowed: func(h *history.History) { h.Requests[1].Sent = at(12) },
		},
		{
			check: "pause",
			broken: func(h *history.History) {
				add(h, history.Arrival{Server: "s"}, 21, 22, 23)
				h.Arrivals[0].At, h.Arrivals[0].PausedUntil = at(20), at(24)
				h.Faults = []history.Fault{{Kind: plan.PauseServer, Target: "s", Begin: at(19), End: at(24)}}
			},
			allowed: func(h *history.History) { h.Arrivals[0].PausedUntil = at(22.9) },
		},
		{
			check: "oneLeader",
			broken: func(h *history.History) {
				h.Holders = map[string]string{"a:1": "a", "b:1": "b"}
				h.Orders = []history.Order{{Server: "s", Holder: "a:1", At: at(20)}, {Server: "s", Holder: "b:1", At: at(22.9)}}
			},
			allowed: func(h *history.History) {
				h.Faults = []history.Fault{{Kind: plan.FreezeInstance, Target: "a", Begin: at(18), End: at(21)}}
			},
		},
		{
			check: "limit",
			broken: func(h *history.History) {
				// 1 a second allows 11 in 4 s.
				add(h, history.Arrival{Server: "s", Limit: 1}, 20, 24, 24.1, 24.2, 24.3, 24.4, 24.5, 24.6, 24.7, 24.8, 24.9, 25, 25.1)
				h.Requests[1].Status, h.Arrivals[1].Completed = http.StatusOK, true
			},
			allowed: func(h *history.History) { h.Arrivals[1].Limit = 0 },
		},
		{
			check: "crashingPart",
			broken: func(h *history.History) {
				add(h, history.Arrival{Server: "s", Part: history.CrashingRequestPrefix, Ran: true, Crashed: true}, 20, 21, 22, 28, 29, 30, 31)
			},
			allowed: func(h *history.History) { h.Arrivals[7].Ran = false },
		},
		{
			check: "crashingPart",
			broken: func(h *history.History) {
				add(h, history.Arrival{Server: "s", Part: "bad", Ran: true, Crashed: true}, 20, 21, 22, 23, 24, 28, 29, 30, 31)
			},
			allowed: func(h *history.History) { h.Arrivals[9].Ran = false },
		},
		{
			check: "plannedStop",
			broken: func(h *history.History) {
				h.Requests[0].Broken = "unexpected EOF"
				h.Stops = []history.Stop{{Instance: "a", Planned: true, SignalledAt: at(9), EndedAt: at(12)}}
			},
			allowed: func(h *history.History) { h.Arrivals[0].Crashed = true },
		},
		{
			check: "plannedStop",
			broken: func(h *history.History) {
				h.Stops = []history.Stop{{Instance: "a", Planned: true, SignalledAt: at(20), EndedAt: at(29)}}
			},
			allowed: func(h *history.History) { h.Stops[0].EndedAt = at(27) },
		},
		{
			check:   "processEnded",
			broken:  func(h *history.History) { h.Stops = []history.Stop{{Instance: "a", ExitCode: 2}} },
			allowed: func(h *history.History) { h.Stops[0].Forced = true },
		},
		{
			check:   "recovery",
			broken:  func(h *history.History) { h.Recoveries = []history.Recovery{{Begin: at(0)}} },
			allowed: func(h *history.History) { h.Recoveries[0].End = at(11) },
		},
		{
			check: "levels",
			broken: func(h *history.History) {
				h.Levels = []history.Level{{Before: history.Resources{Descriptors: 20}, After: history.Resources{Descriptors: 91}}}
			},
			allowed: func(h *history.History) { h.Levels[0].After.Descriptors = 90 },
		},
	}
	found := map[string]bool{}
	for _, s := range scenarios {
		found[s.check] = true
		h := sound(10)
		if diff := cmp.Diff(0, len(history.Judge(h))); diff != "" {
			t.Fatalf("a sound history: %s", diff)
		}
		s.broken(h)
		if diff := cmp.Diff([]string{s.check}, checksOf(h)); diff != "" {
			t.Errorf("%s: %s", s.check, diff)
		}
		if s.allowed == nil {
			continue
		}
		s.allowed(h)
		if violations := history.Judge(h); len(violations) > 0 {
			t.Errorf("%s: allowed, but found: %v", s.check, violations)
		}
	}
	for _, check := range history.Checks() {
		if !found[check.Name] {
			t.Errorf("no scenario for %s", check.Name)
		}
	}
}

func checksOf(h *history.History) (names []string) {
	for _, v := range history.Judge(h) {
		if len(names) == 0 || names[len(names)-1] != v.Check {
			names = append(names, v.Check)
		}
	}
	return names
}
