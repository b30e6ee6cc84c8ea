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

// Server implements the Peer service, which other instances call.
type Server struct {
	Board     *blackboard.Blackboard
	Owner     *ownership.Owner
	Committer *commit.Committer
	// Followers of the streams that peers may read from this instance, by the
	// stream's name.
	Followers map[string]*stream.Follower
	Logger    log.Interface
	Clock     pomelospring.Clock
	// ClockBound is the maximum difference between two instances' clocks.
	ClockBound time.Duration
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

var _ peerpb.DRPCPeerServer = (*Server)(nil)

// Run accepts calls on a listener until the context is canceled.
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

// Serve runs a request on a backend server that this instance owns and streams
// the answer. A refusal is sent as the last chunk, not as an error of the call.
// The request is registered as running, so that a planned stop waits for it.
func (s *Server) Serve(request *peerpb.ServeRequest, out peerpb.DRPCPeer_ServeStream) error {
	work, call := ToWork(request)
	runningID := work.ID + "/peer"
	s.Board.Running.Add(runningID, "", func(error) {})
	defer s.Board.Running.Remove(runningID)
	result, err := s.Owner.Serve(out.Context(), work, call, func(data []byte) error {
		return out.Send(&peerpb.ServeChunk{
			Data: data,
		})
	})
	if err != nil {
		return out.Send(&peerpb.ServeChunk{
			Refusal: FromRefusal(pomelospring.AsRefusal(err), result.Server),
			End:     FromServeResult(result),
		})
	}
	return out.Send(&peerpb.ServeChunk{
		End: FromServeResult(result),
	})
}

// Lend lends tokens of a pool to the caller. The tokens are taken from the bucket
// before the reply is sent, and the bucket's cap stays lowered until the loan has
// ended by every instance's clock.
func (s *Server) Lend(_ context.Context, request *peerpb.LendRequest) (*peerpb.LendReply, error) {
	now := s.Clock()
	deadline := time.Unix(0, request.GetDeadline())
	lent, left := s.Board.Bank.Lend(request.GetPool(), request.GetLoan(), request.GetAmount(), deadline.Add(s.ClockBound), now)
	return &peerpb.LendReply{
		Lent: lent,
		Left: left,
	}, nil
}

// CloseLoan marks a loan as spent, or ends it and takes back the unused tokens.
func (s *Server) CloseLoan(_ context.Context, request *peerpb.CloseLoanRequest) (*peerpb.CloseLoanReply, error) {
	if request.GetSpent() {
		s.Board.Bank.MarkLoanSpent(request.GetPool(), request.GetLoan(), s.Clock())
		return &peerpb.CloseLoanReply{}, nil
	}
	s.Board.Bank.CloseLoan(request.GetPool(), request.GetLoan(), request.GetReturned(), s.Clock())
	return &peerpb.CloseLoanReply{}, nil
}

// Exchange returns the directory entries that changed since the caller's last
// exchange, or all of them if this instance restarted since.
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
		ConfigurationFresh: toUnixNano(s.Board.Configuration.FreshAt()),
	}
	for _, entry := range entries {
		reply.Servers = append(reply.Servers, FromEntry(entry))
	}
	return reply, nil
}

// ReadRecords returns the records of a stream that this instance follows, or a
// snapshot if it no longer retains them.
func (s *Server) ReadRecords(_ context.Context, request *peerpb.ReadRecordsRequest) (reply *peerpb.ReadRecordsReply, err error) {
	defer pomelospring.Annotate(&err, "read records")
	follower, known := s.Followers[request.GetStream()]
	if !known {
		return nil, fmt.Errorf("this instance does not follow stream %q", request.GetStream())
	}
	batch, err := follower.Read(request.GetFrom())
	if err != nil {
		return nil, err
	}
	reply = &peerpb.ReadRecordsReply{
		Snapshot: batch.Snapshot,
		Fresh:    toUnixNano(batch.Fresh),
	}
	for _, record := range batch.Records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, encoded)
	}
	return reply, nil
}

// Handover applies the previous owner's count of requests that still run on a
// backend server. It skips adapters whose names are malformed.
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

// ClaimIntent claims an idempotency key in this instance's failure domain.
func (s *Server) ClaimIntent(ctx context.Context, request *peerpb.ClaimIntentRequest) (reply *peerpb.ClaimIntentReply, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	if request.GetDomain() != s.Board.Self.Domain {
		return nil, fmt.Errorf("this instance is in failure domain %s", s.Board.Self.Domain)
	}
	result, err := s.Committer.Claim(ctx, request.GetKey(), request.GetRequest(), request.GetAttempt())
	if err != nil {
		return nil, err
	}
	return &peerpb.ClaimIntentReply{
		State:       string(result.ClaimStatus),
		Status:      int32(result.Answer.Status),
		ContentType: result.Answer.ContentType,
		Body:        result.Answer.Body,
		BodyKept:    result.Answer.BodyKept,
	}, nil
}

// SettleIntent records the outcome of a claimed intent in this instance's failure
// domain.
func (s *Server) SettleIntent(ctx context.Context, request *peerpb.SettleIntentRequest) (reply *peerpb.SettleIntentReply, err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	if request.GetDomain() != s.Board.Self.Domain {
		return nil, fmt.Errorf("this instance is in failure domain %s", s.Board.Self.Domain)
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

// Status returns the configuration offset and the usage rows of this instance.
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

// ToWork converts a request from its protobuf message.
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
		Arrived:  fromUnixNano(request.GetArrived()),
		Deadline: fromUnixNano(request.GetDeadline()),
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

// FromWork converts a request to its protobuf message.
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
		Arrived:   toUnixNano(work.Arrived),
		Deadline:  toUnixNano(work.Deadline),
		Prefix:    work.Prefix,
		Avoid:     work.Avoid,
	}
}

// FromServeResult converts the result of a request to its protobuf message.
func FromServeResult(result ownership.ServeResult) *peerpb.ServeEnd {
	return &peerpb.ServeEnd{
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
		Server:           result.Server,
		Stalled:          int64(result.Stalled),
		Running:          int32(result.Running),
		Waiting:          int32(result.Waiting),
	}
}

// ToServeResult converts the result of a request from its protobuf message.
func ToServeResult(result *peerpb.ServeEnd) ownership.ServeResult {
	return ownership.ServeResult{
		Usage: engine.Usage{
			PromptTokens:     result.GetPromptTokens(),
			CompletionTokens: result.GetCompletionTokens(),
			TotalTokens:      result.GetPromptTokens() + result.GetCompletionTokens(),
		},
		Server:  result.GetServer(),
		Stalled: time.Duration(result.GetStalled()),
		Running: int(result.GetRunning()),
		Waiting: int(result.GetWaiting()),
	}
}
