// Package engine meets a model engine by the chat-completions protocol that
// model clients and engines already speak, with server-sent events for
// streams, and by the engine's own pages for load, orders and cache events.
package engine

import (
	"encoding/json"

	"woaddoor/contract"
)

// Paths of an engine.
const (
	PathChat   = "/v1/chat/completions"
	PathCancel = "/v1/cancel"
	PathLoad   = "/load"
	PathOrders = "/orders"
	PathCache  = "/cache-events"
)

// Headers that go with a call.
const (
	// HeaderRequest carries the request id; the engine gives it back, so that
	// a crossed answer is seen.
	HeaderRequest = "X-Request-Id"
	// HeaderNotAfter carries the end of the permission to start the work, as
	// RFC 3339 time, for engines that check it.
	HeaderNotAfter = "X-Not-After"
	// HeaderLastEvent resumes a stream after an event, as in the standard of
	// server-sent events.
	HeaderLastEvent = "Last-Event-ID"
)

// StreamEnd is the data of the event that ends a whole stream.
const StreamEnd = "[DONE]"

// Request is the part of a chat request that the router reads. The rest is
// passed on as it came.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens bounds the answer; zero leaves it to the engine.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Priority orders the engine's queue: lower goes first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinal makes the engine go on with the last message, which is an
	// assistant's, in place of answering it.
	ContinueFinal bool `json:"continue_final_message,omitempty"`
}

// Message is one message of a chat. Content is a text or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt     contract.Tokens `json:"prompt_tokens"`
	Completion contract.Tokens `json:"completion_tokens"`
	Total      contract.Tokens `json:"total_tokens"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one answer of a Completion.
type Choice struct {
	Index        int           `json:"index"`
	Message      AnswerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// AnswerMessage is the text of an answer, whole or a piece of it.
type AnswerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the piece of one answer in a Chunk.
type ChunkChoice struct {
	Index        int           `json:"index"`
	Delta        AnswerMessage `json:"delta"`
	FinishReason *string       `json:"finish_reason"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order asks an engine to change what it holds. Late and repeated orders are
// harmless to routing, which goes by Load alone.
type Order struct {
	Kind    OrderKind              `json:"kind"`
	Version contract.VersionID     `json:"version"`
	Fencing contract.FencingNumber `json:"fencing"`
}

// CacheEvent says that an engine holds, or has dropped, the prefix with a key.
// Events come late, and a gap in Seq means that some are lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`
}
