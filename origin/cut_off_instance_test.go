package origin_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCutOffInstanceNamesTheOnlyVersionItLists guards against an instance that reaches
// neither the store nor others, and lists no server of a version that joined meanwhile.
func TestCutOffInstanceNamesTheOnlyVersionItLists(t *testing.T) {
	scenarios := []struct {
		name   string
		cutOff bool
		want   originOf
	}{
		{name: "in touch", want: originOf{Software: "v2", Known: true}},
		{name: "cut off", cutOff: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store := &originStore{versions: map[string][]string{}}
			late := newInstance(store, "v1")
			late.keep()
			i := newInstance(store, "v1", "v2")
			i.begin("v2")
			i.keep()
			store.away = scenario.cutOff
			found := late.Origin(t.Context(), "llm", "r1")
			got := originOf{Software: found.Software, Known: found.Known}
			if !found.Known {
				got.Software = ""
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
