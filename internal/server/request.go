package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 255

// chatRequest holds the fields of an OpenAI chat request that the system uses.
// Other fields are ignored, because clients send many more.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. Clients send it as a string or as a
// list of parts.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form. It rejects parts that are not text, since
// ignoring them would change the meaning of the prompt.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return c.unmarshalParts(data)
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*c = chatContent(text)
	return nil
}

func (c *chatContent) unmarshalParts(data []byte) error {
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return &ContentPartError{Type: p.Type}
		}
		text.WriteString(p.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// ContentPartError reports a message part of an unsupported type.
type ContentPartError struct{ Type string }

func (e *ContentPartError) Error() string {
	return "message part of type " + strconv.Quote(e.Type) + ", want text"
}

var _ error = (*ContentPartError)(nil)

// parseChat reads and checks a chat request.
func parseChat(body []byte) (chatRequest, *Problem) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, newProblem(http.StatusBadRequest, ReasonBadJSON, "the body is not a chat request: %v", err)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	switch {
	case c.Model == "":
		return c, newProblem(http.StatusBadRequest, ReasonBadField, "model is missing")
	case len(c.Messages) == 0:
		return c, newProblem(http.StatusBadRequest, ReasonBadField, "messages is empty")
	case c.MaxTokens < 0:
		return c, newProblem(http.StatusBadRequest, ReasonBadField, "max_tokens is %d, want 1 or more", c.MaxTokens)
	}
	return c, nil
}

// prompt returns the messages as one text. Each of several messages is preceded
// by its role.
func (c chatRequest) prompt() string {
	if len(c.Messages) == 1 {
		return string(c.Messages[0].Content)
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteString("\n")
	}
	return text.String()
}

// requestOptions are the options in a request's headers.
type requestOptions struct {
	key       identifier.IdempotencyKey
	remaining timekeeper.Duration
}

func (s *Server) parseOptions(h http.Header) (requestOptions, *Problem) {
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return requestOptions{}, newProblem(http.StatusBadRequest, ReasonBadHeader,
			"%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	remaining, problem := s.parseDeadline(h.Get(HeaderDeadline))
	if problem != nil {
		return requestOptions{}, problem
	}
	return requestOptions{
		key:       identifier.IdempotencyKey(key),
		remaining: remaining,
	}, nil
}

// parseDeadline reads the remaining time of a request. It returns zero if the
// caller set none.
func (s *Server) parseDeadline(text string) (timekeeper.Duration, *Problem) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || timekeeper.Duration(value) > s.limits.MaxDeadline {
		return 0, newProblem(http.StatusBadRequest, ReasonBadHeader,
			"%s is %q, want milliseconds up to %d", HeaderDeadline, text, s.limits.MaxDeadline)
	}
	if value <= 0 {
		return 0, refusalProblem("", messenger.Refusal{
			Reason:     messenger.ReasonDeadlineExpired,
			Outcome:    messenger.NotRun,
			RetryAfter: 0,
		})
	}
	return timekeeper.Duration(value), nil
}

// position is the position up to which a caller has received an answer.
type position struct {
	// index is the index of the last token received.
	index identifier.Tokens
	// digest covers the tokens up to index. It is valid only if checked is set.
	digest  answerer.Digest
	checked bool
}

var _ fmt.Stringer = position{}

// String returns p in the format of an event id.
func (p position) String() string {
	index := strconv.FormatInt(int64(p.index), 10)
	if !p.checked {
		return index
	}
	return index + positionSeparator + p.digest.String()
}

// positionSeparator separates the index and the digest in an event id.
const positionSeparator = "-"

// parseLastEvent reads the position of a caller from the id of the last event.
// An id may also be an index without a digest, which can't be checked.
func parseLastEvent(h http.Header) (position, *Problem) {
	text := h.Get(HeaderLastEventID)
	if text == "" {
		return position{}, nil
	}
	indexText, digestText, checked := strings.Cut(text, positionSeparator)
	index, err := strconv.ParseInt(indexText, 10, 64)
	if err != nil || index < 0 {
		return position{}, badLastEvent(text)
	}
	p := position{
		index:   identifier.Tokens(index),
		checked: checked,
	}
	if !checked {
		return p, nil
	}
	if p.digest, err = answerer.ParseDigest(digestText); err != nil {
		return position{}, badLastEvent(text)
	}
	return p, nil
}

func badLastEvent(text string) *Problem {
	return newProblem(http.StatusBadRequest, ReasonBadHeader,
		"%s is %q, want the id of an event", HeaderLastEventID, text)
}
