package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/commit"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/intent"
)

// headerIdempotencyKey names the request that a caller may repeat.
const headerIdempotencyKey = "Idempotency-Key"

// headerReplayed marks an answer that an earlier attempt got.
const headerReplayed = "Idempotent-Replayed"

// handleService takes a call to a plain service.
func (h *Handler) handleService(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	route, known := state.Routes[mux.Vars(r)["route"]]
	if !known {
		h.handleNotFound(w, r)
		return
	}
	who, refusal := h.begin(r, state, route.Open)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	if carries(who.secret, body, []byte(r.URL.String()), []byte(r.Header.Get(headerIdempotencyKey))) {
		h.refuse(w, r, who, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the request contains the caller's key, which no application worker may see"))
		return
	}
	ctx, leave := h.enter(r.Context(), who)
	defer leave()
	call := ServiceCall{
		RequestID:      who.requestID,
		Team:           who.team.Name,
		Route:          route,
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.Path, "/services/"+route.Path),
		Query:          r.URL.RawQuery,
		ContentType:    r.Header.Get("Content-Type"),
		Accept:         r.Header.Get("Accept"),
		Body:           body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	answer, err := h.callService(ctx, call)
	if err != nil {
		h.refuse(w, r, who, ended(ctx, err))
		return
	}
	h.Counters.Served(who.team.Name, 0)
	writeAnswer(w, who.requestID, answer)
}

// callService runs a call. One that may not be repeated is not cut short when
// its caller goes away, so that what became of it can be entered.
func (h *Handler) callService(ctx context.Context, call ServiceCall) (answer ServiceAnswer, err error) {
	if call.Route.Idempotent {
		return h.Services.CallIdempotent(ctx, call)
	}
	type result struct {
		answer ServiceAnswer
		err    error
	}
	done := make(chan result, 1)
	detached := h.detach(call.RequestID)
	go func() {
		defer detached.leave()
		h.Services.CallOnce(detached.ctx, call, func(answer ServiceAnswer, err error) {
			done <- result{
				answer: answer,
				err:    err,
			}
		})
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return answer, pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the caller is gone")
	}
}

type detachedCall struct {
	ctx   context.Context
	leave func()
}

// detach keeps a call running, and a planned stop waiting for it, without its
// caller.
func (h *Handler) detach(requestID string) detachedCall {
	ctx, cancel := context.WithTimeout(context.Background(), h.Limits.TotalTime)
	id := requestID + "/detached"
	h.Board.Running.Add(id, "", func(error) { cancel() })
	return detachedCall{
		ctx: ctx,
		leave: func() {
			h.Board.Running.Remove(id)
			cancel()
		},
	}
}

func writeAnswer(w http.ResponseWriter, requestID string, answer ServiceAnswer) {
	w.Header().Set(headerRequestID, requestID)
	if answer.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID      string
	Team           string
	Route          pomelospring.Route
	Method         string
	Path           string
	Query          string
	ContentType    string
	Accept         string
	Body           []byte
	IdempotencyKey string
}

// ServiceAnswer is what a plain service answered.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed says that an earlier attempt got the answer.
	Replayed bool
}

// Intents enters intents in the log of their home failure domain.
type Intents interface {
	// Claim reports what an attempt met.
	Claim(ctx context.Context, key, request, attempt string) (standing commit.ClaimStatus, answer intent.Answer, err error)
	// Settle enters what became of an attempt.
	Settle(ctx context.Context, outcome intent.Outcome) (err error)
}

// CallOnce runs a call that may not be repeated: at most one application worker
// is ever given any part of it. reply is called once, as soon as the answer is
// known; what became of the call is entered after that.
func (s *Services) CallOnce(ctx context.Context, call ServiceCall, reply func(answer ServiceAnswer, err error)) {
	if call.IdempotencyKey == "" {
		reply(s.dispatchOnce(ctx, call))
		return
	}
	if s.tooOld(call.IdempotencyKey) {
		reply(ServiceAnswer{}, pomelospring.NewRefusal(pomelospring.CodeIntentExpired, time.Time{}, "the idempotency key is older than intents are kept"))
		return
	}
	key := intentKey(call)
	standing, held, err := s.Intents.Claim(ctx, key, requestHash(call), call.RequestID)
	if err != nil {
		reply(ServiceAnswer{}, pomelospring.NewRefusal(pomelospring.CodeIntentsUnavailable, s.Clock().Add(2*time.Second), "the idempotency key can't be entered now: %v", err))
		s.settle(key, call.RequestID, intent.NotRun, ServiceAnswer{})
		return
	}
	if standing != commit.Won {
		reply(s.repeated(standing, held))
		return
	}
	answer, err := s.dispatchOnce(ctx, call)
	reply(answer, err)
	s.settle(key, call.RequestID, outcomeOf(err), answer)
}

func outcomeOf(err error) intent.Status {
	var refusal *pomelospring.Refusal
	switch {
	case err == nil:
		return intent.Done
	case errors.As(err, &refusal) && refusal.Outcome == pomelospring.NotRun:
		return intent.NotRun
	}
	return intent.Unknown
}

// repeated answers a repeat from what the first attempt came to.
func (s *Services) repeated(standing commit.ClaimStatus, held intent.Answer) (answer ServiceAnswer, err error) {
	switch standing {
	case commit.Done:
		if !held.BodyKept {
			held.Body = nil
		}
		return ServiceAnswer{
			Status:      held.Status,
			ContentType: held.ContentType,
			Body:        held.Body,
			Replayed:    true,
		}, nil
	case commit.Mismatch:
		return answer, pomelospring.NewRefusal(pomelospring.CodeIntentMismatch, time.Time{}, "the idempotency key stands for another request")
	case commit.Open:
		refusal := pomelospring.NewUnknown(pomelospring.CodeIntentOpen, "another attempt with this idempotency key may be running")
		refusal.RetryAt = s.Clock().Add(time.Second)
		return answer, refusal
	default:
	}
	return answer, pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "an earlier attempt with this idempotency key may have run; its outcome is unknown")
}

// settle enters an outcome; where that fails, repeats are told "open".
func (s *Services) settle(key, attempt string, status intent.Status, answer ServiceAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	outcome := intent.Outcome{
		Key:     key,
		Attempt: attempt,
		Status:  status,
		Answer: intent.Answer{
			Status:      answer.Status,
			ContentType: answer.ContentType,
		},
	}
	if len(answer.Body) <= answerKept {
		outcome.Answer.Body = answer.Body
		outcome.Answer.BodyKept = true
	}
	if err := s.Intents.Settle(ctx, outcome); err != nil {
		events.Log(s.Logger, events.IntentUnsettled, log.Fields{
			"request": attempt,
			"status":  string(status),
			"error":   err.Error(),
		})
	}
}

func (s *Services) count(call ServiceCall, server string) {
	if call.Team == "" {
		return
	}
	s.Board.Usage.Add(blackboard.UsageRow{
		Team:     call.Team,
		Adapter:  "service/" + call.Route.Path,
		Server:   server,
		Requests: 1,
	}, s.Clock())
}
