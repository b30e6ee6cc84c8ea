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

// headerIdempotencyKey identifies retries of one request.
const headerIdempotencyKey = "Idempotency-Key"

// headerReplayed marks a stored answer to an earlier attempt.
const headerReplayed = "Idempotent-Replayed"

// handleService serves a call to a plain service.
func (h *Handler) handleService(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	route, known := state.Routes[mux.Vars(r)["route"]]
	if !known {
		h.handleNotFound(w, r)
		return
	}
	identity, refusal := h.authenticate(r, state, route.Open)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	if containsSecret(identity.secret, body, []byte(r.URL.String()), []byte(r.Header.Get(headerIdempotencyKey))) {
		h.refuse(w, r, identity, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the request contains the caller's key, which must not reach an application worker"))
		return
	}
	ctx, release := h.trackRequest(r.Context(), identity)
	defer release()
	call := ServiceCall{
		RequestID:      identity.requestID,
		Team:           identity.team.Name,
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
		h.refuse(w, r, identity, cancellationRefusal(ctx, err))
		return
	}
	h.Counters.Served(identity.team.Name, 0)
	writeAnswer(w, identity.requestID, answer)
}

// callService runs a call. A call on a route that is not idempotent continues
// when its caller disconnects, so that its outcome can be recorded.
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
		defer detached.release()
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
		return answer, pomelospring.NewUnknown(pomelospring.CodeCallerGone, "the caller closed the connection")
	}
}

// detachedCall is the context of a call that runs independently of its caller.
type detachedCall struct {
	ctx     context.Context
	release func()
}

// detach returns a context that the caller's disconnect does not cancel, and
// registers the call as running, so that a planned stop waits for it.
func (h *Handler) detach(requestID string) detachedCall {
	ctx, cancel := context.WithTimeout(context.Background(), h.Limits.TotalTime)
	id := requestID + "/detached"
	h.Board.Running.Add(id, "", func(error) { cancel() })
	return detachedCall{
		ctx: ctx,
		release: func() {
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

// ServiceCall is one call to a plain service.
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

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed marks a stored answer to an earlier attempt.
	Replayed bool
}

// Intents records intents in the log of their home failure domain.
type Intents interface {
	// Claim claims an idempotency key for an attempt. It returns the status of
	// the claim and, for a completed request, the stored answer.
	Claim(ctx context.Context, key, request, attempt string) (status commit.ClaimStatus, answer intent.Answer, err error)
	// Settle records the outcome of an attempt.
	Settle(ctx context.Context, outcome intent.Outcome) (err error)
}

// CallOnce runs a call that is not idempotent: at most one application worker
// ever receives any part of it. If the call has an idempotency key, it is
// claimed in the intent log first, and a retry gets the outcome of the earlier
// attempt. reply is called once, as soon as the answer is known; the outcome is
// recorded after that.
func (s *Services) CallOnce(ctx context.Context, call ServiceCall, reply func(answer ServiceAnswer, err error)) {
	if call.IdempotencyKey == "" {
		reply(s.dispatchOnce(ctx, call))
		return
	}
	if s.idempotencyKeyExpired(call.IdempotencyKey) {
		reply(ServiceAnswer{}, pomelospring.NewRefusal(pomelospring.CodeIntentExpired, time.Time{}, "the idempotency key is older than the retention of intents"))
		return
	}
	key := intentKey(call)
	status, stored, err := s.Intents.Claim(ctx, key, requestHash(call), call.RequestID)
	if err != nil {
		reply(ServiceAnswer{}, pomelospring.NewRefusal(pomelospring.CodeIntentsUnavailable, s.Clock().Add(2*time.Second), "the idempotency key can't be recorded now: %v", err))
		s.settle(key, call.RequestID, intent.NotRun, ServiceAnswer{})
		return
	}
	if status != commit.Won {
		reply(s.replay(status, stored))
		return
	}
	answer, err := s.dispatchOnce(ctx, call)
	reply(answer, err)
	s.settle(key, call.RequestID, intentStatus(err), answer)
}

// intentStatus converts the error of a call to the status to record for its
// intent.
func intentStatus(err error) intent.Status {
	var refusal *pomelospring.Refusal
	switch {
	case err == nil:
		return intent.Done
	case errors.As(err, &refusal) && refusal.Outcome == pomelospring.NotRun:
		return intent.NotRun
	}
	return intent.Unknown
}

// replay answers a retry from the claim status of the earlier attempt.
func (s *Services) replay(status commit.ClaimStatus, stored intent.Answer) (answer ServiceAnswer, err error) {
	switch status {
	case commit.Done:
		if !stored.BodyKept {
			stored.Body = nil
		}
		return ServiceAnswer{
			Status:      stored.Status,
			ContentType: stored.ContentType,
			Body:        stored.Body,
			Replayed:    true,
		}, nil
	case commit.Mismatch:
		return answer, pomelospring.NewRefusal(pomelospring.CodeIntentMismatch, time.Time{}, "the idempotency key was used for a different request")
	case commit.Open:
		refusal := pomelospring.NewUnknown(pomelospring.CodeIntentOpen, "another attempt with this idempotency key may be running")
		refusal.RetryAt = s.Clock().Add(time.Second)
		return answer, refusal
	default:
	}
	return answer, pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "an earlier attempt with this idempotency key may have run; its outcome is unknown")
}

// settle records an outcome. If that fails, the intent stays open, and retries
// are refused with intentOpen.
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
	if len(answer.Body) <= maxStoredAnswerBytes {
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

// countUsage adds a served call to the team's usage; open routes have no team.
func (s *Services) countUsage(call ServiceCall, server string) {
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
