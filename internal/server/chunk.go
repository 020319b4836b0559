package server

import (
	"encoding/json"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The bodies below follow the format of OpenAI's chat completions.

const (
	roleAssistant = "assistant"
	finishStop    = "stop"
)

type chatChunk struct {
	ID      identifier.RequestID   `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   identifier.ServiceName `json:"model"`
	Choices []chunkChoice          `json:"choices"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chatCompletion struct {
	ID      identifier.RequestID   `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   identifier.ServiceName `json:"model"`
	Choices []completionChoice     `json:"choices"`
	Usage   chatUsage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	TotalTokens      identifier.Tokens `json:"total_tokens"`
}

// chunkEncoder encodes the chunks of one stream. The chunks differ only in
// their choice.
type chunkEncoder struct{ chunk chatChunk }

func newChunkEncoder(a *answerer.Answer, now timekeeper.Time) chunkEncoder {
	return chunkEncoder{
		chunk: chatChunk{
			ID:      a.Request(),
			Object:  "chat.completion.chunk",
			Created: now.Std().Unix(),
			Model:   a.Service(),
			Choices: make([]chunkChoice, 1),
		},
	}
}

// encodeToken returns the chunk of one token.
func (e *chunkEncoder) encodeToken(text string) []byte {
	return e.encode(chunkChoice{
		Index:        0,
		Delta:        chunkDelta{Content: text},
		FinishReason: nil,
	})
}

// encodeStop returns the chunk with the finish reason of a complete answer.
func (e *chunkEncoder) encodeStop() []byte {
	reason := finishStop
	return e.encode(chunkChoice{
		Index:        0,
		Delta:        chunkDelta{Content: ""},
		FinishReason: &reason,
	})
}

func (e *chunkEncoder) encode(choice chunkChoice) []byte {
	e.chunk.Choices[0] = choice
	data, err := json.Marshal(&e.chunk)
	if err != nil {
		// A chunk has no field that can fail to encode.
		return []byte(`{}`)
	}
	return data
}

func newCompletion(a *answerer.Answer, now timekeeper.Time, c completion) chatCompletion {
	prompt := a.Spec().PromptTokens
	return chatCompletion{
		ID:      a.Request(),
		Object:  "chat.completion",
		Created: now.Std().Unix(),
		Model:   a.Service(),
		Choices: []completionChoice{{
			Index: 0,
			Message: completionMessage{
				Role:    roleAssistant,
				Content: c.text,
			},
			FinishReason: finishStop,
		}},
		Usage: chatUsage{
			PromptTokens:     prompt,
			CompletionTokens: c.tokens,
			TotalTokens:      prompt + c.tokens,
		},
	}
}
