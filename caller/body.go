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
	// prefixBytes is how much of a prompt names its cached beginning.
	prefixBytes = 512
	// tokensPerMessage covers the tokens that frame each message of a chat.
	tokensPerMessage = 8
	// priorityLimit bounds the priorities that callers may give.
	priorityLimit = 100
)

// modelCall is what the system reads of a caller's request to a model.
type modelCall struct {
	Model               string           `json:"model"`
	Messages            []engine.Message `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	MaxTokens           *int64           `json:"max_tokens"`
	MaxCompletionTokens *int64           `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	// Priority follows the engines: lower goes first.
	Priority int    `json:"priority"`
	Choices  *int64 `json:"n"`
	BestOf   *int64 `json:"best_of"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// readBody reads a body within the limits on size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, refusal *pomelospring.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(h.Clock().Add(h.Limits.BodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.BodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, pomelospring.NewRefusal(pomelospring.CodeBodyTooLarge, time.Time{}, "the body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the body could not be read: %v", err)
	}
	return body, nil
}

// parseModelCall reads and checks a request to a model.
func parseModelCall(path string, body []byte) (call modelCall, refusal *pomelospring.Refusal) {
	bad := func(format string, args ...any) (modelCall, *pomelospring.Refusal) {
		return call, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, format, args...)
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return bad("the body is not the JSON of a request: %v", err)
	}
	if call.Model == "" {
		return bad("model is missing")
	}
	if path == engine.PathChat && len(call.Messages) == 0 {
		return bad("messages is missing or empty")
	}
	if path == engine.PathCompletion && len(call.Prompt) == 0 {
		return bad("prompt is missing")
	}
	for i, message := range call.Messages {
		if message.Role == "" {
			return bad("messages[%d].role is missing", i)
		}
	}
	if call.maxTokens(1) < 1 || call.maxTokens(1) > math.MaxInt32 {
		return bad("max_tokens must be from 1 to %d", math.MaxInt32)
	}
	if n := valueOr(call.Choices, 1); n != 1 {
		return bad("n is %d; only 1 is served", n)
	}
	if n := valueOr(call.BestOf, 1); n != 1 {
		return bad("best_of is %d; only 1 is served", n)
	}
	if call.Priority < -priorityLimit || call.Priority > priorityLimit {
		return bad("priority must be from %d to %d", -priorityLimit, priorityLimit)
	}
	return call, nil
}

func valueOr(value *int64, fallback int64) int64 {
	if value == nil {
		return fallback
	}
	return *value
}

// maxTokens is what the request may generate at most.
func (c modelCall) maxTokens(fallback int64) int64 {
	return valueOr(c.MaxCompletionTokens, valueOr(c.MaxTokens, fallback))
}

// cost bounds what the request can use, in tokens.
func (c modelCall) cost(limits Limits) float64 {
	size := float64(len(c.Prompt))
	for _, message := range c.Messages {
		size += float64(len(message.Content)) + tokensPerMessage*limits.BytesPerToken
	}
	return math.Ceil(size/limits.BytesPerToken) + float64(c.maxTokens(limits.MaxTokens))
}

// prefix hashes the beginning of the prompt.
func (c modelCall) prefix() uint64 {
	text := append([]byte{}, c.Prompt...)
	for _, message := range c.Messages {
		if len(text) >= prefixBytes {
			break
		}
		text = append(text, message.Content...)
	}
	return xxhash.Sum64(text[:min(len(text), prefixBytes)])
}

// outgoing is the body for the model worker: the caller's fields, with the
// most tokens stated and the usage asked for.
func (c modelCall) outgoing(body []byte, limits Limits) (out []byte, err error) {
	defer pomelospring.Annotate(&err, "make the model worker's body")
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

// carries says whether a caller's secret stands in what would be sent on.
func carries(secret string, parts ...[]byte) bool {
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
