package adapter

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxLine bounds a line of a stream, and the lines of one event together.
const maxEventBytes = 64 << 10

// reading is the state of reading one stream.
type streamReader struct {
	stream    identifier.StreamName
	lastIndex identifier.Tokens // the last token taken
	timeouts  ResponseTimeouts
	sink      Sink
}

// ProtocolError reports bytes that no engine should send.
type ProtocolError struct{ Text string }

var _ error = (*ProtocolError)(nil)

func (e *ProtocolError) Error() string { return "protocol: " + e.Text }

// follow makes the call and reads the stream that answers it.
func (e *Engine) readStream(ctx context.Context, req call, r streamReader) error {
	ctx, timer := newResponseTimer(ctx, req.address, r.timeouts)
	defer timer.stop()
	response, err := e.streams.do(ctx, req)
	if err != nil {
		return timeoutError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return serverError(statusError(req.address, response))
	}
	r.sink.Started()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for {
		event, err := nextEvent(scanner)
		if err != nil {
			return timeoutError(ctx, &ConnectionError{
				Address: req.address,
				Cause:   cause(ctx, err),
			})
		}
		timer.reset(req.address)
		done, err := r.handle(req.address, event)
		if done || err != nil {
			return err
		}
	}
}

// silence returns the *ResponseTimeoutError for which the watch ended the context,
// where that is why the call failed. A call that never left stays not sent.
func timeoutError(ctx context.Context, err error) error {
	var broken *ConnectionError
	var timeout *ResponseTimeoutError
	if errors.As(err, &broken) && errors.As(context.Cause(ctx), &timeout) {
		return timeout
	}
	return err
}

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// nextEvent reads the lines up to the next empty one. An event cut off by the
// end of the stream is no event.
func nextEvent(scanner *bufio.Scanner) (event, error) {
	var e event
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			if len(e.data)+len(value) > maxEventBytes {
				return event{}, &ProtocolError{Text: "event too long"}
			}
			e.data += value
		case "":
			if scanner.Text() == "" && e != (event{}) {
				return e, nil
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return event{}, fmt.Errorf("read stream: %w", err)
	}
	return event{}, io.ErrUnexpectedEOF
}

// take handles one event and tells whether it was the last.
func (r *streamReader) handle(address string, e event) (done bool, err error) {
	switch e.name {
	case encoder.EndEvent:
		return true, r.checkEnd(address, e.data)
	case encoder.ErrorEvent:
		return true, decodeErrorEvent(address, e.data)
	case "":
		return false, r.handleToken(address, e)
	default:
		return false, nil
	}
}

// takeToken gives the sink the token if it is the next one. A token that
// stands already is dropped: another reader's answer crossed ours, or the
// engine began too early. A skipped one ends the reading, because the answer
// could not become whole.
func (r *streamReader) handleToken(address string, e event) error {
	index, err := strconv.ParseInt(e.id, 10, 64)
	if err != nil {
		return protocolError(address, "token id: "+err.Error())
	}
	var token encoder.Token
	if err := json.Unmarshal([]byte(e.data), &token); err != nil {
		return protocolError(address, "token: "+err.Error())
	}
	got, want := identifier.Tokens(index), r.lastIndex+1
	switch {
	case got < want:
		return nil
	case got > want:
		return &TokenSequenceError{
			Stream: r.stream,
			Want:   want,
			Got:    got,
		}
	}
	r.lastIndex = got
	return r.sink.Token(Token{
		Index: got,
		Text:  token.Token,
	})
}

// takeEnd checks that the answer is as long as the engine says.
func (r *streamReader) checkEnd(address, data string) error {
	var end encoder.End
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return protocolError(address, "end: "+err.Error())
	}
	if end.Tokens != r.lastIndex {
		return &TokenSequenceError{
			Stream: r.stream,
			Want:   r.lastIndex + 1,
			Got:    end.Tokens + 1,
		}
	}
	return nil
}

func decodeErrorEvent(address, data string) error {
	var problem encoder.Problem
	if err := json.Unmarshal([]byte(data), &problem); err != nil {
		return protocolError(address, "error event: "+err.Error())
	}
	if problem.Outcome == encoder.OutcomeNotRun {
		return &RefusedError{
			Address:    address,
			Text:       problem.Error,
			RetryAfter: retryAfter(http.Header{}, problem),
		}
	}
	return &ConnectionError{
		Address: address,
		Cause:   &ProtocolError{Text: "stream ended: " + problem.Error},
	}
}

func protocolError(address, text string) error {
	return &ConnectionError{
		Address: address,
		Cause:   &ProtocolError{Text: text},
	}
}
