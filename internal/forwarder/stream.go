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

// streamBuffer is the size of a read. An event is some hundred bytes.
const streamBuffer = 8 << 10

// maxEvent bounds one event.
const maxEvent = 1 << 20

// eventEnd stands between two events.
var eventEnd = []byte("\n\n")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, streamBuffer)
	return &b
}}

// stream passes the events of an answer on as they come, whole ones only: a
// server may break off in the middle of one, and what the caller has must end
// where another server can go on.
func (x *exchange) stream(ctx context.Context, s messenger.SendExchange, bound *watch, response *http.Response) ending {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	pending := (*pooled)[:0]
	resumed := x.answering
	started := false
	x.events = 0
	for {
		pending = growing(pending)
		n, err := response.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if cut := wholeEvents(pending); cut > 0 {
			if !started {
				started = true
				x.beganNow(ctx, s)
			}
			bound.heard(s.NextEventTimeout)
			x.heardEvents(pending[:cut])
			if end, failed := x.passOn(response, pending[:cut], resumed); failed {
				return end
			}
			pending = pending[:copy(pending, pending[cut:])]
		}
		if err == nil && len(pending) < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(pending) == 0 && started {
			return ending{
				result: messenger.AttemptComplete,
				over:   true,
			}
		}
		return x.broken(s, bound, wasWritten(), streamError(err))
	}
}

// growing returns b with room for more.
func growing(b []byte) []byte {
	if len(b) < cap(b) {
		return b
	}
	return append(b, make([]byte, cap(b)+streamBuffer)...)[:len(b)]
}

// streamError names what ended a stream before its end.
func streamError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return &TruncatedStreamError{}
	}
	return err
}

var _ error = (*TruncatedStreamError)(nil)

// TornEventError reports a stream that ended within an event, or before the
// first one.
type TruncatedStreamError struct{}

func (e *TruncatedStreamError) Error() string { return "the stream ended within an event" }

// wholeEvents returns the length of the events in b that are whole. An event
// ends with an empty line.
func wholeEvents(b []byte) int {
	end := bytes.LastIndex(b, eventEnd)
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > end+2 {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// passOn gives events to the caller. Of a stream that goes on at another server
// the events that the caller has already are left out.
func (x *exchange) passOn(response *http.Response, events []byte, resumed bool) (ending, bool) {
	if resumed {
		events = x.behind(events)
		if len(events) == 0 {
			return ending{}, false
		}
	}
	if !x.answering {
		x.answering = true
		response.Header.Del("Content-Length")
		x.writeHead(response.StatusCode, response.Header)
	}
	if id, ok := lastID(events); ok {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return gone(err), true
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return gone(err), true
	}
	return ending{}, false
}

// behind returns the events of a resumed stream that come after the last one
// that the caller has.
func (x *exchange) behind(events []byte) []byte {
	had, err := strconv.ParseInt(x.lastEvent, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		if end < 0 {
			return events
		}
		id, ok := lastID(events[:end+2])
		if n, err := strconv.ParseInt(id, 10, 64); !ok || err != nil || n > had {
			return events
		}
		events = events[end+2:]
	}
	return nil
}

// lastID returns the id of the last of some events that has one.
func lastID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
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
