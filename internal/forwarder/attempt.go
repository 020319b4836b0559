package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ending is how an attempt ended.
type ending struct {
	result messenger.AttemptResult
	reason string
	// over tells that the caller has its final answer, or is gone; with abort
	// its connection has to be broken, so that the answer does not look whole.
	over       bool
	abort      bool
	retryAfter timekeeper.Duration
	// serverEnded tells that nothing listens at the server's address any more.
	serverEnded bool
}

// held is an answer that was read to its end.
type held struct {
	status int
	header http.Header
	body   []byte
}

// watch bounds an attempt: by the end of the exchange and by a server's
// silence, whichever comes first.
type watch struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	silent  atomic.Bool
	expired atomic.Bool
	stop    func() bool
}

func (x *exchange) watch(ctx context.Context, s messenger.SendExchange) (context.Context, *watch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	left := max(s.Deadline.Sub(x.forwarder.config.Clock.Now()), 0)
	deadline := time.AfterFunc(left.Std(), func() {
		w.expired.Store(true)
		cancel()
	})
	w.stop = deadline.Stop
	if s.FirstEventTimeout > 0 {
		w.timer = time.AfterFunc(s.FirstEventTimeout.Std(), func() {
			w.silent.Store(true)
			cancel()
		})
	}
	return ctx, w
}

// heard begins the wait for the next event.
func (w *watch) heard(next timekeeper.Duration) {
	if w.timer == nil {
		return
	}
	if next <= 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(next.Std())
}

func (w *watch) end() {
	w.stop()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}

// trail follows how far a request came.
type trail struct{ written atomic.Bool }

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(ctx context.Context, s messenger.SendExchange) ending {
	ctx, bound := x.watch(ctx, s)
	defer bound.end()
	t := &trail{}
	request, err := x.outgoing(ctx, s, t)
	if err != nil {
		return ending{
			result: messenger.AttemptNotSent,
			reason: err.Error(),
		}
	}
	sent := x.forwarder.config.Clock.Now()
	response, err := x.forwarder.transport.RoundTrip(request)
	if err != nil {
		return x.broken(s, bound, t, err)
	}
	defer func() { _ = response.Body.Close() }()
	reply := x.forwarder.config.Protocol.ReadReply(response.StatusCode, response.Header)
	x.heardLimit(ctx, s, sent, reply)
	switch {
	case reply.Request != "" && reply.Request != x.head.Request:
		// The answer of another request, which came late on this connection.
		return ending{
			result: messenger.AttemptBroken,
			reason: "answer of another request",
		}
	case reply.Misdirected:
		return ending{
			result: messenger.AttemptMisdirected,
			reason: response.Status,
		}
	case reply.NotRun:
		return ending{
			result:     messenger.AttemptRefused,
			reason:     response.Status,
			retryAfter: reply.RetryAfter,
		}
	case succeeded(response.StatusCode) && !reply.Signed:
		return ending{
			result: messenger.AttemptBroken,
			reason: "success without signature",
		}
	case x.answering && !succeeded(response.StatusCode):
		return ending{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	case s.Route.Stream && succeeded(response.StatusCode):
		return x.stream(ctx, s, bound, response)
	}
	return x.whole(ctx, s, bound, response)
}

// heardLimit reports the limit that a server states in its answer, or that it states none
// any more. An answer to another request, or from another server, says nothing of this
// one, and what a server has not signed may come from something before it.
func (x *exchange) heardLimit(ctx context.Context, s messenger.SendExchange, sent timekeeper.Time, reply Reply) {
	if reply.Misdirected || reply.Request != "" && reply.Request != x.head.Request {
		return
	}
	lifted := s.Limited && reply.Signed
	if !reply.Limit.Stated && !lifted {
		return
	}
	x.limit = reply.Limit
	if reply.Limit.Stated {
		x.forwarder.config.Metrics.limited()
	}
	x.forwarder.config.Decider.LimitReceived(ctx, messenger.ServerLimitReceived{
		Server: s.Server,
		Sent:   sent,
		Limit:  reply.Limit,
	})
}

func succeeded(status int) bool { return status >= 200 && status < 300 }

// broken classifies an attempt that brought no answer, or no whole one.
func (x *exchange) broken(s messenger.SendExchange, bound *watch, t *trail, err error) ending {
	e := ending{
		result: messenger.AttemptBroken,
		reason: err.Error(),
	}
	switch {
	case x.r.Context().Err() != nil:
		e.result = ""
		e.over = true
		e.abort = true
		e.reason = "caller left"
	case bound.expired.Load():
		return x.expire()
	case bound.silent.Load():
		e.result = messenger.AttemptTimedOut
	}
	if !e.over && !t.written.Load() {
		e.result = messenger.AttemptNotSent
	}
	e.serverEnded = x.serverEnded(s, e.result, err)
	return e
}

// serverEnded reports whether the server's process is gone after an attempt that
// ended with err. A connection that breaks does not say so by itself: it may have
// been reset, or the server's answer torn.
func (x *exchange) serverEnded(s messenger.SendExchange, result messenger.AttemptResult, err error) bool {
	switch result {
	case messenger.AttemptNotSent:
		return dialer.Refused(err)
	case messenger.AttemptBroken:
		return dialer.RefusedAt(x.r.Context(), s.Address)
	}
	return false
}

// expire answers a caller whose time, or whose route's, is over.
func (x *exchange) expire() ending {
	e := ending{
		result: messenger.AttemptTimedOut,
		reason: string(messenger.ReasonDeadlineExpired),
		over:   true,
		abort:  x.answering,
	}
	if !x.answering {
		x.writeStatus(http.StatusGatewayTimeout)
	}
	return e
}

// outgoing returns the request as a server gets it.
func (x *exchange) outgoing(ctx context.Context, s messenger.SendExchange, t *trail) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { t.written.Store(true) },
	})
	path, query, _ := strings.Cut(x.r.RequestURI, "?")
	request := (&http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       s.Address,
			Opaque:     path,
			RawQuery:   query,
			ForceQuery: query == "" && strings.HasSuffix(x.r.RequestURI, "?"),
		},
		Host:          x.r.Host,
		Header:        passed(x.r.Header),
		Body:          &once{Reader: bytes.NewReader(x.body)},
		ContentLength: int64(len(x.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if strings.HasPrefix(path, "//") || !strings.HasPrefix(path, "/") {
		// The library would take such a path for an address.
		request.URL.Opaque = ""
		request.URL.Path = x.r.URL.Path
		request.URL.RawPath = x.r.URL.RawPath
	}
	left := s.Deadline.Sub(x.forwarder.config.Clock.Now())
	x.forwarder.config.Protocol.WriteHead(request.Header, s, left, x.lastEvent)
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = nil // Else the library names itself.
	}
	return request, nil
}

