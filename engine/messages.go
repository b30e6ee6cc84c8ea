// Package engine speaks to model workers through the OpenAI-compatible API
// with the adapter orders in the form that vLLM publishes, and to application
// workers over plain HTTP.
package engine

import "encoding/json"

// Paths of a model worker's API.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
	PathLoad       = "/v1/load_lora_adapter"
	PathUnload     = "/v1/unload_lora_adapter"
	PathReport     = "/load"
)

// Headers of a model worker's API.
const (
	// HeaderFence carries the fencing number of an order.
	HeaderFence = "X-Fencing-Number"
	// HeaderRequestID carries the request's identity; answers repeat it.
	HeaderRequestID = "X-Request-Id"
)

// LoadOrder asks a model worker to load an adapter.
type LoadOrder struct {
	// Name is the form adapter@version that requests then name as model.
	Name string `json:"lora_name"`
	// Path is adapter/version in the weight store.
	Path string `json:"lora_path"`
}

// UnloadOrder asks a model worker to drop an adapter.
type UnloadOrder struct {
	Name string `json:"lora_name"`
}

// Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is text or a list of parts; only its length matters here.
	Content json.RawMessage `json:"content"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Answer is what the system reads of an answer or of one event of a stream.
type Answer struct {
	ID      string            `json:"id"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *Usage            `json:"usage"`
}
