package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/engine"
)

const (
	// maxPrefixBytes is how much of the start of a prompt is hashed, to find a
	// model worker that has it in its prefix cache.
	maxPrefixBytes = 512
	// messageOverheadTokens covers the tokens that the chat template adds to
	// each message.
	messageOverheadTokens = 8
	// maxPriority bounds the absolute value of a caller's priority.
	maxPriority = 100
)

// modelCall has the fields of a model request that are read here; all others
// are forwarded unread.
type modelCall struct {
	Model               string           `json:"model"`
	Messages            []engine.Message `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	MaxTokens           *int64           `json:"max_tokens"`
	MaxCompletionTokens *int64           `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	// Priority has the order that engines use: lower runs first.
	Priority int    `json:"priority"`
	Choices  *int64 `json:"n"`
	BestOf   *int64 `json:"best_of"`
}

// streamOptions is the stream_options field of a model request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// readBody reads a request body within the limits on size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, refusal *pomelospring.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(h.Clock().Add(h.Limits.BodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.BodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, pomelospring.NewRefusal(pomelospring.CodeBodyTooLarge, time.Time{}, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "reading the body failed: %v", err)
	}
	return body, nil
}

// parseModelCall parses and validates the body of a model request.
func parseModelCall(path string, body []byte) (call modelCall, refusal *pomelospring.Refusal) {
	badRequest := func(format string, args ...any) (modelCall, *pomelospring.Refusal) {
		return call, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, format, args...)
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return badRequest("the body is not a valid JSON request: %v", err)
	}
	if call.Model == "" {
		return badRequest("model is missing")
	}
	if path == engine.PathChat && len(call.Messages) == 0 {
		return badRequest("messages is missing or empty")
	}
	if path == engine.PathCompletion && len(call.Prompt) == 0 {
		return badRequest("prompt is missing")
	}
	for i, message := range call.Messages {
		if message.Role == "" {
			return badRequest("messages[%d].role is missing", i)
		}
	}
	if call.maxTokens(1) < 1 || call.maxTokens(1) > math.MaxInt32 {
		return badRequest("max_tokens must be between 1 and %d", math.MaxInt32)
	}
	if n := valueOr(call.Choices, 1); n != 1 {
		return badRequest("n is %d; only 1 is supported", n)
	}
	if n := valueOr(call.BestOf, 1); n != 1 {
		return badRequest("best_of is %d; only 1 is supported", n)
	}
	if call.Priority < -maxPriority || call.Priority > maxPriority {
		return badRequest("priority must be between %d and %d", -maxPriority, maxPriority)
	}
	return call, nil
}

func valueOr(value *int64, fallback int64) int64 {
	if value == nil {
		return fallback
	}
	return *value
}

// maxTokens returns the request's limit on generated tokens, or fallback if it
// sets none.
func (c modelCall) maxTokens(fallback int64) int64 {
	return valueOr(c.MaxCompletionTokens, valueOr(c.MaxTokens, fallback))
}

// cost returns an upper bound on the request's prompt and generated tokens.
func (c modelCall) cost(limits Limits) float64 {
	size := float64(len(c.Prompt))
	for _, message := range c.Messages {
		size += float64(len(message.Content)) + messageOverheadTokens*limits.BytesPerToken
	}
	return math.Ceil(size/limits.BytesPerToken) + float64(c.maxTokens(limits.MaxTokens))
}

// prefixHash hashes the first maxPrefixBytes of the prompt or messages.
func (c modelCall) prefixHash() uint64 {
	text := append([]byte{}, c.Prompt...)
	for _, message := range c.Messages {
		if len(text) >= maxPrefixBytes {
			break
		}
		text = append(text, message.Content...)
	}
	return xxhash.Sum64(text[:min(len(text), maxPrefixBytes)])
}

// buildWorkerBody returns the body for the model worker: the caller's fields
// with an explicit max_tokens, and for streams a request for the usage.
func (c modelCall) buildWorkerBody(body []byte, limits Limits) (workerBody []byte, err error) {
	defer pomelospring.Annotate(&err, "build the model worker's request body")
	fields := map[string]json.RawMessage{}
	if err = json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	tokens, err := json.Marshal(c.maxTokens(limits.MaxTokens))
	if err != nil {
		return nil, err
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = tokens
	delete(fields, "stream_options")
	if c.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

// containsSecret reports whether any part contains the caller's secret, which
// must not be forwarded to a backend server.
func containsSecret(secret string, parts ...[]byte) bool {
	if secret == "" {
		return false
	}
	for _, part := range parts {
		if bytes.Contains(part, []byte(secret)) {
			return true
		}
	}
	return false
}
