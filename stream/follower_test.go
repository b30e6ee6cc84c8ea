package stream_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/standin"
	"github.com/pomelospring/pomelospring/stream"
)

// peers is a fake of the other instances: one follower, or none.
type peers struct {
	from atomic.Pointer[stream.Follower]
}

// ReadRecords implements stream.Peers.
func (p *peers) ReadRecords(_ context.Context, _ string, from int64) (stream.PeerBatch, error) {
	peer := p.from.Load()
	if peer == nil {
		return stream.PeerBatch{}, errors.New("no peer is reachable")
	}
	return peer.Read(from)
}

// reader is a follower with the state that it published last.
type reader struct {
	follower *stream.Follower
	peers    *peers

	mu    sync.Mutex
	state *configuration.State
	fresh time.Time
	// decreased is set once a published offset was lower than the one before.
	decreased bool
}

func newReader(log pomelospring.Log) *reader {
	r := &reader{
		peers: &peers{},
		state: configuration.NewState(),
	}
	empty := stream.ConfigurationFold{
		State: configuration.NewState(),
	}
	r.follower = stream.NewFollower(log, r.peers, configuration.Stream, time.Now, empty, r.publish, func(error) {})
	return r
}

func (r *reader) publish(fold stream.Fold, fresh time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := fold.(stream.ConfigurationFold).State
	r.decreased = r.decreased || state.Next < r.state.Next
	r.state, r.fresh = state, fresh
}

func (r *reader) fold() stream.Fold {
	r.mu.Lock()
	defer r.mu.Unlock()
	return stream.ConfigurationFold{
		State: r.state,
	}
}

func (r *reader) offsetDecreased() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decreased
}

func (r *reader) teams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.state.Teams)
}

// change adds a team. Its base offset is beyond all records, so that it never
// conflicts.
func change(n int) configuration.Change {
	return configuration.Change{
		MadeAgainst: 1 << 40,
		Operations: []configuration.Operation{
			{
				SetTeam: &pomelospring.Team{
					Name: fmt.Sprint("team", n),
				},
			},
		},
	}
}

// Each scenario returns a number of teams or of records.
func TestFollower(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(t *testing.T, log *standin.Log, start func() *reader) int
		want int
	}{
		{
			name: "an append is read back",
			run: func(t *testing.T, _ *standin.Log, start func() *reader) int {
				r := start()
				if _, _, err := r.follower.Append(t.Context(), configuration.KindChange, change(1)); err != nil {
					t.Error(err)
				}
				synctest.Wait()
				return r.teams()
			},
			want: 1,
		},
		{
			name: "an append whose answer is lost is read back and appended once",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				synctest.Wait()
				log.SetFaults(standin.Faults{
					LoseAnswers: true,
				})
				if _, _, err := r.follower.Append(t.Context(), configuration.KindChange, change(1)); err != nil {
					t.Error(err)
				}
				return len(log.Records(configuration.Stream))
			},
			want: 1,
		},
		{
			name: "an append that never reaches the log returns ErrUnconfirmed",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				log.SetFaults(standin.Faults{
					DropBefore: true,
				})
				if _, _, err := r.follower.Append(t.Context(), configuration.KindChange, change(1)); !errors.Is(err, stream.ErrUnconfirmed) {
					t.Error(err)
				}
				return len(log.Records(configuration.Stream))
			},
			want: 0,
		},
		{
			name: "a new follower starts from a snapshot once the first records are truncated",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 5)
				if err := r.follower.PostSnapshot(t.Context()); err != nil {
					t.Error(err)
				}
				fill(t, r, 2)
				log.Truncate(configuration.Stream, 5)
				second := start()
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 5,
		},
		{
			name: "records between a snapshot's state and its record are applied",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 3)
				body, _ := r.fold().Snapshot()
				fill(t, r, 5)
				_, _ = log.Append(t.Context(), configuration.Stream, []pomelospring.Record{{ID: "late", Kind: stream.KindSnapshot, Stamp: time.Now(), Body: body}})
				log.Truncate(configuration.Stream, 3)
				second := start()
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 5,
		},
		{
			name: "a snapshot is not used if records after its state are truncated",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 3)
				body, _ := r.fold().Snapshot()
				fill(t, r, 5)
				_, _ = log.Append(t.Context(), configuration.Stream, []pomelospring.Record{{ID: "late", Kind: stream.KindSnapshot, Stamp: time.Now(), Body: body}})
				log.Truncate(configuration.Stream, 6)
				second := start()
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 0,
		},
		{
			name: "two concurrent snapshots do no harm",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r, other := start(), start()
				fill(t, r, 4)
				synctest.Wait()
				_ = r.follower.PostSnapshot(t.Context())
				_ = other.follower.PostSnapshot(t.Context())
				log.Truncate(configuration.Stream, 4)
				second := start()
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 4,
		},
		{
			name: "a new follower starts from a peer while the log is unreachable",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 4)
				log.SetFaults(standin.Faults{
					Down: true,
				})
				second := start()
				second.peers.from.Store(r.follower)
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 4,
		},
		{
			name: "a follower that started from a peer continues from the log",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 4)
				log.SetFaults(standin.Faults{
					Down: true,
				})
				second := start()
				second.peers.from.Store(r.follower)
				time.Sleep(time.Second)
				log.SetFaults(standin.Faults{})
				fill(t, r, 6)
				time.Sleep(time.Second)
				return second.teams()
			},
			want: 6,
		},
		{
			name: "a follower catches up after an outage longer than the log's retention",
			run: func(t *testing.T, log *standin.Log, start func() *reader) int {
				r := start()
				fill(t, r, 2)
				synctest.Wait()
				log.SetFaults(standin.Faults{
					Down: true,
				})
				time.Sleep(5 * time.Second)
				for n := range 6 {
					record, _ := pomelospring.NewRecord(fmt.Sprint("direct", n), configuration.KindChange, time.Now(), change(10+n))
					log.SetFaults(standin.Faults{})
					_, _ = log.Append(t.Context(), configuration.Stream, []pomelospring.Record{record})
					log.SetFaults(standin.Faults{
						Down: true,
					})
				}
				log.SetFaults(standin.Faults{})
				other := start()
				time.Sleep(time.Second)
				_ = other.follower.PostSnapshot(t.Context())
				time.Sleep(time.Second)
				if r.offsetDecreased() {
					t.Error("the published offset decreased")
				}
				return r.teams()
			},
			want: 8,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := standin.NewLog(time.Now, 0)
				start := func() *reader {
					r := newReader(log)
					go func() { _ = r.follower.Run(t.Context()) }()
					return r
				}
				if diff := cmp.Diff(scenario.want, scenario.run(t, log, start)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// fill appends changes until the configuration has the given number of teams.
func fill(t *testing.T, r *reader, teams int) {
	t.Helper()
	for n := range teams {
		if _, _, err := r.follower.Append(t.Context(), configuration.KindChange, change(n)); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Wait()
}
