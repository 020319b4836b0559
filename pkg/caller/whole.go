package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxReply bounds a whole answer.
const maxReply = 64 << 20

// Complete sends a request to a model service and returns the text of the answer
// once it is whole. Its errors are those of Stream.
func (c *Client) Complete(ctx context.Context, p Prompt) (string, Trace, error) {
	t := &wholeTaker{}
	e := c.newExchange(p.message(false), t)
	if err := e.run(ctx); err != nil {
		return "", e.trace, err
	}
	text, tokens, err := parseCompletion(t.node, t.reply.Body)
	e.trace.Tokens = tokens
	return text, e.trace, err
}

// Call sends a call to a plain service and returns the reply. Its errors are
// those of Stream.
func (c *Client) Call(ctx context.Context, call Call) (Reply, Trace, error) {
	t := &wholeTaker{}
	e := c.newExchange(call.message(), t)
	err := e.run(ctx)
	return t.reply, e.trace, err
}

// wholeTaker takes an answer that comes in one piece.
type wholeTaker struct {
	node  string
	reply Reply
}

var _ taker = (*wholeTaker)(nil)

func (t *wholeTaker) restart() error { return nil }

// beatReader shows at each read that the connection is alive.
type beatReader struct {
	io.Reader
	beat func()
}

var _ io.Reader = (*beatReader)(nil)

func (r *beatReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.beat()
	return n, err
}

func (t *wholeTaker) take(e *exchange, node string, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(&beatReader{
		Reader: response.Body,
		beat:   e.beat,
	}, maxReply+1))
	switch {
	case err != nil:
		return &brokenError{
			node:  node,
			sent:  true,
			cause: err,
		}
	case len(body) > maxReply:
		return &ProtocolError{
			Node:   node,
			Detail: "the answer is too large",
			Cause:  nil,
		}
	}
	t.node = node
	t.reply = Reply{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    body,
		Outcome: Outcome(response.Header.Get(headerOutcome)),
	}
	return nil
}

type chatCompletion struct {
	Choices []struct {
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens identifier.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

func parseCompletion(node string, body []byte) (string, identifier.Tokens, error) {
	var c chatCompletion
	if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) == 0 {
		return "", 0, &ProtocolError{
			Node:   node,
			Detail: "completion",
			Cause:  err,
		}
	}
	return c.Choices[0].Message.Content, c.Usage.CompletionTokens, nil
}
