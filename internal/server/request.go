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

// maxKeyLength bounds an idempotency key.
const maxKeyLength = 255

// chatRequest is the part of an OpenAI-shaped body that the system uses. The
// rest is accepted and ignored, because clients send many more fields.
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

// chatContent is a message's text, which clients send as a string or as a
// list of parts.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form. Parts that are not text are refused, since
// leaving them out would answer another question than was asked.
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

// ContentPartError reports a message part of a type that no model here reads.
type ContentPartError struct{ Type string }

func (e *ContentPartError) Error() string {
	return "message part of type " + strconv.Quote(e.Type) + ", want text"
}

var _ error = (*ContentPartError)(nil)

// parseChat reads and checks a chat request.
func parseChat(body []byte) (chatRequest, *Problem) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, refused(http.StatusBadRequest, ReasonBadJSON, "the body is not a chat request: %v", err)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	switch {
	case c.Model == "":
		return c, refused(http.StatusBadRequest, ReasonBadField, "model is missing")
	case len(c.Messages) == 0:
		return c, refused(http.StatusBadRequest, ReasonBadField, "messages is empty")
	case c.MaxTokens < 0:
		return c, refused(http.StatusBadRequest, ReasonBadField, "max_tokens is %d, want 1 or more", c.MaxTokens)
	}
	return c, nil
}

// prompt returns the messages as one text. A single message is its content;
// several are told apart by their roles.
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

// terms are what a request's headers ask for.
type terms struct {
	key       identifier.IdempotencyKey
	remaining timekeeper.Duration
}

func (s *Server) parseTerms(h http.Header) (terms, *Problem) {
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return terms{}, refused(http.StatusBadRequest, ReasonBadHeader,
			"%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	remaining, problem := s.parseDeadline(h.Get(HeaderDeadline))
	if problem != nil {
		return terms{}, problem
	}
	return terms{
		key:       identifier.IdempotencyKey(key),
		remaining: remaining,
	}, nil
}

// parseDeadline reads the remaining time of a request; zero means that the
// caller set none.
func (s *Server) parseDeadline(text string) (timekeeper.Duration, *Problem) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || timekeeper.Duration(value) > s.limits.MaxDeadline {
		return 0, refused(http.StatusBadRequest, ReasonBadHeader,
			"%s is %q, want milliseconds up to %d", HeaderDeadline, text, s.limits.MaxDeadline)
	}
	if value <= 0 {
		return 0, problemOf("", messenger.Refusal{
			Reason:     messenger.ReasonDeadlineExpired,
			Outcome:    messenger.NotRun,
			RetryAfter: 0,
		})
	}
	return timekeeper.Duration(value), nil
}

// position is what a caller has of an answer.
type position struct {
	// index is the last token that it has.
	index identifier.Tokens
	// digest is that of the tokens up to index, where checked is set.
	digest  answerer.Digest
	checked bool
}

var _ fmt.Stringer = position{}

// String returns p as the id of an event.
func (p position) String() string {
	index := strconv.FormatInt(int64(p.index), 10)
	if !p.checked {
		return index
	}
	return index + positionMark + p.digest.String()
}

// positionMark stands between the index and the digest of an event's id.
const positionMark = "-"

// parseLastEvent reads what a caller has of an answer: the id of the last
// event, or a bare index, which can't be checked.
func parseLastEvent(h http.Header) (position, *Problem) {
	text := h.Get(HeaderLastEventID)
	if text == "" {
		return position{}, nil
	}
	number, sum, checked := strings.Cut(text, positionMark)
	index, err := strconv.ParseInt(number, 10, 64)
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
	if p.digest, err = answerer.ParseDigest(sum); err != nil {
		return position{}, badLastEvent(text)
	}
	return p, nil
}

func badLastEvent(text string) *Problem {
	return refused(http.StatusBadRequest, ReasonBadHeader,
		"%s is %q, want the id of an event", HeaderLastEventID, text)
}