// once is a body that the library can't send again by itself: it would repeat
// a request whose connection broke, and only the decider may do that.
type once struct{ io.Reader }

// Close implements io.Closer.
func (*once) Close() error { return nil }

// whole holds an answer until it is read to its end, so that one that breaks
// off may still be asked for elsewhere, and passes it on.
func (x *exchange) whole(ctx context.Context, s messenger.SendExchange, bound *watch, response *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxAnswer)+1))
	if err != nil {
		return x.broken(s, bound, wasWritten(), err)
	}
	if int64(len(body)) > int64(maxAnswer) {
		return x.long(ctx, s, bound, response, body)
	}
	answer := &held{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		x.failure = answer
		return ending{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	}
	x.beganNow(ctx, s)
	x.writeHeld(answer)
	return ending{
		result: messenger.AttemptComplete,
		over:   true,
	}
}

// long passes on an answer that is too long to be held.
func (x *exchange) long(ctx context.Context, s messenger.SendExchange, bound *watch, response *http.Response, first []byte) ending {
	bound.heard(0)
	x.beganNow(ctx, s)
	x.writeHead(response.StatusCode, response.Header)
	if _, err := x.w.Write(first); err != nil {
		return gone(err)
	}
	if _, err := io.Copy(x.w, response.Body); err != nil {
		return ending{
			result:      messenger.AttemptBroken,
			reason:      err.Error(),
			over:        true,
			abort:       true,
			serverEnded: x.serverEnded(s, messenger.AttemptBroken, err),
		}
	}
	return ending{
		result: messenger.AttemptComplete,
		over:   true,
	}
}

// gone is the end of an exchange whose caller takes nothing any more.
func gone(err error) ending {
	return ending{
		reason: err.Error(),
		over:   true,
		abort:  true,
	}
}

// wasWritten is the trail of a request that was answered.
func wasWritten() *trail {
	t := &trail{}
	t.written.Store(true)
	return t
}

// beganNow notes the first byte, or the first event, of an attempt's answer.
func (x *exchange) beganNow(ctx context.Context, s messenger.SendExchange) {
	if !x.began {
		x.first = x.forwarder.config.Clock.Now().Sub(x.received)
		x.forwarder.config.Metrics.first(x.first)
	}
	x.began = true
	x.forwarder.config.Decider.Began(ctx, messenger.ExchangeBegan{
		Exchange: x.id,
		Attempt:  s.Attempt,
	})
}

// heardEvents notes the pause before events.
func (x *exchange) heardEvents(events []byte) {
	now := x.forwarder.config.Clock.Now()
	if x.events == 0 {
		x.eventsFrom = now
	}
	x.events += bytes.Count(events, eventEnd)
	if x.lastAt != 0 {
		x.gap = max(x.gap, now.Sub(x.lastAt))
	}
	x.lastAt = now
}
