package encoder

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// The names of stream events. Token events are unnamed.
const (
	// EndEvent ends a complete stream; its data is an End.
	EndEvent = "end"
	// ErrorEvent ends an incomplete stream; its data is a Problem.
	ErrorEvent = "error"
)

// GenerateRequest is the body of POST /generate.
type GenerateRequest struct {
	Stream identifier.StreamName `json:"stream"`
	Model  identifier.ModelName  `json:"model"`
	Prompt string                `json:"prompt"`
	// PromptTokens and Prefix are computed from Prompt if they are absent.
	PromptTokens identifier.Tokens       `json:"prompt_tokens,omitempty"`
	Prefix       []identifier.PrefixHash `json:"prefix,omitempty"`
	// From is the number of tokens of the answer that the client already has; Given
	// holds them.
	From       identifier.Tokens `json:"from"`
	Given      []string          `json:"given,omitempty"`
	MaxTokens  identifier.Tokens `json:"max_tokens"`
	Priority   int               `json:"priority"`
	DeadlineMS int64             `json:"deadline_ms"`
}

// Token is the data of one token event; the event's id is the token's index
// in the answer, from 1.
type Token struct {
	Token string `json:"token"`
}

// End is the data of the end event: the number of tokens of the answer.
type End struct {
	Tokens identifier.Tokens `json:"tokens"`
}

// ExportRequest is the body of POST /streams/{name}/export.
type ExportRequest struct {
	ToAddress string `json:"to_address"`
}

// KV is a stream's KV cache as sent from one engine to another.
type KV struct {
	Stream  identifier.StreamName   `json:"stream"`
	Model   identifier.ModelName    `json:"model"`
	Prompt  string                  `json:"prompt"`
	Prefix  []identifier.PrefixHash `json:"prefix"`
	Context identifier.Tokens       `json:"context"`
}

// Load is the answer to GET /load. AgeMS is the age of the measurement.
type Load struct {
	AgeMS           int64                `json:"age_ms"`
	Running         int                  `json:"running"`
	Waiting         int                  `json:"waiting"`
	Slots           int                  `json:"slots"`
	FreeKVTokens    identifier.Tokens    `json:"free_kv_tokens"`
	TokensPerSecond float64              `json:"tokens_per_second"`
	Model           identifier.ModelName `json:"model"`
	Role            string               `json:"role"`
	Fence           identifier.Fence     `json:"fence"`
}

// CacheEventsResponse is the answer to GET /cache_events?after=.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that the engine cached or evicted a prefix block. A gap in the
// sequence numbers means that events were lost.
type CacheEvent struct {
	Seq     uint64                `json:"seq"`
	Hash    identifier.PrefixHash `json:"hash"`
	Evicted bool                  `json:"gone"`
}

// OrderRequest is the body of POST /orders.
type OrderRequest struct {
	Kind  messenger.OrderKind  `json:"kind"`
	Model identifier.ModelName `json:"model,omitempty"`
	Role  string               `json:"role,omitempty"`
	Fence identifier.Fence     `json:"fence"`
}
