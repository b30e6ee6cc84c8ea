package controllers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/stream"
)

const (
	// snapshotCheckInterval is how often the streams are checked.
	snapshotCheckInterval = time.Second
	// maxSnapshotJitter spreads the instances over time, so that most find that
	// another one has posted the snapshot.
	maxSnapshotJitter = 3 * time.Second
)

// SnapshotController appends a snapshot to each stream before the log's retention
// removes the records that the state depends on.
type SnapshotController struct {
	*Common
}

// NewSnapshotController returns a controller; Run starts it.
func NewSnapshotController(common *Common) *SnapshotController {
	return &SnapshotController{
		Common: common,
	}
}

// Run checks the streams until ctx ends.
func (s *SnapshotController) Run(ctx context.Context) error {
	return runEvery(ctx, fixedInterval(snapshotCheckInterval), s.postDue)
}

// postDue posts the snapshots that are due and still due after a random delay,
// which is shorter on the domain's snapshot writer.
func (s *SnapshotController) postDue(ctx context.Context) {
	for _, follower := range []*stream.Follower{s.Configuration, s.Budget, s.Domain, s.Intents} {
		if !s.due(follower) {
			continue
		}
		delay := time.Duration(rand.Int64N(int64(maxSnapshotJitter)))
		if s.Board.Domain.Get().Writer("snapshot") == s.Board.Self.ID {
			delay /= 10
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if s.due(follower) {
			s.post(ctx, follower)
		}
	}
}

// due reports whether a stream needs a snapshot, by the settings' number of records
// or age.
func (s *SnapshotController) due(follower *stream.Follower) bool {
	return follower.SnapshotDue(s.Settings.Streams.SnapshotRecords, s.Clock().Add(-s.Settings.Streams.SnapshotAge))
}

func (s *SnapshotController) post(ctx context.Context, follower *stream.Follower) {
	if err := follower.PostSnapshot(ctx); err != nil {
		events.Log(s.Logger, events.SnapshotFailed, log.Fields{
			"stream": follower.Stream,
			"error":  err.Error(),
		})
		return
	}
	events.Log(s.Logger, events.SnapshotPosted, log.Fields{
		"stream": follower.Stream,
	})
}
