package coordination_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/peer"
)

// fetchSource is an instance that records are fetched from.
type fetchSource struct {
	board *fleet.Board
	// cutAfter is the number of bytes after which its answers stop; 0 for never.
	cutAfter int64
	// halfway is called once, in the middle of a value, and answered each time that a part of
	// an answer is sent; both may be nil.
	halfway  func()
	answered func()
	sent     atomic.Int64
	conns    chan net.Conn
}

// halfBytes is about half of the value of the tests.
const halfBytes = 170_000

// cutConn stops carrying what a source sends.
type cutConn struct {
	net.Conn
	source *fetchSource
}

func (c *cutConn) Write(b []byte) (int, error) {
	sent := c.source.sent.Add(int64(len(b)))
	if c.source.cutAfter > 0 && sent > c.source.cutAfter {
		_ = c.Close()
		return 0, errors.New("cut off")
	}
	if c.source.halfway != nil && sent > halfBytes {
		c.source.halfway()
		c.source.halfway = nil
	}
	n, err := c.Conn.Write(b)
	if c.source.answered != nil {
		c.source.answered()
	}
	return n, err
}

// TestFetchEndsWhileTheRecordIsReplaced guards against fetches that begin anew with each
// change, and never end where these come quickly.
func TestFetchEndsWhileTheRecordIsReplaced(t *testing.T) {
	for _, routes := range []int{50, 1400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			source := &fetchSource{board: fleet.NewBoard("north"), conns: make(chan net.Conn)}
			var revision, applied atomic.Int64
			replace := func() {
				next := revision.Add(1)
				source.board.StoreRecord(pomelospring.KeyedRecord{Key: "config", Value: routesOf(routes, int(next)), Offset: next}, next)
			}
			replace()
			source.answered = func() {
				time.Sleep(20 * time.Millisecond)
				replace()
			}
			server := &coordination.Server{Fetcher: &coordination.RecordFetcher{Blocks: &coordination.RecordBlocks{Board: source.board}}}
			go func() { _ = server.Run(ctx, &pipeListener{conns: source.conns, closed: ctx, close: cancel}) }()
			board := fleet.NewBoard("north")
			peers := peer.NewClient(nil)
			peers.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				select {
				case source.conns <- &cutConn{Conn: theirs, source: source}:
					return ours, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			fetcher := &coordination.RecordFetcher{
				Blocks: &coordination.RecordBlocks{Board: board}, Board: board, Peers: peers, Address: "self",
				Logger: &log.Logger{Handler: discard.New()}, Clock: time.Now,
				Apply: func(records []pomelospring.KeyedRecord) {
					applied.Add(1)
					board.StoreRecord(records[0], records[0].Offset)
				},
			}
			go func() { _ = fetcher.Run(ctx) }()
			for range 5 {
				newest := revision.Load()
				fetcher.Want(fleet.AwaitedRecord{Key: "config", Position: pomelospring.TopicPosition{Offset: newest}, Revision: newest}, "source")
				time.Sleep(time.Second)
			}
			if applied.Load() < 5 || fetcher.Failures() > 0 {
				t.Errorf("%d routes: %d records applied, %d fetches failed", routes, applied.Load(), fetcher.Failures())
			}
			record, _ := board.OperatorRecord("config")
			if !bytes.Equal(record.Value, routesOf(routes, int(record.Offset))) {
				t.Errorf("%d routes: the value of %d is another one", routes, record.Offset)
			}
			cancel()
			_ = peers.Close()
			// An answer may still be in its pause, and the clock stops with the test.
			time.Sleep(time.Second)
			synctest.Wait()
		})
	}
}

