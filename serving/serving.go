// Package serving takes an admitted model request to the owner of a backend
// server and brings its answer back, with retries where nothing was passed on.
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
	// attempts bounds how often one request is tried.
	attempts = 4
	// watchInterval is how often the owner of a running request is checked.
	watchInterval = 200 * time.Millisecond
	// unreachedPause keeps requests away from an owner that failed.
	unreachedPause = time.Second
)

var errOwnerUnreached = errors.New("the owner can't be reached")

// Server serves model requests from any entry instance.
type Server struct {
	Board   *blackboard.Blackboard
	Router  pomelospring.Router
	Owner   *ownership.Owner
	Peers   *peer.Client
	Retries *retry.Budget
	Logger  log.Interface
	Clock   pomelospring.Clock
}

// Serve runs one request. emit gets each piece of the answer; once it was
// called the request is not tried again.
func (s *Server) Serve(ctx context.Context, work *pomelospring.Work, call engine.Request, emit func([]byte) error) (end ownership.ServeResult, err error) {
	s.Retries.RecordAttempt()
	requestID := work.ID
	for attempt := range attempts {
		work.ID = requestID
		if attempt > 0 {
			work.ID = requestID + "-" + uuid.NewString()[:8]
		}
		call.ID = work.ID
		emitted := false
		end, err = s.attempt(ctx, work, call, func(data []byte) error {
			emitted = true
			return emit(data)
		})
		if err == nil || emitted || ctx.Err() != nil || !s.again(work, err, attempt) {
			return end, err
		}
	}
	return end, err
}

// again says whether a failed attempt is worth another, elsewhere.
func (s *Server) again(work *pomelospring.Work, err error, attempt int) bool {
	refusal := pomelospring.AsRefusal(err)
	switch refusal.Code {
	case pomelospring.CodeBackendServerError, pomelospring.CodeNoBackendServer, pomelospring.CodeLoadFailed, pomelospring.CodeInternal:
	default:
		return false
	}
	if attempt+1 >= attempts || s.Clock().After(work.Deadline) || !s.Retries.Take() {
		return false
	}
	events.Log(s.Logger, events.RequestRetried, log.Fields{
		"request": work.ID,
		"attempt": attempt + 1,
		"reason":  refusal.Error(),
	})
	return true
}

func (s *Server) attempt(ctx context.Context, work *pomelospring.Work, call engine.Request, emit func([]byte) error) (end ownership.ServeResult, err error) {
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
		return end, pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, s.Clock().Add(2*time.Second), "no model worker for base model %s can be reached", work.Base)
	}
	s.logRoute(work, target)
	if target.Owner == s.Board.Self.ID {
		end, err = s.Owner.Serve(ctx, work, call, emit)
	} else {
		end, err = s.forward(ctx, work, call, target, emit)
	}
	if err != nil {
		work.Avoid = append(work.Avoid, avoided(end, target, err)...)
	}
	return end, err
}

// avoided names the servers that the next attempt shall keep away from.
func avoided(end ownership.ServeResult, target pomelospring.Target, err error) []string {
	if end.Server != "" {
		return []string{end.Server}
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

// forward sends the request to another instance and watches that instance.
func (s *Server) forward(ctx context.Context, work *pomelospring.Work, call engine.Request, target pomelospring.Target, emit func([]byte) error) (end ownership.ServeResult, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.Board.BeginUse(target.Owner)()
	go s.watch(ctx, target.Owner, cancel)
	out, err := s.Peers.At(ctx, target.Address).Serve(ctx, peer.FromWork(work, call))
	if err != nil {
		return end, s.unreached(ctx, target, err)
	}
	defer func() { _ = out.Close() }()
	for {
		chunk, err := out.Recv()
		if err != nil {
			return end, s.unreached(ctx, target, err)
		}
		if chunk.GetRefusal() != nil {
			return peer.ToServeResult(chunk.GetEnd()), peer.ToRefusal(chunk.GetRefusal())
		}
		if chunk.GetEnd() != nil {
			end = peer.ToServeResult(chunk.GetEnd())
			s.Board.Directory.UpdateLoad(end.Server, end.Running, end.Waiting)
			return end, nil
		}
		if err := emit(chunk.GetData()); err != nil {
			return end, pomelospring.NewUnknown(pomelospring.CodeCallerGone, "%v", err)
		}
	}
}

// watch gives up on an owner that stopped answering its peers.
func (s *Server) watch(ctx context.Context, owner string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !s.Board.Reachable(owner, s.Clock()) {
				cancel(errOwnerUnreached)
				return
			}
		}
	}
}

func (s *Server) unreached(ctx context.Context, target pomelospring.Target, err error) error {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errOwnerUnreached) {
		return pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the request was ended")
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.Board.SetUnreachableUntil(target.Owner, s.Clock().Add(unreachedPause))
	return pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", fmt.Errorf("owner %s: %w", target.Owner, err))
}
