package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/commit"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/intent"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/stream"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server answers other instances.
type Server struct {
	Board     *blackboard.Blackboard
	Owner     *ownership.Owner
	Committer *commit.Committer
	// Followers are the streams that peers may read here, by name.
	Followers  map[string]*stream.Follower
	Logger     log.Interface
	Clock      pomelospring.Clock
	ClockBound time.Duration
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

var _ peerpb.DRPCPeerServer = (*Server)(nil)

// Run serves a listener until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	defer pomelospring.Annotate(&err, "serve instances")
	mux := drpcmux.New()
	if err = peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
	})
	return server.Serve(ctx, listener)
}

// Serve implements the call Serve.
func (s *Server) Serve(request *peerpb.ServeRequest, out peerpb.DRPCPeer_ServeStream) error {
	work, call := ToWork(request)
	running := work.ID + "/peer"
	s.Board.Running.Add(running, "", func(error) {})
	defer s.Board.Running.Remove(running)
	end, err := s.Owner.Serve(out.Context(), work, call, func(data []byte) error {
		return out.Send(&peerpb.ServeChunk{
			Data: data,
		})
	})
	if err != nil {
		return out.Send(&peerpb.ServeChunk{
			Refusal: FromRefusal(pomelospring.AsRefusal(err), end.Server),
			End:     FromServeResult(end),
		})
	}
	return out.Send(&peerpb.ServeChunk{
		End: FromServeResult(end),
	})
}

// Lend implements the call Lend. The tokens leave the bucket here before the
// answer leaves, and the cap stays lowered until the loan is over everywhere.
func (s *Server) Lend(_ context.Context, request *peerpb.LendRequest) (*peerpb.LendReply, error) {
	now := s.Clock()
	deadline := time.Unix(0, request.GetDeadline())
	lent, left := s.Board.Bank.Lend(request.GetPool(), request.GetLoan(), request.GetAmount(), deadline.Add(s.ClockBound), now)
	return &peerpb.LendReply{
		Lent: lent,
		Left: left,
	}, nil
}

// CloseLoan implements the call CloseLoan.
func (s *Server) CloseLoan(_ context.Context, request *peerpb.CloseLoanRequest) (*peerpb.CloseLoanReply, error) {
	if request.GetSpent() {
		s.Board.Bank.MarkLoanSpent(request.GetPool(), request.GetLoan(), s.Clock())
		return &peerpb.CloseLoanReply{}, nil
	}
	s.Board.Bank.CloseLoan(request.GetPool(), request.GetLoan(), request.GetReturned(), s.Clock())
	return &peerpb.CloseLoanReply{}, nil
}

// Exchange implements the call Exchange.
func (s *Server) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	since := request.GetSequence()
	if request.GetEpoch() != s.Board.Self.ID {
		since = -1
	}
	entries, next := s.Board.Directory.ChangesSince(since)
	reply := &peerpb.ExchangeReply{
		Epoch:              s.Board.Self.ID,
		Sequence:           next,
		Fence:              s.Board.Domain.Get().Fence,
		Domain:             s.Board.Self.Domain,
		ConfigurationFresh: nanos(s.Board.Configuration.FreshAt()),
	}
	for _, entry := range entries {
		reply.Servers = append(reply.Servers, FromEntry(entry))
	}
	return reply, nil
}

// ReadRecords implements the call ReadRecords.
func (s *Server) ReadRecords(_ context.Context, request *peerpb.ReadRecordsRequest) (reply *peerpb.ReadRecordsReply, err error) {
	defer pomelospring.Annotate(&err, "read records")
	follower, known := s.Followers[request.GetStream()]
	if !known {
		return nil, fmt.Errorf("stream %q is not followed here", request.GetStream())
	}
	reading, err := follower.Read(request.GetFrom())
	if err != nil {
		return nil, err
	}
	reply = &peerpb.ReadRecordsReply{
		Snapshot: reading.Snapshot,
		Fresh:    nanos(reading.Fresh),
	}
	for _, record := range reading.Records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, encoded)
	}
	return reply, nil
}

// Handover implements the call Handover.
func (s *Server) Handover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	busy := map[pomelospring.AdapterVersion]int{}
	for text, count := range request.GetBusy() {
		if adapter, err := pomelospring.ParseAdapterVersion(text); err == nil {
			busy[adapter] = int(count)
		}
	}
	events.Log(s.Logger, events.HandoverReceived, log.Fields{
		"server": request.GetServer(),
		"from":   request.GetFrom(),
		"busy":   len(busy),
	})
	s.Owner.ApplyHandover(request.GetServer(), request.GetFence(), busy)
	return &peerpb.HandoverReply{}, nil
}

