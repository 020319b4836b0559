package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// streamBuffer is the size of a read. A typical event is a few hundred bytes.
const streamBuffer = 8 << 10

// eventEnd separates two events.
var eventEnd = []byte("\n\n")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, streamBuffer)
	return &b
}}

// stream passes on the events of an answer as they arrive, complete ones only. The
// server may fail in the middle of an event, and the caller must be left at a point
// where another server can resume.
func (x *exchange) stream(ctx context.Context, s messenger.SendExchange, timer *attemptTimer, response *http.Response) attemptEnd {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	pending := (*pooled)[:0]
	buffer := answerBuffer{answers: x.forwarder.longAnswers}
	defer buffer.release()
	resumed := x.headSent
	started := false
	x.eventCount = 0
	for {
		pending = grow(pending)
		n, err := response.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if cut := completeLength(pending); cut > 0 {
			if !started {
				started = true
				x.recordBegan(ctx, s, response)
				if !timer.mayStream() {
					return x.classifyFailure(s, timer, ctx.Err())
				}
			}
			timer.eventReceived(s.NextEventTimeout)
			x.recordEvents(pending[:cut])
			if end, failed := x.passEvents(response, pending[:cut], resumed); failed {
				return end
			}
			pending = buffer.shorten(pending[:copy(pending, pending[cut:])])
		}
		if err == nil && buffer.awaitHold(ctx, len(pending)+1) {
			continue
		}
		if errors.Is(err, io.EOF) && len(pending) == 0 && started {
			if x.mayBeCut(s, response) {
				return x.classifyFailure(s, timer, &ServerEndedError{Server: s.Server})
			}
			return attemptEnd{
				result: messenger.AttemptComplete,
				done:   true,
			}
		}
		return x.classifyFailure(s, timer, streamError(err))
	}
}

// grow returns b with free capacity.
func grow(b []byte) []byte {
	if len(b) < cap(b) {
		return b
	}
	grown := make([]byte, len(b), 2*cap(b))
	copy(grown, b)
	return grown
}

// streamError returns the error with which a stream ended early. EOF within an event is
// a *TruncatedStreamError, as is an event that is too long.
func streamError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return &TruncatedStreamError{}
	}
	return err
}

var _ error = (*TruncatedStreamError)(nil)

// TruncatedStreamError reports a stream that ended within an event or before the first
// one, or whose event exceeds the size limit.
type TruncatedStreamError struct{}

func (e *TruncatedStreamError) Error() string { return "stream ended before the end of an event" }

// completeLength returns the length of the complete events at the start of b. An event
// ends with an empty line.
func completeLength(b []byte) int {
	end := bytes.LastIndex(b, eventEnd)
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > end+2 {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// passEvents writes events to the caller. If the stream was resumed on another server,
// it skips events that the caller already received.
func (x *exchange) passEvents(response *http.Response, events []byte, resumed bool) (attemptEnd, bool) {
	if resumed {
		events = x.eventsAfterLast(events)
		if len(events) == 0 {
			return attemptEnd{}, false
		}
	}
	if !x.headSent {
		x.headSent = true
		response.Header.Del("Content-Length")
		x.writeHead(response.StatusCode, response.Header)
	}
	if id, ok := lastEventID(events); ok {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return callerDisconnected(err), true
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return callerDisconnected(err), true
	}
	return attemptEnd{}, false
}

// eventsAfterLast returns the events that follow the last one that the caller received.
func (x *exchange) eventsAfterLast(events []byte) []byte {
	last, err := strconv.ParseInt(x.lastEvent, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		if end < 0 {
			return events
		}
		id, ok := lastEventID(events[:end+2])
		if n, err := strconv.ParseInt(id, 10, 64); !ok || err != nil || n > last {
			return events
		}
		events = events[end+2:]
	}
	return nil
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	start := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case start >= 0:
		events = events[start+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return "", false
	}
	if end := bytes.IndexAny(events, "\r\n"); end >= 0 {
		events = events[:end]
	}
	return strings.TrimSpace(string(events)), true
}
