package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/retry"
)

const (
	// serviceAttempts bounds how often a call is tried.
	serviceAttempts = 3
	// serviceAnswerLimit bounds an answer, in bytes.
	serviceAnswerLimit = 16 << 20
	// answerKept bounds an answer that is kept for repeats, in bytes.
	answerKept = 4 << 10
	// settleTimeout bounds the entry of an outcome.
	settleTimeout = 5 * time.Second
	// failedPause keeps calls away from an application worker that failed.
	failedPause = time.Second
	// headerTeam tells an application worker for which team a call runs.
	headerTeam = "X-Team"
)

// Services calls plain services.
type Services struct {
	Board *blackboard.Blackboard
	// PooledClient reuses connections; it serves calls that may be repeated.
	PooledClient *http.Client
	// SingleUseClient opens a connection for each call. A reused connection may be
	// closed under a request, and http.Transport then sends the request again
	// by itself when it carries an Idempotency-Key.
	SingleUseClient *http.Client
	Scheme          string
	Intents         Intents
	// IntentRetention is how long intents are kept.
	IntentRetention time.Duration
	Retries         *retry.Budget
	Logger          log.Interface
	Clock           pomelospring.Clock

	failed sync.Map
}

// CallIdempotent runs a call that may be repeated.
func (s *Services) CallIdempotent(ctx context.Context, call ServiceCall) (answer ServiceAnswer, err error) {
	s.Retries.RecordAttempt()
	var tried []string
	for attempt := range serviceAttempts {
		server, found := s.pick(call.Route.Service, tried)
		if !found {
			return answer, s.nowhere(call, err)
		}
		tried = append(tried, server.Name)
		s.logRoute(call, server, attempt)
		answer, _, err = s.send(ctx, s.PooledClient, server, call)
		if err == nil {
			s.count(call, server.Name)
			return answer, nil
		}
		s.fail(server.Name)
		if ctx.Err() != nil || !s.Retries.Take() {
			break
		}
	}
	return answer, pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", err)
}

// dispatchOnce gives the call to one application worker. Only a connection
// that was never made lets another one be tried.
func (s *Services) dispatchOnce(ctx context.Context, call ServiceCall) (answer ServiceAnswer, err error) {
	var tried []string
	for attempt := range serviceAttempts {
		server, found := s.pick(call.Route.Service, tried)
		if !found {
			return answer, s.nowhere(call, err)
		}
		tried = append(tried, server.Name)
		s.logRoute(call, server, attempt)
		var connected bool
		answer, connected, err = s.send(ctx, s.SingleUseClient, server, call)
		if err == nil {
			s.count(call, server.Name)
			return answer, nil
		}
		s.fail(server.Name)
		if connected {
			events.Log(s.Logger, events.OutcomeUnknown, log.Fields{
				"request": call.RequestID,
				"server":  server.Name,
				"error":   err.Error(),
			})
			return answer, pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%s may have run the call: %v", server.Name, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return answer, s.nowhere(call, err)
}

func (s *Services) nowhere(call ServiceCall, err error) *pomelospring.Refusal {
	if err == nil {
		err = errors.New("none is known")
	}
	return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, s.Clock().Add(time.Second), "no application worker of service %s can be reached: %v", call.Route.Service, err)
}

// send makes one call; connected says that any part of it may have arrived.
func (s *Services) send(ctx context.Context, client *http.Client, server pomelospring.BackendServer, call ServiceCall) (answer ServiceAnswer, connected bool, err error) {
	defer pomelospring.Annotate(&err, "call %s", server.Name)
	// The transport may still be dialing when the call has failed already.
	var reached atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			reached.Store(true)
		},
	})
	request, err := s.request(ctx, server, call)
	if err != nil {
		return answer, false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, reached.Load(), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, serviceAnswerLimit+1))
	if err != nil {
		return answer, true, err
	}
	if len(body) > serviceAnswerLimit {
		return answer, true, fmt.Errorf("the answer is over %d bytes", serviceAnswerLimit)
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, true, nil
}

// request makes the outgoing call from scratch: none of the caller's headers
// but the content's type and what is accepted go on.
func (s *Services) request(ctx context.Context, server pomelospring.BackendServer, call ServiceCall) (request *http.Request, err error) {
	address := url.URL{
		Scheme:   s.Scheme,
		Host:     server.Address,
		Path:     "/" + strings.TrimPrefix(call.Path, "/"),
		RawQuery: call.Query,
	}
	request, err = http.NewRequestWithContext(ctx, call.Method, address.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(engine.HeaderRequestID, call.RequestID)
	setIfAny(request.Header, "Content-Type", call.ContentType)
	setIfAny(request.Header, "Accept", call.Accept)
	setIfAny(request.Header, headerTeam, call.Team)
	setIfAny(request.Header, headerIdempotencyKey, call.IdempotencyKey)
	return request, nil
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// pick chooses an application worker: own failure domain first, none that
// failed just now unless there is no other.
func (s *Services) pick(service string, tried []string) (server pomelospring.BackendServer, found bool) {
	best := 0
	for _, candidate := range s.Board.Configuration.Get().BackendServers {
		if candidate.Service != service || candidate.Draining || slices.Contains(tried, candidate.Name) {
			continue
		}
		rank := s.rank(candidate)*1000 + rand.IntN(1000)
		if !found || rank > best {
			server, best, found = candidate, rank, true
		}
	}
	return server, found
}

func (s *Services) rank(server pomelospring.BackendServer) int {
	rank := 0
	if server.Domain == s.Board.Self.Domain {
		rank++
	}
	until, failed := s.failed.Load(server.Name)
	if !failed || s.Clock().After(until.(time.Time)) {
		rank += 2
	}
	return rank
}

func (s *Services) fail(server string) {
	s.failed.Store(server, s.Clock().Add(failedPause))
}

func (s *Services) logRoute(call ServiceCall, server pomelospring.BackendServer, attempt int) {
	events.Log(s.Logger, events.ServiceRouted, log.Fields{
		"request": call.RequestID,
		"team":    call.Team,
		"route":   call.Route.Path,
		"server":  server.Name,
		"domain":  server.Domain,
		"attempt": attempt + 1,
	})
}

// intentKey stands for a team's idempotency key on a route.
func intentKey(call ServiceCall) string {
	return hashOf(call.Team, call.Route.Path, call.IdempotencyKey)
}

// requestHash tells apart two requests under one idempotency key.
func requestHash(call ServiceCall) string {
	return hashOf(call.Method, call.Path, call.Query, string(call.Body))
}

func hashOf(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// tooOld tells from a key of UUID version 7, which carries its time, that a
// first attempt may be forgotten already.
func (s *Services) tooOld(key string) bool {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return false
	}
	made := time.Unix(parsed.Time().UnixTime())
	return made.Add(s.IntentRetention).Before(s.Clock())
}
