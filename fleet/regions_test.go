package fleet_test

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/platform"
)

func TestHomesThatAreNoRegionAreLoggedOnce(t *testing.T) {
	const policy = `{"version":3,"routes":[
		{"name":"proof","host":"h","path-prefix":"/","service":"llm","allowed-regions":["west",""]}],
		"services":[{"name":"llm"}],"limits":{},
		"tenants":[{"name":"shop","allowed-regions":["nowhere"]},{"name":"bank"}]}`
	lines := memory.New()
	e := newEvacuee()
	e.DecodePolicy = platform.DecodePolicy
	e.Board.Regions = map[string]string{"north": "west"}
	e.Logger = &log.Logger{Handler: lines}
	e.AddRecords([]pomelospring.KeyedRecord{put("config", policy)})
	var got []any
	for _, line := range lines.Entries {
		if line.Message == events.HomesUnknown.Name {
			got = append(got, line.Fields["homes"])
		}
	}
	if diff := cmp.Diff([]any{[]string{"proof: ", "shop: nowhere"}}, got); diff != "" {
		t.Error(diff)
	}
	route := e.Board.Policy().Routes[0]
	if diff := cmp.Diff(pomelospring.Homes{"west", ""}, route.Homes); diff != "" {
		t.Error(diff)
	}
}
