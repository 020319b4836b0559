package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Options apply to every kind of request.
type Options struct {
	// Key identifies the request within the client account. If it is empty, a
	// key is generated.
	Key identifier.IdempotencyKey
	// Deadline is the time limit for the whole answer. Zero selects the
	// deadline of the service.
	Deadline timekeeper.Duration
}

// Prompt is a request to a model service.
type Prompt struct {
	Options
	Service identifier.ServiceName
	Text    string
	// MaxTokens is the maximum length of the answer. Zero selects the limit of
	// the service.
	MaxTokens identifier.Tokens
}

// Call is a call to a plain service.
type Call struct {
	Options
	Service     identifier.ServiceName
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Trace records how a request was processed.
type Trace struct {
	Request identifier.RequestID      `json:"request_id"`
	Key     identifier.IdempotencyKey `json:"idempotency_key"`
	// Nodes are the nodes that answered, in order.
	Nodes []string `json:"nodes"`
	// Reattached is the number of times that another connection continued the
	// answer. Restarted is the number of times that the request was sent again
	// because no node knew it.
	Reattached int               `json:"reattached"`
	Restarted  int               `json:"restarted"`
	Tokens     identifier.Tokens `json:"tokens"`
	// LastEventID identifies the last token received.
	LastEventID EventID `json:"last_event_id,omitempty"`
	// FirstToken is the time from the start to the first token. Total is the
	// time from the start to the end.
	FirstToken timekeeper.Duration `json:"first_token_ms"`
	Total      timekeeper.Duration `json:"total_ms"`
}

// Reply is the complete answer to a Call.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome Outcome
}

type chatBody struct {
	Model     identifier.ServiceName `json:"model"`
	Messages  []chatMessage          `json:"messages"`
	MaxTokens identifier.Tokens      `json:"max_tokens,omitempty"`
	Stream    bool                   `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (p Prompt) encode(stream bool) []byte {
	data, err := json.Marshal(chatBody{
		Model: p.Service,
		Messages: []chatMessage{{
			Role:    "user",
			Content: p.Text,
		}},
		MaxTokens: p.MaxTokens,
		Stream:    stream,
	})
	if err != nil {
		// A chatBody has no field that can fail to encode.
		return nil
	}
	return data
}

// message is the encoded form of a request, which every attempt sends.
type message struct {
	service     identifier.ServiceName
	method      string
	path        string
	contentType string
	body        []byte
	stream      bool
	options     Options
}

func (p Prompt) message(stream bool) message {
	return message{
		service:     p.Service,
		method:      http.MethodPost,
		path:        "/v1/chat/completions",
		contentType: "application/json",
		body:        p.encode(stream),
		stream:      stream,
		options:     p.Options,
	}
}

func (c Call) message() message {
	return message{
		service:     c.Service,
		method:      c.Method,
		path:        "/v1/services/" + url.PathEscape(string(c.Service)) + "/" + strings.TrimPrefix(c.Path, "/"),
		contentType: c.ContentType,
		body:        c.Body,
		stream:      false,
		options:     c.Options,
	}
}

// sendRequest returns the HTTP request that sends m to a node. If remaining is
// zero, the deadline of the service applies.
func (m message) sendRequest(ctx context.Context, c *Client, node string, remaining timekeeper.Duration) (*http.Request, error) {
	r, err := c.newRequest(ctx, m.method, node, m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerKey, string(m.options.Key))
	if m.contentType != "" {
		r.Header.Set("Content-Type", m.contentType)
	}
	if remaining > 0 {
		r.Header.Set(headerDeadline, strconv.FormatInt(int64(remaining), 10))
	}
	return r, nil
}

// reattachRequest returns the HTTP request that continues the answer to m after
// the given event.
func (m message) reattachRequest(
	ctx context.Context, c *Client, node string, request identifier.RequestID, after EventID,
) (*http.Request, error) {
	r, err := c.newRequest(ctx, http.MethodGet, node, requestPath(request), nil)
	if err != nil {
		return nil, err
	}
	if m.stream {
		r.Header.Set("Accept", "text/event-stream")
		r.Header.Set(headerLastEvent, string(cmp.Or(after, "0")))
	}
	return r, nil
}
