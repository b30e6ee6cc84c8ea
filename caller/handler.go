// Package caller is the HTTP API for callers: the OpenAI-compatible calls,
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
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/serving"
)

// keysPause is when a caller shall come back while keys can't be checked.
const keysPause = 5 * time.Second

// Limits bound what one caller may cost.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// BodyTime bounds how long a body may take to arrive.
	BodyTime time.Duration
	// WriteTime bounds how long a caller may take to read one piece.
	WriteTime time.Duration
	// StartTime bounds how long a request waits for a model worker.
	StartTime time.Duration
	// TotalTime bounds a whole request.
	TotalTime time.Duration
	// MaxTokens is generated at most where the request does not say.
	MaxTokens int64
	// BytesPerToken turns prompt bytes into a bound on prompt tokens.
	BytesPerToken float64
	// KeysTrusted is how long keys are accepted after the last word on the
	// configuration.
	KeysTrusted time.Duration
}

// Handler serves callers.
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

// Counters count what callers get.
type Counters interface {
	// Served counts a request and the time to its first piece.
	Served(team string, first time.Duration)
	// Refused counts a refusal.
	Refused(team string, code pomelospring.Code)
}

// Router gives the routes of the API.
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
	router.MethodNotAllowedHandler = http.HandlerFunc(h.handleMethod)
	return router
}

func (h *Handler) handleNotFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, identity{}, pomelospring.NewRefusal(pomelospring.CodeNotFound, time.Time{}, "there is nothing at %s", r.URL.Path))
}

func (h *Handler) handleMethod(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, identity{}, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "%s is not allowed at %s", r.Method, r.URL.Path))
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

// identity is who sent a request and under which ID it runs.
type identity struct {
	requestID string
	secret    string
	key       pomelospring.Key
	team      pomelospring.Team
}

// begin checks whether the daemon may take the request at all, and the key.
func (h *Handler) begin(r *http.Request, state *configuration.State, open bool) (who identity, refusal *pomelospring.Refusal) {
	who.requestID = uuid.NewString()
	who.secret = secretOf(r)
	now := h.Clock()
	if h.Board.RefusesRequests() {
		return who, pomelospring.NewRefusal(pomelospring.CodeStopping, now.Add(time.Second), "this instance is stopping; another one will answer")
	}
	if open {
		return who, nil
	}
	if now.After(h.Board.Configuration.FreshAt().Add(h.Limits.KeysTrusted)) {
		return who, pomelospring.NewRefusal(pomelospring.CodeKeysUnverifiable, now.Add(keysPause), "this instance can't check keys: it has had no word of the configuration for too long")
	}
	who.key, who.team, refusal = admission.Identify(state, who.secret)
	return who, refusal
}

func secretOf(r *http.Request) string {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// enter makes the request known as running, so that a withdrawn key ends it.
func (h *Handler) enter(ctx context.Context, who identity) (entered context.Context, leave func()) {
	ctx, stop := context.WithTimeout(ctx, h.Limits.TotalTime)
	ctx, cancel := context.WithCancelCause(ctx)
	h.Board.Running.Add(who.requestID, who.key.ID, cancel)
	if who.key.ID != "" && !admission.KeyValid(h.Board.Configuration.Get(), who.key.ID) {
		cancel(errKeyWithdrawn)
	}
	return ctx, func() {
		h.Board.Running.Remove(who.requestID)
		cancel(nil)
		stop()
	}
}

// errKeyWithdrawn ends the requests of a withdrawn key.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// ErrKeyWithdrawn is the cause with which a withdrawn key ends requests.
func ErrKeyWithdrawn() error { return errKeyWithdrawn }

// ended tells why a request ended before its answer, if it was ended.
func ended(ctx context.Context, err error) *pomelospring.Refusal {
	refusal := pomelospring.AsRefusal(err)
	if ctx.Err() == nil {
		return refusal
	}
	code, message := pomelospring.CodeCallerGone, "the caller is gone"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		code, message = pomelospring.CodeKeyWithdrawn, "the key was withdrawn"
	case errors.Is(cause, context.DeadlineExceeded):
		code, message = pomelospring.CodeTimeout, "the request took too long"
	}
	return &pomelospring.Refusal{
		Code:    code,
		Outcome: refusal.Outcome,
		Message: message,
	}
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, who identity, refusal *pomelospring.Refusal) {
	h.logRefusal(who, refusal)
	if r.ProtoMajor == 1 && refusal.Code == pomelospring.CodeBodyTooLarge {
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, who.requestID, refusal, h.Clock())
}

func (h *Handler) logRefusal(who identity, refusal *pomelospring.Refusal) {
	h.Counters.Refused(who.team.Name, refusal.Code)
	fields := log.Fields{
		"request": who.requestID,
		"team":    who.team.Name,
		"code":    string(refusal.Code),
		"outcome": string(refusal.Outcome),
		"reason":  refusal.Message,
	}
	if !refusal.RetryAt.IsZero() {
		fields["retryAt"] = refusal.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	events.Log(h.Logger, events.RequestRefused, fields)
	if who.team.Name == "" {
		return
	}
	h.Board.Usage.Add(blackboard.UsageRow{
		Team:    who.team.Name,
		Refused: 1,
	}, h.Clock())
}
