package origin_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/origin"
)

// originStore keeps what it is given; away, it answers nothing.
type originStore struct {
	starts   []pomelospring.StreamStart
	versions map[string][]string
	reads    int
	away     bool
}

var errAway = errors.New("the store is away")

func (s *originStore) AppendStarts(_ context.Context, starts []pomelospring.StreamStart) error {
	if s.away {
		return errAway
	}
	s.starts = append(s.starts, starts...)
	return nil
}

func (s *originStore) Starts(_ context.Context, from pomelospring.TopicPosition) ([]pomelospring.StreamStart, pomelospring.TopicPosition, error) {
	if s.away {
		return nil, from, errAway
	}
	s.reads++
	return s.starts[from.Offset:], pomelospring.TopicPosition{Offset: int64(len(s.starts))}, nil
}

func (s *originStore) SoftwareVersions(context.Context) (map[string][]string, error) {
	if s.away {
		return nil, errAway
	}
	return s.versions, nil
}

func (s *originStore) WriteSoftwareVersions(_ context.Context, service string, versions []string) error {
	if s.away {
		return errAway
	}
	s.versions[service] = versions
	return nil
}

// noDirectory reaches no other instance.
type noDirectory struct{}

func (noDirectory) Tell(starts []pomelospring.StreamStart) (untold []pomelospring.StreamStart) {
	return starts
}

func (noDirectory) Ask(context.Context, string) (answer pomelospring.StartAnswer) { return answer }

// emptyDirectory reaches instances that know no start.
type emptyDirectory struct{ noDirectory }

func (emptyDirectory) Ask(context.Context, string) (answer pomelospring.StartAnswer) {
	return pomelospring.StartAnswer{Answered: true}
}

// instance is one instance's keeper, at a time that the test sets.
type instance struct {
	*origin.Keeper
	now time.Time
}

func newInstance(store *originStore, software ...string) *instance {
	i := &instance{now: time.UnixMilli(1_000_000)}
	i.Keeper = &origin.Keeper{
		Store:     store,
		Register:  origin.NewRegister(),
		Directory: noDirectory{},
		Board:     fleet.NewBoard("north"),
		LeadsAny:  func() bool { return true },
		Instances: func() int { return 1 },
		Logger:    &log.Logger{Handler: discard.New()},
		Clock:     func() time.Time { return i.now },
	}
	i.list(time.UnixMilli(1000), software...)
	return i
}

// list lists a server of each software version, started at a time.
func (i *instance) list(started time.Time, software ...string) {
	servers := map[string]pomelospring.FleetServer{}
	for _, version := range software {
		servers["i-"+version] = pomelospring.FleetServer{ID: "i-" + version, Service: "llm", Software: version, Started: started}
	}
	i.Board.SetServers(servers, i.now)
}

// relist lists a server, started at a time, with a software version beside the others.
func (i *instance) relist(id, software string, started time.Time) {
	servers := map[string]pomelospring.FleetServer{}
	for _, server := range i.Board.Servers() {
		servers[server.ID] = server
	}
	servers[id] = pomelospring.FleetServer{ID: id, Service: "llm", Software: software, Started: started}
	i.Board.SetServers(servers, i.now)
}

// keep lets the keeper write once.
func (i *instance) keep() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_ = i.Run(ctx)
}

// begin records the start of the stream of call r1.
func (i *instance) begin(software string) {
	i.Begin(pomelospring.StreamStart{Call: "r1", Service: "llm", Software: software, Server: "i-" + software, ServerStarted: time.UnixMilli(1000), At: i.now})
}

type originOf struct {
	Software string
	Known    bool
}

// TestOriginOfAStreamIsGuessed guards against streams that go on at a software version
// that may not have begun them, and against refusing those whose version can be told.
func TestOriginOfAStreamIsGuessed(t *testing.T) {
	scenarios := []struct {
		name string
		play func(store *originStore) (at *instance)
		want originOf
	}{
		{
			name: "one version, without a record",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1")
				i.keep()
				return i
			},
		},
		{
			name: "one version, before it is known which served earlier",
			play: func(store *originStore) *instance {
				store.away = true
				i := newInstance(store, "v1")
				i.keep()
				return i
			},
		},
		{
			name: "begun here",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				store.away = true
				return i
			},
		},
		{
			name: "begun at an instance that is gone",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.keep()
				return newInstance(store, "v1", "v2")
			},
		},
		{
			name: "begun before there was a second version",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1")
				i.begin("v1")
				i.keep()
				i.list(time.UnixMilli(1000), "v1", "v2")
				i.keep()
				return newInstance(store, "v1", "v2")
			},
		},
		{
			name: "not recorded",
			play: func(store *originStore) *instance {
				newInstance(store, "v1", "v2").begin("v1")
				return newInstance(store, "v1", "v2")
			},
		},
		{
			name: "not recorded, and its version has left",
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.keep()
				j := newInstance(store, "v2")
				j.keep()
				return j
			},
		},
		{
			name: "recorded by an instance that knew of a version earlier",
			want: originOf{Software: "v2", Known: true},
			play: func(store *originStore) *instance {
				late := newInstance(store, "v1")
				late.keep()
				i := newInstance(store, "v1", "v2")
				i.begin("v2")
				i.keep()
				return late
			},
		},
		{
			name: "its call began streams at two versions",
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.begin("v2")
				return i
			},
		},
		{
			name: "its call began streams at two versions, at two instances",
			play: func(store *originStore) *instance {
				i, j := newInstance(store, "v1", "v2"), newInstance(store, "v1", "v2")
				i.begin("v1")
				j.begin("v2")
				i.keep()
				j.keep()
				return newInstance(store, "v1", "v2")
			},
		},
		{
			name: "its server had been started anew at another version",
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.relist("i-v1", "v2", i.now.Add(-time.Second))
				return i
			},
		},
		{
			name: "its server was started anew at another version at about the same time",
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.relist("i-v1", "v2", i.now.Add(time.Second))
				return i
			},
		},
		{
			name: "its server had been started anew at its version",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.list(i.now.Add(-time.Second), "v1", "v2")
				return i
			},
		},
		{
			name: "its server was away for a second, with one version",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1")
				i.begin("v1")
				i.list(i.now.Add(1300*time.Millisecond), "v1")
				return i
			},
		},
		{
			name: "its server was started anew at another version later",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.begin("v1")
				i.relist("i-v1", "v2", i.now.Add(5*time.Second))
				return i
			},
		},
		{
			name: "the second version left long ago",
			want: originOf{Software: "v1", Known: true},
			play: func(store *originStore) *instance {
				i := newInstance(store, "v1", "v2")
				i.keep()
				i.list(time.UnixMilli(1000), "v1")
				i.now = i.now.Add(2 * time.Minute)
				i.list(time.UnixMilli(1000), "v1")
				i.keep()
				return i
			},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			at := scenario.play(&originStore{versions: map[string][]string{}})
			found := at.Origin(t.Context(), "llm", "r1")
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

// TestStartsAreWrittenWithOneVersion guards against calls to the store while no stream can
// go wrong.
func TestStartsAreWrittenWithOneVersion(t *testing.T) {
	store := &originStore{versions: map[string][]string{}}
	i := newInstance(store, "v1")
	i.begin("v1")
	i.keep()
	if len(store.starts) > 0 {
		t.Errorf("%d starts were written", len(store.starts))
	}
	i.list(time.UnixMilli(1000), "v1", "v2")
	i.keep()
	i.keep()
	if diff := cmp.Diff(1, len(store.starts)); diff != "" {
		t.Errorf("starts with two versions: %s", diff)
	}
}
