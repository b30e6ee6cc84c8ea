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
	// snapshotInterval is how often the streams are looked at.
	snapshotInterval = time.Second
	// snapshotSpread spreads the instances, so that most find it done.
	snapshotSpread = 3 * time.Second
)

// SnapshotController appends the states to their streams in good time.
type SnapshotController struct {
	*Common
}

// NewSnapshotController makes the controller.
func NewSnapshotController(common *Common) *SnapshotController {
	return &SnapshotController{
		Common: common,
	}
}

// Run looks at each stream until the context ends.
func (s *SnapshotController) Run(ctx context.Context) error {
	return every(ctx, fixed(snapshotInterval), s.look)
}

func (s *SnapshotController) look(ctx context.Context) {
	for _, follower := range []*stream.Follower{s.Configuration, s.Budget, s.Domain, s.Intents} {
		if !s.due(follower) {
			continue
		}
		pause := time.Duration(rand.Int64N(int64(snapshotSpread)))
		if s.Board.Domain.Get().Writer("snapshot") == s.Board.Self.ID {
			pause /= 10
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if s.due(follower) {
			s.post(ctx, follower)
		}
	}
}

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
