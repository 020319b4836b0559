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

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// Token is one token of an answer. Indexes count from 1.
type Token struct {
	Index identifier.Tokens
	// ID names the answer up to this token; Resume goes on from it.
	ID   EventID
	Text string
}

// EventID is a place in one particular answer: the index of a token, and with
// it a digest of the tokens up to there, as "<index>-<digest>". A node whose
// own answer has another digest there does not go on from it. Of a bare index
// the node can't tell; it goes on unchecked.
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

// Sink takes the tokens of an answer as they arrive, each once and in order.
// An error of a Sink ends the request's stream.
type Sink interface {
	Token(t Token) error
	// Restart tells that the answer begins anew: no node knew the request any
	// more and it was sent again. What was taken so far is void.
	Restart() error
}

// AttachObserver may be implemented by a Sink to learn which node serves the
// request.
type AttachObserver interface {
	// Attached tells that a node answers for the request from here on.
	Attached(request identifier.RequestID, node string)
}

// Stream sends a request to a model service and gives sink the tokens of the
// answer as they arrive. Its errors are a *RefusalError, a *NoNodeError, a
// *UnknownOutcomeError, a *DivergedError, a *ProtocolError, or the sink's own.
func (c *Client) Stream(ctx context.Context, p Prompt, sink Sink) (Trace, error) {
	t := &streamTaker{sink: sink}
	e := c.newExchange(p.message(true), t)
	err := e.run(ctx)
	return e.trace, err
}

// Resume goes on with the answer to a request that was sent earlier, after
// the given one. Its errors are those of Stream.
func (c *Client) Resume(
	ctx context.Context, service identifier.ServiceName, request identifier.RequestID, after EventID, sink Sink,
) (Trace, error) {
	index, err := after.Index()
	if err != nil {
		return Trace{Request: request}, err
	}
	t := &streamTaker{sink: sink}
	e := c.newExchange(message{
		service: service,
		stream:  true,
	}, t)
	e.trace.Request = request
	e.sentEarlier = true
	e.message.terms.Key = ""
	e.trace.Key = ""
	e.last = index
	e.trace.LastEventID = after
	e.attached = true
	e.markLost()
	err = e.run(ctx)
	return e.trace, err
}

// streamTaker takes server-sent events.
type streamTaker struct{ sink Sink }

var _ taker = (*streamTaker)(nil)

func (t *streamTaker) restart() error { return t.sink.Restart() }

// frame is one server-sent event.
type frame struct {
	id   string
	name string
	data []byte
}

func (t *streamTaker) take(e *exchange, node string, response *http.Response) error {
	if w, ok := t.sink.(AttachObserver); ok {
		w.Attached(e.trace.Request, node)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	var f frame
	for lines.Scan() {
		e.beat()
		if line := lines.Bytes(); len(line) > 0 {
			f.add(line)
			continue
		}
		if done, err := t.event(e, node, f); done || err != nil {
			return err
		}
		f = frame{}
	}
	return &brokenError{
		node:  node,
		sent:  true,
		cause: endOf(response, lines),
	}
}

// endOf tells why a stream ended before its last event.
func endOf(response *http.Response, lines *bufio.Scanner) error {
	if cause := context.Cause(response.Request.Context()); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return &earlyEndError{}
}

// earlyEndError reports a stream without its last event.
type earlyEndError struct{}

func (e *earlyEndError) Error() string { return "ended early" }

func (f *frame) add(line []byte) {
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

// event handles one event and reports whether it was the last.
func (t *streamTaker) event(e *exchange, node string, f frame) (bool, error) {
	switch {
	case f.name == "moved":
		return true, parseMoved(node, f.data)
	case f.name == "error":
		return true, parseEnd(node, f.data)
	case string(f.data) == "[DONE]":
		return true, nil
	case f.id != "":
		return false, t.token(e, node, f)
	}
	return false, nil // A comment, or a chunk without a token.
}

func parseEnd(node string, data []byte) error {
	err := parseProblem(node, http.StatusOK, data)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return &endError{refusal: refusal}
	}
	return err
}

type movedData struct {
	Address string `json:"address"`
}

func parseMoved(node string, data []byte) error {
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

// token takes one token. One that is there already is dropped. A hole before
// it breaks the connection off, so that the missing tokens are asked for
// again: passed over, the answer would look whole and not be.
func (t *streamTaker) token(e *exchange, node string, f frame) error {
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
	case next <= e.last:
		return nil
	case next > e.last+1:
		return &brokenError{
			node: node,
			sent: true,
			cause: &holeError{
				have: e.last,
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
	e.took(next, id)
	return t.sink.Token(Token{
		Index: next,
		ID:    id,
		Text:  chunk.Choices[0].Delta.Content,
	})
}

// took counts a token.
func (e *exchange) took(index identifier.Tokens, id EventID) {
	if e.trace.Tokens == 0 {
		e.trace.FirstToken = e.since(e.started)
	}
	e.last = index
	e.diverged = 0
	e.trace.LastEventID = id
	e.trace.Tokens = index
}

// holeError reports a stream that left tokens out.
type holeError struct {
	have identifier.Tokens
	got  identifier.Tokens
}

func (e *holeError) Error() string {
	return "token " + strconv.FormatInt(int64(e.got), 10) +
		" follows token " + strconv.FormatInt(int64(e.have), 10)
}
