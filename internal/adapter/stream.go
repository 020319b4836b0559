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

// maxEventBytes bounds a line of a stream and the data of one event.
const maxEventBytes = 64 << 10

// streamReader is the state of reading one stream.
type streamReader struct {
	stream    identifier.StreamName
	lastIndex identifier.Tokens // index of the last token passed to sink
	timeouts  ResponseTimeouts
	sink      Sink
}

// ProtocolError reports data that violates the engines' protocol.
type ProtocolError struct{ Text string }

var _ error = (*ProtocolError)(nil)

func (e *ProtocolError) Error() string { return "protocol: " + e.Text }

// readStream makes the call and reads the stream in the answer.
func (e *Engine) readStream(ctx context.Context, req call, r streamReader) error {
	ctx, timer := newResponseTimer(ctx, req.address, r.timeouts, systemAfter)
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
		timer.reset()
		done, err := r.handle(req.address, event)
		if done || err != nil {
			return err
		}
	}
}

// timeoutError returns the *ResponseTimeoutError that cancelled the context, if it
// caused the call to fail. A *NotSentError is returned unchanged.
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

// nextEvent reads the next event, which ends with an empty line. It drops an event that
// is cut off by the end of the stream.
func nextEvent(scanner *bufio.Scanner) (event, error) {
	var (
		e    event
		data strings.Builder
	)
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			if data.Len()+len(value) > maxEventBytes {
				return event{}, &ProtocolError{Text: "event too long"}
			}
			data.WriteString(value)
		case "":
			e.data = data.String()
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

// handle processes one event and reports whether it was the last.
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

// handleToken passes the token to the sink if it is the next one. It drops a token that
// was already received, which happens if answers overlap or the engine starts too
// early. A skipped token is an error, since the answer would be incomplete.
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

// checkEnd checks that the number of received tokens matches the end event.
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
