// Package engine calls model workers through the OpenAI-compatible API, with
// vLLM's endpoints for loading and unloading adapters.
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
	// HeaderRequestID carries the ID of a request; answers repeat it. Requests to
	// application workers carry it too.
	HeaderRequestID = "X-Request-Id"
)

// LoadOrder orders a model worker to load an adapter.
type LoadOrder struct {
	// Name is adapter@version, which requests use as the model's name.
	Name string `json:"lora_name"`
	// Path is the adapter's path in the weight store, adapter/version.
	Path string `json:"lora_path"`
}

// UnloadOrder orders a model worker to unload an adapter.
type UnloadOrder struct {
	// Name is adapter@version.
	Name string `json:"lora_name"`
}

// Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is text or a list of parts; only its length is used.
	Content json.RawMessage `json:"content"`
}

// Usage is the number of tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Answer has the decoded fields of a full answer or of one event of a stream.
type Answer struct {
	ID      string            `json:"id"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *Usage            `json:"usage"`
}
