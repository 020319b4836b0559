package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxLineSize is the maximum length of a line of a stream in bytes.
const maxLineSize = 1 << 20

// Token is one token of an answer. Indexes count from 1.
type Token struct {
	Index identifier.Tokens
	// ID identifies the answer up to this token. Resume can continue after it.
	ID   EventID
	Text string
}

// EventID identifies a position in a particular answer as "<index>-<digest>":
// the index of a token and a digest of the tokens up to it. A node refuses to
// continue from it if its own answer has a different digest. An id that is only
// an index is not checked.
type EventID string

// Index returns the index of the token. Its error is a *ProtocolError.
func (id EventID) Index() (identifier.Tokens, error) {
	if id == "" {
		return 0, nil
	}
	number, _, _ := strings.Cut(string(id), "-")
	index, err := strconv.ParseInt(number, 10, 64)
	if err != nil || index < 0 {
		return 0, &ProtocolError{
			Detail: "event id " + strconv.Quote(string(id)),
			Cause:  err,
		}
	}
	return identifier.Tokens(index), nil
}

// Sink receives the tokens of an answer as they arrive, each once and in order.
// An error of a Sink ends the stream.
type Sink interface {
	Token(t Token) error
	// Restart reports that the answer starts again from the first token,
	// because no node knew the request and it was sent again. The tokens
	// received so far are invalid.
	Restart() error
}

// AttachObserver may be implemented by a Sink to learn which node serves the
// request.
type AttachObserver interface {
	// Attached reports the node that serves the request from now on.
	Attached(request identifier.RequestID, node string)
}

// Stream sends a request to a model service and passes the tokens of the answer
// to sink as they arrive. Its errors are a *RefusalError, a *NoNodeError, a
// *UnknownOutcomeError, a *DivergedError, a *ProtocolError, or the sink's own.
func (c *Client) Stream(ctx context.Context, p Prompt, sink Sink) (Trace, error) {
	r := &streamReader{sink: sink}
	e := c.newExchange(p.message(true), r)
	err := e.run(ctx)
	return e.trace, err
}

// Resume continues the answer to a request that was sent earlier, after the
// given event. Its errors are those of Stream.
func (c *Client) Resume(
	ctx context.Context, service identifier.ServiceName, request identifier.RequestID, after EventID, sink Sink,
) (Trace, error) {
	index, err := after.Index()
	if err != nil {
		return Trace{Request: request}, err
	}
	r := &streamReader{sink: sink}
	e := c.newExchange(message{
		service: service,
		stream:  true,
	}, r)
	e.trace.Request = request
	e.resumed = true
	e.message.options.Key = ""
	e.trace.Key = ""
	e.lastToken = index
	e.trace.LastEventID = after
	e.attached = true
	e.markDetached()
	err = e.run(ctx)
	return e.trace, err
}

// streamReader reads an answer from server-sent events.
type streamReader struct{ sink Sink }

var _ responseReader = (*streamReader)(nil)

func (r *streamReader) reset() error { return r.sink.Restart() }

type sseEvent struct {
	id   string
	name string
	data []byte
}

func (r *streamReader) read(e *exchange, node string, response *http.Response) error {
	if w, ok := r.sink.(AttachObserver); ok {
		w.Attached(e.trace.Request, node)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineSize)
	var f sseEvent
	for lines.Scan() {
		e.onActivity()
		if line := lines.Bytes(); len(line) > 0 {
			f.addLine(line)
			continue
		}
		if done, err := r.handleEvent(e, node, f); done || err != nil {
			return err
		}
		f = sseEvent{}
	}
	return &connectionError{
		node:  node,
		sent:  true,
		cause: streamEndError(response, lines),
	}
}

// streamEndError returns the reason why a stream ended before its last event.
func streamEndError(response *http.Response, lines *bufio.Scanner) error {
	if cause := context.Cause(response.Request.Context()); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return &truncatedStreamError{}
}

type truncatedStreamError struct{}

func (e *truncatedStreamError) Error() string { return "stream ended before its last event" }

func (f *sseEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		f.id = string(value)
	case "event":
		f.name = string(value)
	case "data":
		f.data = append(f.data, value...)
	}
}

// handleEvent handles one event and reports whether it was the last.
func (r *streamReader) handleEvent(e *exchange, node string, f sseEvent) (bool, error) {
	switch {
	case f.name == "moved":
		return true, parseMovedEvent(node, f.data)
	case f.name == "error":
		return true, parseErrorEvent(node, f.data)
	case string(f.data) == "[DONE]":
		return true, nil
	case f.id != "":
		return false, r.handleToken(e, node, f)
	}
	return false, nil // A comment, or a chunk without a token.
}

func parseErrorEvent(node string, data []byte) error {
	err := parseProblem(node, http.StatusOK, data)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return &failedError{refusal: refusal}
	}
	return err
}

type movedData struct {
	Address string `json:"address"`
}

func parseMovedEvent(node string, data []byte) error {
	var m movedData
	if err := json.Unmarshal(data, &m); err != nil || m.Address == "" {
		return &ProtocolError{
			Node:   node,
			Detail: "moved event without an address",
			Cause:  err,
		}
	}
	return &movedError{to: m.Address}
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// handleToken handles one token. It ignores a duplicate. If tokens are missing
// before it, it ends the connection, so that the client reattaches and requests
// them. Otherwise an incomplete answer would look complete.
func (r *streamReader) handleToken(e *exchange, node string, f sseEvent) error {
	id := EventID(f.id)
	next, err := id.Index()
	if err != nil {
		return &ProtocolError{
			Node:   node,
			Detail: "token",
			Cause:  err,
		}
	}
	switch {
	case next <= e.lastToken:
		return nil
	case next > e.lastToken+1:
		return &connectionError{
			node: node,
			sent: true,
			cause: &tokenGapError{
				last: e.lastToken,
				got:  next,
			},
		}
	}
	var chunk chatChunk
	if err := json.Unmarshal(f.data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return &ProtocolError{
			Node:   node,
			Detail: "chunk",
			Cause:  err,
		}
	}
	e.countToken(next, id)
	return r.sink.Token(Token{
		Index: next,
		ID:    id,
		Text:  chunk.Choices[0].Delta.Content,
	})
}

func (e *exchange) countToken(index identifier.Tokens, id EventID) {
	if e.trace.Tokens == 0 {
		e.trace.FirstToken = e.since(e.startedAt)
	}
	e.lastToken = index
	e.divergedAt = 0
	e.trace.LastEventID = id
	e.trace.Tokens = index
}

// tokenGapError reports missing tokens in a stream.
type tokenGapError struct {
	last identifier.Tokens
	got  identifier.Tokens
}

func (e *tokenGapError) Error() string {
	return "token " + strconv.FormatInt(int64(e.got), 10) +
		" follows token " + strconv.FormatInt(int64(e.last), 10)
}
