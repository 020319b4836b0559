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
	// Key is the request's name within the client account. A fresh one is
	// made where it is empty.
	Key identifier.IdempotencyKey
	// Deadline is the time for the whole answer; zero leaves it to the
	// service.
	Deadline timekeeper.Duration
}

// Prompt is a request to a model service.
type Prompt struct {
	Options
	Service identifier.ServiceName
	Text    string
	// MaxTokens bounds the answer; zero leaves it to the service.
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

// Trace tells how a request went.
type Trace struct {
	Request identifier.RequestID      `json:"request_id"`
	Key     identifier.IdempotencyKey `json:"idempotency_key"`
	// Nodes are the nodes that answered, in order.
	Nodes []string `json:"nodes"`
	// Reattached counts how often a further connection went on with the
	// answer, Restarted how often the request was sent again because no node
	// knew it any more.
	Reattached int               `json:"reattached"`
	Restarted  int               `json:"restarted"`
	Tokens     identifier.Tokens `json:"tokens"`
	// Last names the last token that was taken.
	LastEventID EventID `json:"last_event_id,omitempty"`
	// FirstToken is the time from the start to the first token, Total that to
	// the end.
	FirstToken timekeeper.Duration `json:"first_token_ms"`
	Total      timekeeper.Duration `json:"total_ms"`
}

// Reply is the whole answer to a Call.
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

// message is a request in the form that goes out, again at each try.
type message struct {
	service     identifier.ServiceName
	method      string
	path        string
	contentType string
	body        []byte
	stream      bool
	terms       Options
}

func (p Prompt) message(stream bool) message {
	return message{
		service:     p.Service,
		method:      http.MethodPost,
		path:        "/v1/chat/completions",
		contentType: "application/json",
		body:        p.encode(stream),
		stream:      stream,
		terms:       p.Options,
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
		terms:       c.Options,
	}
}

// send returns the HTTP request that sends m to a node. A remaining time of
// zero leaves the deadline to the service.
func (m message) send(ctx context.Context, c *Client, node string, remaining timekeeper.Duration) (*http.Request, error) {
	r, err := c.newRequest(ctx, m.method, node, m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerKey, string(m.terms.Key))
	if m.contentType != "" {
		r.Header.Set("Content-Type", m.contentType)
	}
	if remaining > 0 {
		r.Header.Set(headerDeadline, strconv.FormatInt(int64(remaining), 10))
	}
	return r, nil
}

// reattach returns the HTTP request that goes on with the answer to m after
// the given one.
func (m message) reattach(
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
