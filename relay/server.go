package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// maxRelayed bounds the attempts that one instance sends for others at once.
	maxRelayed = 512
	// callTimeout bounds the time from the acceptance of an attempt until the whole call
	// is received. An instance that stood still meanwhile sends nothing.
	callTimeout = time.Second
	// maxCallBytes bounds the body of a call.
	maxCallBytes = 64 << 20
	// deadlineMargin is how long after a call's deadline its attempt ends, if the calling
	// instance has not ended it.
	deadlineMargin = 500 * time.Millisecond
)

// Server sends attempts of other instances to backend servers.
type Server struct {
	Board *fleet.Board
	// Direct sends calls over this instance's own paths only.
	Direct  pomelospring.Backend
	Engine  pomelospring.Engine
	Notices fleet.Notices
	// Region is that of this instance; empty if it isn't known.
	Region string
	// Stopping reports whether the instance stops, and accepts no attempts.
	Stopping func() bool
	// Memory is charged with the calls; nil grants all.
	Memory Memory
	Logger log.Interface
	Clock  pomelospring.Clock

	mu sync.Mutex
	// running counts the attempts under way by calling instance, and total all of them.
	running map[string]int
	total   int
}

// Memory grants a part of the instance's memory until it is released.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

var _ coordinationpb.DRPCRelayServer = (*Server)(nil)

// Running returns the number of attempts under way.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Send implements the RPC Send.
func (s *Server) Send(stream coordinationpb.DRPCRelay_SendStream) (err error) {
	defer pomelospring.Annotate(&err, "relay")
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := first.GetOffer()
	server, failure := s.accept(offer)
	if failure != nil {
		events.Log(s.Logger, events.RelayRefused, log.Fields{
			"instance": offer.GetInstance(),
			"server":   offer.GetServer(),
			"reason":   failure.Reason,
		})
		return stream.Send(&coordinationpb.RelayReply{
			Failure: failure,
		})
	}
	defer s.release(offer.Instance)
	acceptedAt := s.Clock()
	if err = stream.Send(&coordinationpb.RelayReply{
		Accepted: true,
		Region:   s.Region,
	}); err != nil {
		return err
	}
	received, err := s.receiveInTime(stream)
	defer s.free(received)
	if err == nil && s.Clock().Sub(acceptedAt) > callTimeout {
		err = errLateCall
	}
	if err != nil {
		return stream.Send(&coordinationpb.RelayReply{
			Failure: notSent(err.Error()),
		})
	}
	return s.relay(stream, server, received)
}

// errLateCall is why a call that was received long after its attempt was accepted is not
// sent: its caller may have given up.
var errLateCall = errors.New("the call was not received in time")

func notSent(reason string) *coordinationpb.RelayFailure {
	return &coordinationpb.RelayFailure{
		NotSent: true,
		Reason:  reason,
	}
}

// accept reserves a place for an attempt, or returns why it is refused.
func (s *Server) accept(offer *coordinationpb.RelayOffer) (server pomelospring.FleetServer, failure *coordinationpb.RelayFailure) {
	if offer == nil {
		return server, notSent("no offer")
	}
	if s.Stopping() {
		return server, notSent("the instance stops")
	}
	now := s.Clock()
	server, listed := s.Board.Server(offer.Server)
	if !listed || server.Started.UnixMilli() != offer.Started {
		return server, notSent("the server is not listed")
	}
	if !s.Board.PathBrokenSince(server.ID).IsZero() {
		failure = notSent("the path is broken here too")
		failure.Unreachable = true
		return server, failure
	}
	if server.Draining {
		return server, notSent("the server leaves")
	}
	if s.Board.Evacuated(server.Domain) {
		return server, notSent("the failure domain is evacuated")
	}
	if end, paused := s.Board.Pauses(now)[server.ID]; paused {
		failure = notSent("the server asked for a pause")
		failure.Notice = noticeToProto(pomelospring.ServerNotice{
			PausedUntil: end,
		}, now)
		return server, failure
	}
	if bound := s.Board.BoundOf(server.ID, now); bound.Limited() && !offer.LimitKnown {
		failure = notSent("the server has a limit")
		failure.Notice = noticeToProto(pomelospring.ServerNotice{
			RequestsPerSecond: bound.Limit.PerSecond,
			ColdUntil:         bound.ColdUntil,
		}, now)
		return server, failure
	}
	if !s.reserve(offer.Instance) {
		return server, notSent("too many attempts are under way")
	}
	return server, nil
}

// reserve reserves one of maxRelayed places, of which each calling instance gets an equal
// part.
func (s *Server) reserve(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[string]int{}
	}
	callers := len(s.running)
	if s.running[instance] == 0 {
		callers++
	}
	if s.total >= maxRelayed || s.running[instance] >= max(1, maxRelayed/callers) {
		return false
	}
	s.running[instance]++
	s.total++
	return true
}

func (s *Server) release(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.running[instance]--; s.running[instance] == 0 {
		delete(s.running, instance)
	}
}