func TestFetchOfARecord(t *testing.T) {
	large := func(version int) []byte { return routesOf(1400, version) }
	name := func(offset, revision int64) fleet.AwaitedRecord {
		return fleet.AwaitedRecord{Key: "config", Position: pomelospring.TopicPosition{Offset: offset}, Revision: revision}
	}
	type source struct {
		version  int
		offset   int64
		cutAfter int64
		dead     bool
	}
	scenarios := []struct {
		name    string
		known   int
		sources []source
		wanted  fleet.AwaitedRecord
		// changedTo is the version to which the sources change halfway; 0 for none.
		changedTo int
		want      int
		// maxBytes bounds what the sources send.
		maxBytes int64
	}{
		{
			name:     "a first value",
			sources:  []source{{version: 2, offset: 2}},
			wanted:   name(2, 2),
			want:     2,
			maxBytes: 366_000,
		},
		{
			name:     "a change of one route",
			known:    1,
			sources:  []source{{version: 2, offset: 2}},
			wanted:   name(2, 2),
			want:     2,
			maxBytes: 16_000,
		},
		{
			name:     "the first source is cut off in the middle",
			sources:  []source{{version: 2, offset: 2, cutAfter: halfBytes}, {version: 2, offset: 2}},
			wanted:   name(2, 2),
			want:     2,
			maxBytes: 415_000,
		},
		{
			name:     "the first source is gone",
			known:    1,
			sources:  []source{{dead: true}, {version: 2, offset: 2}},
			wanted:   name(2, 2),
			want:     2,
			maxBytes: 16_000,
		},
		{
			name:     "the first source has restarted with an older value",
			known:    1,
			sources:  []source{{version: 1, offset: 1}, {version: 2, offset: 2}},
			wanted:   name(2, 2),
			want:     2,
			maxBytes: 20_000,
		},
		{
			name:      "the value changes meanwhile",
			sources:   []source{{version: 2, offset: 2}},
			wanted:    name(2, 2),
			changedTo: 3,
			want:      3,
			maxBytes:  380_000,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := &log.Logger{Handler: discard.New()}
				ctx, cancel := context.WithCancel(t.Context())
				sources := map[string]*fetchSource{}
				store := func(board *fleet.Board, version int, offset int64) {
					board.StoreRecord(pomelospring.KeyedRecord{Key: "config", Value: large(version), Offset: offset}, int64(version))
				}
				for i, s := range scenario.sources {
					source := &fetchSource{board: fleet.NewBoard("north"), cutAfter: s.cutAfter, conns: make(chan net.Conn)}
					store(source.board, s.version, s.offset)
					if scenario.changedTo > 0 {
						source.halfway = func() { store(source.board, scenario.changedTo, int64(scenario.changedTo)) }
					}
					sources[fmt.Sprint("source-", i)] = source
					server := &coordination.Server{Fetcher: &coordination.RecordFetcher{Blocks: &coordination.RecordBlocks{Board: source.board}}}
					if !s.dead {
						go func() {
							_ = server.Run(ctx, &pipeListener{conns: source.conns, closed: ctx, close: cancel})
						}()
					}
				}
				board := fleet.NewBoard("north")
				if scenario.known > 0 {
					store(board, scenario.known, int64(scenario.known))
				}
				peers := peer.NewClient(nil)
				peers.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					ours, theirs := net.Pipe()
					select {
					case sources[address].conns <- &cutConn{Conn: theirs, source: sources[address]}:
						return ours, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				fetcher := &coordination.RecordFetcher{
					Blocks: &coordination.RecordBlocks{Board: board}, Board: board, Peers: peers, Address: "self", Logger: logger, Clock: time.Now,
					Apply: func(records []pomelospring.KeyedRecord) {
						for _, record := range records {
							for version := range 4 {
								if bytes.Equal(record.Value, large(version)) {
									board.StoreRecord(record, int64(version))
								}
							}
						}
					},
				}
				go func() { _ = fetcher.Run(ctx) }()
				for i := range scenario.sources {
					fetcher.Want(scenario.wanted, fmt.Sprint("source-", i))
				}
				time.Sleep(5 * time.Second)
				record, _ := board.OperatorRecord("config")
				if diff := cmp.Diff(string(large(scenario.want)), string(record.Value)); diff != "" {
					t.Errorf("%d bytes at %d, want version %d", len(record.Value), record.Offset, scenario.want)
				}
				sent := int64(0)
				for _, source := range sources {
					sent += source.sent.Load()
				}
				if sent > scenario.maxBytes {
					t.Errorf("%d bytes were sent, want at most %d", sent, scenario.maxBytes)
				}
				if fetcher.Stalled() {
					t.Error("the fetch has stalled")
				}
				cancel()
				_ = peers.Close()
				synctest.Wait()
			})
		})
	}
}
