// Package engine is a client for model engines. It uses the chat-completions
// protocol, with server-sent events for streams, and the engine's own endpoints
// for load reports, orders, cancellation and cache events.
package engine

import (
	"encoding/json"

	"woaddoor/contract"
)

// URL paths of an engine.
const (
	PathChat        = "/v1/chat/completions"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/load"
	PathOrders      = "/orders"
	PathCacheEvents = "/cache-events"
)

// HTTP headers of a call.
const (
	// HeaderRequestID carries the request id. The engine echoes the request id,
	// so that a response to another request is detected.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotAfter carries the time, in RFC 3339 format, until which the engine may start the
	// request. Not every engine checks this header.
	HeaderNotAfter = "X-Not-After"
	// HeaderLastEventID resumes a stream after the event with the given id, as
	// defined for server-sent events.
	HeaderLastEventID = "Last-Event-ID"
)

// StreamEndMarker is the data of the event that marks the end of a complete stream.
const StreamEndMarker = "[DONE]"

// ChatRequest holds the fields of a chat request that the router reads. All other fields
// are forwarded unchanged.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens is the maximum length of the response. Zero means the engine's default.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Priority orders the engine's queue. Lower values are processed first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage makes the engine continue the last message, which must be
	// an assistant message, instead of responding to it.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// Message is one message of a chat. Content is a JSON string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Usage holds the token counts of a request.
type Usage struct {
	Prompt     contract.Tokens `json:"prompt_tokens"`
	Completion contract.Tokens `json:"completion_tokens"`
	Total      contract.Tokens `json:"total_tokens"`
}

// ChatCompletion is the response to a chat request that is not streamed.
type ChatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one of the alternative responses in a ChatCompletion.
type Choice struct {
	Index        int             `json:"index"`
	Message      ResponseMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// ResponseMessage is the text of a response, or one piece of it in a stream.
type ResponseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Chunk is one piece of a streamed response.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the piece of one choice in a Chunk.
type ChunkChoice struct {
	Index        int             `json:"index"`
	Delta        ResponseMessage `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order asks an engine to load or unload a model version.
// Late and repeated orders do not affect routing, since routing relies only on the load reports of
// engines.
type Order struct {
	Kind    OrderKind             `json:"kind"`
	Version contract.VersionID    `json:"version"`
	Fencing contract.FencingToken `json:"fencing"`
}

// CacheEvent reports that an engine has cached a prompt prefix or, if Cached is false,
// that the engine has evicted the prompt prefix from its cache.
// Prefix is the key of the prompt prefix. Cache events arrive late, and a gap in the numbers Seq
// means that some cache events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Cached bool   `json:"held"`
}
