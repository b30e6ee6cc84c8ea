package history_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

func TestTimelineCountsRequestsBySecond(t *testing.T) {
	h := sound(10)
	for n, status := range []int{http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusTooManyRequests} {
		h.Requests = append(h.Requests, history.Request{
			Sent:   at(11.5 + float64(n)),
			Status: status,
		})
	}
	h.Faults = []history.Fault{
		{Kind: plan.StoreDown, Begin: at(12), End: at(13)},
		{Kind: plan.KillInstance, Begin: at(11), End: at(14)},
	}
	expected := history.Timeline{
		PerSecond: map[string][]int{
			history.Served:  {1, 0, 0, 0},
			history.Refused: {0, 1, 0, 0},
			history.Failed:  {0, 0, 1, 0},
		},
		Faults: []history.Span{
			{Kind: plan.KillInstance, Begin: 1, End: 4},
			{Kind: plan.StoreDown, Begin: 2, End: 3},
		},
	}
	if diff := cmp.Diff(expected, history.NewTimeline(h)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(history.Timeline{PerSecond: map[string][]int{}}, history.NewTimeline(&history.History{})); diff != "" {
		t.Error(diff)
	}
}
