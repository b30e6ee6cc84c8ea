package origin_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
)

// startAt returns a start of the stream of call r1 at the server of a software version.
func startAt(software string) pomelospring.StreamStart {
	return pomelospring.StreamStart{
		Call:          "r1",
		Service:       "llm",
		Software:      software,
		Server:        "i-" + software,
		ServerStarted: time.UnixMilli(1000),
		At:            time.UnixMilli(1_000_000),
	}
}

// TestOneOfTwoOriginsIsPicked guards against a stream that goes on at either of the
// versions at which streams of one call ID began.
func TestOneOfTwoOriginsIsPicked(t *testing.T) {
	scenarios := []struct {
		name string
		want originOf
		play func(i *instance)
	}{
		{name: "told twice of one start", want: originOf{Software: "v1", Known: true}, play: func(i *instance) {
			i.Told([]pomelospring.StreamStart{startAt("v1"), startAt("v1")})
		}},
		{name: "begun here, and told of", want: originOf{Software: "v1", Known: true}, play: func(i *instance) {
			i.begin("v1")
			i.Told([]pomelospring.StreamStart{startAt("v1")})
		}},
		{name: "told of two", play: func(i *instance) {
			i.Told([]pomelospring.StreamStart{startAt("v1"), startAt("v2")})
		}},
		{name: "told of two, one after the other", play: func(i *instance) {
			i.Told([]pomelospring.StreamStart{startAt("v2")})
			i.Told([]pomelospring.StreamStart{startAt("v1")})
		}},
		{name: "told of two, and of the first again", play: func(i *instance) {
			i.Told([]pomelospring.StreamStart{startAt("v1")})
			i.Told([]pomelospring.StreamStart{startAt("v2")})
			i.Told([]pomelospring.StreamStart{startAt("v1")})
		}},
		{name: "begun here, then told of another", play: func(i *instance) {
			i.begin("v1")
			i.Told([]pomelospring.StreamStart{startAt("v2")})
		}},
		{name: "told of another, then begun here", play: func(i *instance) {
			i.Told([]pomelospring.StreamStart{startAt("v2")})
			i.begin("v1")
		}},
		{name: "begun here twice", play: func(i *instance) {
			i.begin("v1")
			i.begin("v2")
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store := &originStore{versions: map[string][]string{}}
			i := newInstance(store, "v1", "v2")
			scenario.play(i)
			found := i.Origin(t.Context(), "llm", "r1")
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
