// Package serving sends an admitted model request to the owner of a backend server
// and streams the answer back. It retries as long as no output was emitted.
package serving

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/retry"
)

const (
	// maxAttempts bounds the attempts of one request, including the first.
	maxAttempts = 4
	// unreachablePause is how long an owner is kept out of routing after a
	// failed call.
	unreachablePause = time.Second
)

// Server serves model requests that this instance received, on its own backend
// servers or on those of other instances.
type Server struct {
	Board   *blackboard.Blackboard
	Router  pomelospring.Router
	Owner   *ownership.Owner
	Peers   *peer.Client
	Retries *retry.Budget
	Logger  log.Interface
	Clock   pomelospring.Clock
}

// Serve runs one request, with up to maxAttempts attempts. Each chunk of the answer
// is passed to emit; after the first chunk the request is not retried. A retry gets
// the request ID with a random suffix.
func (s *Server) Serve(ctx context.Context, work *pomelospring.Work, call engine.Request, emit func([]byte) error) (result ownership.ServeResult, err error) {
	s.Retries.RecordAttempt()
	requestID := work.ID
	for attempt := range maxAttempts {
		work.ID = requestID
		if attempt > 0 {
			work.ID = requestID + "-" + uuid.NewString()[:8]
		}
		call.ID = work.ID
		emitted := false
		result, err = s.attempt(ctx, work, call, func(data []byte) error {
			emitted = true
			return emit(data)
		})
		if err == nil || emitted || ctx.Err() != nil || !s.shouldRetry(work, err, attempt) {
			return result, err
		}
	}
	return result, err
}

// shouldRetry reports whether to retry a failed attempt. If so, it takes a retry
// from the budget and logs it.
func (s *Server) shouldRetry(work *pomelospring.Work, err error, attempt int) bool {
	refusal := pomelospring.AsRefusal(err)
	switch refusal.Code {
	case pomelospring.CodeBackendServerError, pomelospring.CodeNoBackendServer, pomelospring.CodeLoadFailed, pomelospring.CodeInternal:
	default:
		return false
	}
	if attempt+1 >= maxAttempts || s.Clock().After(work.Deadline) || !s.Retries.Take() {
		return false
	}
	events.Log(s.Logger, events.RequestRetried, log.Fields{
		"request": work.ID,
		"attempt": attempt + 1,
		"reason":  refusal.Error(),
	})
	return true
}

// attempt routes the request once and serves it here or at the owner. After a
// failure it adds to work.Avoid the servers that the next attempt avoids.
func (s *Server) attempt(ctx context.Context, work *pomelospring.Work, call engine.Request, emit func([]byte) error) (result ownership.ServeResult, err error) {
	target, found := s.Router.Route(pomelospring.RouteQuery{
		Adapter: work.Adapter,
		Base:    work.Base,
		Domain:  s.Board.Self.Domain,
		Prefix:  work.Prefix,
		Avoid:   work.Avoid,
		Reachable: func(owner string) bool {
			return s.Board.Reachable(owner, s.Clock())
		},
	})
	if !found {
		return result, pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, s.Clock().Add(2*time.Second), "no model worker for base model %s is reachable", work.Base)
	}
	s.logRoute(work, target)
	if target.Owner == s.Board.Self.ID {
		result, err = s.Owner.Serve(ctx, work, call, emit)
	} else {
		result, err = s.forward(ctx, work, call, target, emit)
	}
	if err != nil {
		work.Avoid = append(work.Avoid, serversToAvoid(result, target, err)...)
	}
	return result, err
}

// serversToAvoid returns the servers that the next attempt avoids: the one that
// ran the failed attempt, or the target if its owner found no backend server.
func serversToAvoid(result ownership.ServeResult, target pomelospring.Target, err error) []string {
	if result.Server != "" {
		return []string{result.Server}
	}
	if pomelospring.AsRefusal(err).Code == pomelospring.CodeNoBackendServer {
		return []string{target.Server}
	}
	return nil
}

func (s *Server) logRoute(work *pomelospring.Work, target pomelospring.Target) {
	events.Log(s.Logger, events.RequestRouted, log.Fields{
		"request":  work.ID,
		"team":     work.Team,
		"adapter":  work.Adapter.Adapter,
		"version":  work.Adapter.Version,
		"server":   target.Server,
		"owner":    target.Owner,
		"reason":   target.Reason,
		"runnerUp": target.RunnerUp,
	})
}

// forward sends the request to the instance that owns the target and streams its
// answer. It fails when its connection breaks or the instance seems to be gone.
func (s *Server) forward(ctx context.Context, work *pomelospring.Work, call engine.Request, target pomelospring.Target, emit func([]byte) error) (result ownership.ServeResult, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.Board.BeginUse(target.Owner, target.Address)()
	silence := NewOwnerSilence(work, s.Clock())
	go s.watchOwner(ctx, target.Owner, silence, cancel)
	stream, err := s.Peers.At(ctx, target.Address).Serve(ctx, peer.FromWork(work, call))
	if err != nil {
		return result, s.ownerFailure(ctx, target, err)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return result, s.ownerFailure(ctx, target, err)
		}
		if chunk.GetRefusal() != nil {
			return peer.ToServeResult(chunk.GetEnd()), peer.ToRefusal(chunk.GetRefusal())
		}
		if chunk.GetEnd() != nil {
			result = peer.ToServeResult(chunk.GetEnd())
			s.Board.Directory.UpdateLoad(result.Server, result.Running, result.Waiting)
			return result, nil
		}
		silence.RecordOutput(s.Clock())
		if err := emit(chunk.GetData()); err != nil {
			return result, pomelospring.NewUnknown(pomelospring.CodeCallerGone, "%v", err)
		}
	}
}

// watchOwner cancels the request once its owner seems to be gone.
func (s *Server) watchOwner(ctx context.Context, owner string, silence *OwnerSilence, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := s.Clock()
			if silence.Exceeded(s.Board.Reachable(owner, now), now) {
				cancel(errOwnerSilent)
				return
			}
		}
	}
}

// ownerFailure turns the error of a forwarded request into a refusal. Unless the
// request itself was canceled, it keeps the owner out of routing for
// unreachablePause.
func (s *Server) ownerFailure(ctx context.Context, target pomelospring.Target, err error) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errOwnerSilent):
		err = cause
	case cause != nil:
		return pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the request was ended")
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if until := s.Clock().Add(unreachablePause); s.Board.Reachable(target.Owner, until) {
		s.Board.SetUnreachableUntil(target.Owner, until)
	}
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", fmt.Errorf("owner %s: %w", target.Owner, err))
}