// receiveInTime receives the rest of a call within callTimeout.
func (s *Server) receiveInTime(stream coordinationpb.DRPCRelay_SendStream) (call receivedCall, err error) {
	type result struct {
		call receivedCall
		err  error
	}
	received := make(chan result, 1)
	go func() {
		call, err := s.receive(stream)
		received <- result{
			call: call,
			err:  err,
		}
	}()
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case r := <-received:
		return r.call, r.err
	case <-timer.C:
		// The stream ends with this RPC, and what is still received with it.
		go func() { s.free((<-received).call) }()
		return receivedCall{}, errLateCall
	}
}

// free frees the memory of a call.
func (s *Server) free(call receivedCall) {
	if call.reserved > 0 {
		s.Memory.Release(call.reserved)
	}
}

// receivedCall is a call that was received whole.
type receivedCall struct {
	*coordinationpb.RelayCall
	body []byte
	// beganAt is when its first part was received, from which its remaining time counts.
	beganAt time.Time
	// reserved is the memory that it was granted, in bytes.
	reserved int64
}

// errNoMemory is why a call is not sent that found no memory.
var errNoMemory = errors.New("the memory for callers is taken")

// receive receives a call and its body. What it returns has to be freed also with an
// error.
func (s *Server) receive(stream coordinationpb.DRPCRelay_SendStream) (call receivedCall, err error) {
	for {
		part, err := stream.Recv()
		if err != nil {
			return call, err
		}
		if part.Call != nil && call.RelayCall == nil {
			call.RelayCall, call.beganAt = part.Call, s.Clock()
			if err = s.reserveMemory(&call); err != nil {
				return call, err
			}
		}
		if call.RelayCall == nil || len(call.body)+len(part.Body) > maxCallBytes {
			return call, errors.New("the call is malformed")
		}
		call.body = append(call.body, part.Body...)
		if !part.Last {
			continue
		}
		if int64(len(call.body)) != call.Length {
			return call, fmt.Errorf("the body has %d bytes of %d", len(call.body), call.Length)
		}
		return call, nil
	}
}

// reserveMemory reserves the memory of a call's body.
func (s *Server) reserveMemory(call *receivedCall) error {
	if s.Memory == nil || call.Length <= 0 {
		return nil
	}
	if !s.Memory.Reserve(call.Length) {
		return errNoMemory
	}
	call.reserved = call.Length
	return nil
}

// relay sends a call to a server and its answer to the calling instance.
func (s *Server) relay(stream coordinationpb.DRPCRelay_SendStream, server pomelospring.FleetServer, received receivedCall) error {
	call, dispatch := callFromProto(received.RelayCall, received.body, server, received.beganAt)
	ctx, cancel := context.WithDeadline(stream.Context(), dispatch.Deadline.Add(deadlineMargin))
	defer cancel()
	answer, err := s.Direct.Send(ctx, call, dispatch)
	if err != nil {
		isNotSent := errors.Is(err, pomelospring.ErrNotSent)
		return stream.Send(&coordinationpb.RelayReply{
			Failure: &coordinationpb.RelayFailure{
				NotSent:     isNotSent,
				Unreachable: isNotSent && !errors.Is(err, pomelospring.ErrEvacuated) && ctx.Err() == nil,
				Reason:      err.Error(),
			},
		})
	}
	defer answer.Body.Close()
	s.Notices.Record(server, answer.Notice)
	if err = stream.Send(&coordinationpb.RelayReply{
		Head: headToProto(answer, s.Clock()),
	}); err != nil {
		return err
	}
	return forward(stream, answer.Body)
}

// forward sends the body of an answer, and how it ended.
func forward(stream coordinationpb.DRPCRelay_SendStream, content io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := content.Read(buffer)
		if n > 0 {
			if sendErr := stream.Send(&coordinationpb.RelayReply{
				Body: buffer[:n],
			}); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.Send(&coordinationpb.RelayReply{
				End: true,
			})
		}
		if err != nil {
			return stream.Send(&coordinationpb.RelayReply{
				Failure: &coordinationpb.RelayFailure{
					Reason: err.Error(),
				},
			})
		}
	}
}

// Report implements the RPC Report.
func (s *Server) Report(ctx context.Context, request *coordinationpb.RelayReportRequest) (reply *coordinationpb.RelayReportReply, err error) {
	server, listed := s.Board.Server(request.Server)
	if !listed || server.Started.UnixMilli() != request.Started || s.Board.Evacuated(server.Domain) {
		return &coordinationpb.RelayReportReply{}, nil
	}
	report, err := s.Engine.Report(ctx, server)
	if err != nil {
		return &coordinationpb.RelayReportReply{
			Asked:  true,
			Ended:  errors.Is(err, pomelospring.ErrServerEnded),
			Silent: errors.Is(err, pomelospring.ErrSilent),
			Error:  err.Error(),
		}, nil
	}
	return &coordinationpb.RelayReportReply{
		Asked:   true,
		Started: report.Started.UnixMilli(),
	}, nil
}
