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
	// maxServiceAttempts bounds the attempts of a call, each on another
	// application worker.
	maxServiceAttempts = 3
	// maxServiceAnswerBytes bounds an answer of an application worker.
	maxServiceAnswerBytes = 16 << 20
	// maxStoredAnswerBytes bounds an answer body that is stored for replay.
	maxStoredAnswerBytes = 4 << 10
	// settleTimeout bounds the recording of an outcome.
	settleTimeout = 5 * time.Second
	// failureCooldown is how long other application workers are preferred to
	// one that failed.
	failureCooldown = time.Second
	// headerTeam names the calling team to an application worker.
	headerTeam = "X-Team"
)

// Services sends calls to the application workers of plain services.
type Services struct {
	Board *blackboard.Blackboard
	// PooledClient reuses connections. It is used for idempotent calls only.
	PooledClient *http.Client
	// SingleUseClient opens a connection for each call. The worker may close a
	// reused connection while a request is sent, and http.Transport then
	// resends the request by itself if it has an Idempotency-Key header.
	SingleUseClient *http.Client
	Scheme          string
	Intents         Intents
	// IntentRetention is how long intents are stored.
	IntentRetention time.Duration
	Retries         *retry.Budget
	Logger          log.Interface
	Clock           pomelospring.Clock

	// failed maps the name of a server that failed to the end of its cooldown.
	failed sync.Map
}

// CallIdempotent runs an idempotent call. It retries on other application
// workers within the retry budget.
func (s *Services) CallIdempotent(ctx context.Context, call ServiceCall) (answer ServiceAnswer, err error) {
	s.Retries.RecordAttempt()
	var tried []string
	for attempt := range maxServiceAttempts {
		server, found := s.pickServer(call.Route.Service, tried)
		if !found {
			return answer, s.noWorkerRefusal(call, err)
		}
		tried = append(tried, server.Name)
		s.logRoute(call, server, attempt)
		answer, _, err = s.send(ctx, s.PooledClient, server, call)
		if err == nil {
			s.countUsage(call, server.Name)
			return answer, nil
		}
		s.startCooldown(server.Name)
		if ctx.Err() != nil || !s.Retries.Take() {
			break
		}
	}
	return answer, pomelospring.NewUnknown(pomelospring.CodeBackendServerError, "%v", err)
}

// dispatchOnce sends the call to one application worker. It tries another one
// only if no connection was established, so that the call can't run twice.
func (s *Services) dispatchOnce(ctx context.Context, call ServiceCall) (answer ServiceAnswer, err error) {
	var tried []string
	for attempt := range maxServiceAttempts {
		server, found := s.pickServer(call.Route.Service, tried)
		if !found {
			return answer, s.noWorkerRefusal(call, err)
		}
		tried = append(tried, server.Name)
		s.logRoute(call, server, attempt)
		var connected bool
		answer, connected, err = s.send(ctx, s.SingleUseClient, server, call)
		if err == nil {
			s.countUsage(call, server.Name)
			return answer, nil
		}
		s.startCooldown(server.Name)
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
	return answer, s.noWorkerRefusal(call, err)
}

// noWorkerRefusal returns the refusal of a call that no application worker
// received. err is the last attempt's error, or nil if there was no attempt.
func (s *Services) noWorkerRefusal(call ServiceCall, err error) *pomelospring.Refusal {
	if err == nil {
		err = errors.New("none is configured, or all are draining")
	}
	return pomelospring.NewRefusal(pomelospring.CodeNoBackendServer, s.Clock().Add(time.Second), "no application worker of service %s is reachable: %v", call.Route.Service, err)
}

// send makes one attempt; connected reports whether any part of the request may
// have reached the application worker.
func (s *Services) send(ctx context.Context, client *http.Client, server pomelospring.BackendServer, call ServiceCall) (answer ServiceAnswer, connected bool, err error) {
	defer pomelospring.Annotate(&err, "call %s", server.Name)
	// Atomic: the transport may still be dialing after the call has failed.
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			gotConnection.Store(true)
		},
	})
	request, err := s.request(ctx, server, call)
	if err != nil {
		return answer, false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, gotConnection.Load(), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return answer, true, err
	}
	if len(body) > maxServiceAnswerBytes {
		return answer, true, fmt.Errorf("the answer exceeds %d bytes", maxServiceAnswerBytes)
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, true, nil
}

// request builds the outgoing request from scratch: of the caller's headers,
// only Content-Type, Accept and Idempotency-Key are forwarded.
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
	setNonEmpty(request.Header, "Content-Type", call.ContentType)
	setNonEmpty(request.Header, "Accept", call.Accept)
	setNonEmpty(request.Header, headerTeam, call.Team)
	setNonEmpty(request.Header, headerIdempotencyKey, call.IdempotencyKey)
	return request, nil
}

// setNonEmpty sets a header unless the value is empty.
func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// pickServer chooses an untried application worker that is not draining: the one
// with the highest rank, at random among equals.
func (s *Services) pickServer(service string, tried []string) (server pomelospring.BackendServer, found bool) {
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

// rank prefers application workers that did not fail recently, then those in
// this instance's failure domain.
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

// startCooldown lowers the rank of an application worker that failed.
func (s *Services) startCooldown(server string) {
	s.failed.Store(server, s.Clock().Add(failureCooldown))
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

// intentKey identifies an idempotency key of a team on a route.
func intentKey(call ServiceCall) string {
	return hashOf(call.Team, call.Route.Path, call.IdempotencyKey)
}

// requestHash distinguishes requests that share an idempotency key.
func requestHash(call ServiceCall) string {
	return hashOf(call.Method, call.Path, call.Query, string(call.Body))
}

// hashOf hashes the parts with their lengths, so that their boundaries count.
func hashOf(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// idempotencyKeyExpired reports whether the intent of an earlier attempt may
// already be discarded. It can tell only for keys of UUID version 7, which
// contain their creation time.
func (s *Services) idempotencyKeyExpired(key string) bool {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return false
	}
	createdAt := time.Unix(parsed.Time().UnixTime())
	return createdAt.Add(s.IntentRetention).Before(s.Clock())
}
