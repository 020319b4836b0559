package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxAnswerSize is the maximum size in bytes of an answer without streaming.
const maxAnswerSize = 64 << 20

// Complete sends a request to a model service and returns the text of the
// complete answer. Its errors are those of Stream.
func (c *Client) Complete(ctx context.Context, p Prompt) (string, Trace, error) {
	r := &completeReader{}
	e := c.newExchange(p.message(false), r)
	if err := e.run(ctx); err != nil {
		return "", e.trace, err
	}
	text, tokens, err := parseCompletion(r.node, r.reply.Body)
	e.trace.Tokens = tokens
	return text, e.trace, err
}

// Call sends a call to a plain service and returns the reply. Its errors are
// those of Stream.
func (c *Client) Call(ctx context.Context, call Call) (Reply, Trace, error) {
	r := &completeReader{}
	e := c.newExchange(call.message(), r)
	err := e.run(ctx)
	return r.reply, e.trace, err
}

// completeReader reads an answer that is not streamed.
type completeReader struct {
	node  string
	reply Reply
}

var _ responseReader = (*completeReader)(nil)

func (r *completeReader) reset() error { return nil }

// activityReader calls onActivity after each read.
type activityReader struct {
	io.Reader
	onActivity func()
}

var _ io.Reader = (*activityReader)(nil)

func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.onActivity()
	return n, err
}

func (r *completeReader) read(e *exchange, node string, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(&activityReader{
		Reader:     response.Body,
		onActivity: e.onActivity,
	}, maxAnswerSize+1))
	switch {
	case err != nil:
		return &connectionError{
			node:  node,
			sent:  true,
			cause: err,
		}
	case len(body) > maxAnswerSize:
		return &ProtocolError{
			Node:   node,
			Detail: "the answer is too large",
			Cause:  nil,
		}
	}
	r.node = node
	r.reply = Reply{
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