// ClaimIntent implements the call ClaimIntent.
func (s *Server) ClaimIntent(ctx context.Context, request *peerpb.ClaimIntentRequest) (reply *peerpb.ClaimIntentReply, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	if request.GetDomain() != s.Board.Self.Domain {
		return nil, fmt.Errorf("this is failure domain %s", s.Board.Self.Domain)
	}
	verdict, err := s.Committer.Claim(ctx, request.GetKey(), request.GetRequest(), request.GetAttempt())
	if err != nil {
		return nil, err
	}
	return &peerpb.ClaimIntentReply{
		State:       string(verdict.ClaimStatus),
		Status:      int32(verdict.Answer.Status),
		ContentType: verdict.Answer.ContentType,
		Body:        verdict.Answer.Body,
		BodyKept:    verdict.Answer.BodyKept,
	}, nil
}

// SettleIntent implements the call SettleIntent.
func (s *Server) SettleIntent(ctx context.Context, request *peerpb.SettleIntentRequest) (reply *peerpb.SettleIntentReply, err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	if request.GetDomain() != s.Board.Self.Domain {
		return nil, fmt.Errorf("this is failure domain %s", s.Board.Self.Domain)
	}
	outcome := intent.Outcome{
		Key:     request.GetKey(),
		Attempt: request.GetAttempt(),
		Status:  intent.Status(request.GetState()),
		Answer: intent.Answer{
			Status:      int(request.GetStatus()),
			ContentType: request.GetContentType(),
			Body:        request.GetBody(),
			BodyKept:    request.GetBodyKept(),
		},
	}
	if err = s.Committer.Settle(ctx, outcome); err != nil {
		return nil, err
	}
	return &peerpb.SettleIntentReply{}, nil
}

// Status implements the call Status.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{
		Instance:          s.Board.Self.ID,
		Domain:            s.Board.Self.Domain,
		ConfigurationNext: s.Board.Configuration.Get().Next,
	}
	for _, row := range s.Board.Usage.Rows() {
		reply.Usage = append(reply.Usage, &peerpb.UsageRow{
			Minute:           row.Minute.Unix(),
			Team:             row.Team,
			Adapter:          row.Adapter,
			Server:           row.Server,
			Requests:         row.Requests,
			PromptTokens:     row.PromptTokens,
			CompletionTokens: row.CompletionTokens,
			Refused:          row.Refused,
		})
	}
	return reply, nil
}

// ToWork reads a request from its form on the wire.
func ToWork(request *peerpb.ServeRequest) (work *pomelospring.Work, call engine.Request) {
	adapter := pomelospring.AdapterVersion{
		Adapter: request.GetAdapter(),
		Version: request.GetVersion(),
	}
	work = &pomelospring.Work{
		ID:       request.GetRequestId(),
		Team:     request.GetTeam(),
		Weight:   request.GetWeight(),
		Adapter:  adapter,
		Base:     request.GetBase(),
		Priority: int(request.GetPriority()),
		Cost:     request.GetCost(),
		Arrived:  moment(request.GetArrived()),
		Deadline: moment(request.GetDeadline()),
		Prefix:   request.GetPrefix(),
		Avoid:    request.GetAvoid(),
	}
	call = engine.Request{
		ID:        request.GetRequestId(),
		Path:      request.GetPath(),
		Adapter:   adapter,
		Body:      request.GetBody(),
		Streaming: request.GetStreaming(),
	}
	return work, call
}

// FromWork gives a request's form on the wire.
func FromWork(work *pomelospring.Work, call engine.Request) *peerpb.ServeRequest {
	return &peerpb.ServeRequest{
		RequestId: work.ID,
		Team:      work.Team,
		Weight:    work.Weight,
		Adapter:   work.Adapter.Adapter,
		Version:   work.Adapter.Version,
		Base:      work.Base,
		Path:      call.Path,
		Body:      call.Body,
		Streaming: call.Streaming,
		Priority:  int32(work.Priority),
		Cost:      work.Cost,
		Arrived:   nanos(work.Arrived),
		Deadline:  nanos(work.Deadline),
		Prefix:    work.Prefix,
		Avoid:     work.Avoid,
	}
}

// FromServeResult gives an end's form on the wire.
func FromServeResult(end ownership.ServeResult) *peerpb.ServeEnd {
	return &peerpb.ServeEnd{
		PromptTokens:     end.Usage.PromptTokens,
		CompletionTokens: end.Usage.CompletionTokens,
		Server:           end.Server,
		Stalled:          int64(end.Stalled),
		Running:          int32(end.Running),
		Waiting:          int32(end.Waiting),
	}
}

// ToServeResult reads an end from its form on the wire.
func ToServeResult(end *peerpb.ServeEnd) ownership.ServeResult {
	return ownership.ServeResult{
		Usage: engine.Usage{
			PromptTokens:     end.GetPromptTokens(),
			CompletionTokens: end.GetCompletionTokens(),
			TotalTokens:      end.GetPromptTokens() + end.GetCompletionTokens(),
		},
		Server:  end.GetServer(),
		Stalled: time.Duration(end.GetStalled()),
		Running: int(end.GetRunning()),
		Waiting: int(end.GetWaiting()),
	}
}
