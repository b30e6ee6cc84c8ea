// Package caller serves the HTTP API for callers: the OpenAI-compatible calls,
// plain services, health and metrics.
package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/connection"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/serving"
)

// keyCheckRetryDelay is the retry delay sent to callers while this instance
// can't check keys.
const keyCheckRetryDelay = 5 * time.Second

// Limits bounds the resources that one request may use.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// BodyTime is the maximum time for reading a request body.
	BodyTime time.Duration
	// WriteTime is the maximum time for writing one chunk of an answer.
	WriteTime time.Duration
	// StartTime is the maximum time that a request waits for a model worker.
	StartTime time.Duration
	// TotalTime is the maximum duration of a request.
	TotalTime time.Duration
	// MaxTokens is the default limit on generated tokens for requests that
	// set none.
	MaxTokens int64
	// BytesPerToken converts prompt bytes to an upper bound on prompt tokens.
	BytesPerToken float64
	// KeysTrusted is how long keys are accepted after the configuration was
	// last confirmed fresh.
	KeysTrusted time.Duration
}

// Handler serves the HTTP API for callers.
type Handler struct {
	Board    *blackboard.Blackboard
	Charger  *admission.Charger
	Serving  *serving.Server
	Services *Services
	Metrics  http.Handler
	Counters Counters
	Limits   Limits
	Logger   log.Interface
	Clock    pomelospring.Clock
}

// Counters counts served and refused requests.
type Counters interface {
	// Served counts a served request and its time to first chunk.
	Served(team string, timeToFirstChunk time.Duration)
	// Refused counts a refused request by its code.
	Refused(team string, code pomelospring.Code)
}

// Router returns the routes of the API.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(engine.PathChat, h.handleModel).Methods(http.MethodPost)
	router.HandleFunc(engine.PathCompletion, h.handleModel).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", h.handleModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/models/{model}", h.handleModelByName).Methods(http.MethodGet)
	router.PathPrefix("/services/{route}").HandlerFunc(h.handleService)
	router.HandleFunc("/healthz", h.handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", h.handleReady).Methods(http.MethodGet)
	router.Handle("/metrics", h.Metrics).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(h.handleNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(h.handleMethodNotAllowed)
	return router
}

func (h *Handler) handleNotFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, requestIdentity{}, pomelospring.NewRefusal(pomelospring.CodeNotFound, time.Time{}, "path %s does not exist", r.URL.Path))
}

func (h *Handler) handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, requestIdentity{}, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "method %s is not allowed for path %s", r.Method, r.URL.Path))
}

func (h *Handler) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{
		"status": "alive",
	})
}

func (h *Handler) handleReady(w http.ResponseWriter, _ *http.Request) {
	if h.Board.Leaving() || !h.Board.Configuration.Get().Started {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{
			"status": "notReady",
		})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{
		"status": "ready",
	})
}

// requestIdentity holds a request's ID and the key and team of its caller.
type requestIdentity struct {
	requestID string
	secret    string
	key       pomelospring.Key
	team      pomelospring.Team
}

// authenticate assigns a request ID and checks the caller's key. It refuses the
// request if this instance is stopping, or if its configuration is too stale to
// check keys. Open routes need no key.
func (h *Handler) authenticate(r *http.Request, state *configuration.State, open bool) (identity requestIdentity, refusal *pomelospring.Refusal) {
	identity.requestID = uuid.NewString()
	identity.secret = bearerSecret(r)
	now := h.Clock()
	if h.Board.RefusesRequests() {
		return identity, pomelospring.NewRefusal(pomelospring.CodeStopping, now.Add(time.Second), "this instance is stopping; retry on another instance")
	}
	if open {
		return identity, nil
	}
	if now.After(h.Board.Configuration.FreshAt().Add(h.Limits.KeysTrusted)) {
		return identity, pomelospring.NewRefusal(pomelospring.CodeKeysUnverifiable, now.Add(keyCheckRetryDelay), "this instance can't check keys: its configuration is too stale")
	}
	identity.key, identity.team, refusal = admission.Identify(state, identity.secret)
	return identity, refusal
}

// bearerSecret returns the key in the Authorization header, or an empty string.
func bearerSecret(r *http.Request) string {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// trackRequest bounds the request by Limits.TotalTime and registers it as
// running, so that it is canceled when its key is withdrawn. The key is checked
// again after the registration, as it may have been withdrawn in between. release
// must be called when the request ends.
func (h *Handler) trackRequest(ctx context.Context, identity requestIdentity) (tracked context.Context, release func()) {
	ctx, leave := connection.WithClose(ctx)
	ctx, stop := context.WithTimeout(ctx, h.Limits.TotalTime)
	ctx, cancel := context.WithCancelCause(ctx)
	h.Board.Running.Add(identity.requestID, identity.key.ID, cancel)
	if identity.key.ID != "" && !admission.KeyValid(h.Board.Configuration.Get(), identity.key.ID) {
		cancel(errKeyWithdrawn)
	}
	// A caller that left before its request was read ends the request at once.
	_ = connection.Check(ctx)
	return ctx, func() {
		h.Board.Running.Remove(identity.requestID)
		cancel(nil)
		stop()
		leave()
	}
}

// errKeyWithdrawn is the cancellation cause for requests of a withdrawn key.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// ErrKeyWithdrawn returns the cancellation cause for requests of a withdrawn
// key.
func ErrKeyWithdrawn() error { return errKeyWithdrawn }

// cancellationRefusal converts err to a refusal. If ctx was canceled, its code
// and message give the cause of the cancellation instead of err.
func cancellationRefusal(ctx context.Context, err error) *pomelospring.Refusal {
	refusal := pomelospring.AsRefusal(err)
	if ctx.Err() == nil {
		return refusal
	}
	code, message := pomelospring.CodeCallerGone, "the caller closed the connection"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		code, message = pomelospring.CodeKeyWithdrawn, "the key was withdrawn"
	case errors.Is(cause, context.DeadlineExceeded):
		code, message = pomelospring.CodeTimeout, "the request exceeded its time limit"
	}
	return &pomelospring.Refusal{
		Code:    code,
		Outcome: refusal.Outcome,
		Message: message,
	}
}

// refuse logs a refusal and writes it as the response.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, identity requestIdentity, refusal *pomelospring.Refusal) {
	h.logRefusal(identity, refusal)
	if r.ProtoMajor == 1 && refusal.Code == pomelospring.CodeBodyTooLarge {
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, identity.requestID, refusal, h.Clock())
}

// logRefusal logs a refusal and counts it in the metrics and the team's usage.
func (h *Handler) logRefusal(identity requestIdentity, refusal *pomelospring.Refusal) {
	h.Counters.Refused(identity.team.Name, refusal.Code)
	fields := log.Fields{
		"request": identity.requestID,
		"team":    identity.team.Name,
		"code":    string(refusal.Code),
		"outcome": string(refusal.Outcome),
		"reason":  refusal.Message,
	}
	if !refusal.RetryAt.IsZero() {
		fields["retryAt"] = refusal.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	events.Log(h.Logger, events.RequestRefused, fields)
	if identity.team.Name == "" {
		return
	}
	h.Board.Usage.Add(blackboard.UsageRow{
		Team:    identity.team.Name,
		Refused: 1,
	}, h.Clock())
}
