package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// attemptEnd is the result of an attempt.
type attemptEnd struct {
	result messenger.AttemptResult
	reason string
	// done reports that the caller received its final answer or disconnected. If abort
	// is set too, the caller's connection must be reset, so that the answer does not
	// look complete.
	done       bool
	abort      bool
	retryAfter timekeeper.Duration
	// serverEnded reports that the server's address refuses connections.
	serverEnded bool
	// pathFailed reports that no connection could be opened, for reasons that say nothing
	// about the server.
	pathFailed bool
	// answered reports that the server has answered the request, so that the connection may
	// serve others.
	answered bool
	// closed reports that the attempt's connection was closed, so that the server drops the request.
	closed bool
	// stale reports that nothing was attempted, because the decision took too long.
	stale bool
	// takeover is the attempt that replaces this one, if that was decided.
	takeover takeover
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server and passes on its answer, unless another server
// takes over.
func (x *exchange) attempt(ctx context.Context, s messenger.SendExchange) attemptEnd {
	x.connection = &connection{
		path:     s.Path,
		unshared: slices.Contains(x.addresses, s.Address),
	}
	x.addresses = append(x.addresses, s.Address)
	ctx, timer := x.startTimer(ctx, s, x.connection)
	defer timer.release()
	end := x.tryServer(ctx, s, timer)
	if end.result != messenger.AttemptComplete && !end.answered {
		end.closed = x.connection.close()
		x.forwarder.config.Metrics.connectionClosed(end)
	}
	if end.done {
		return end
	}
	if x.mayRunOn(s, end) {
		x.unreleased = &unreleasedAttempt{
			send:       s,
			connection: x.connection,
		}
	}
	end.takeover = timer.takeover()
	return end
}

// tryServer sends the request to one server and passes on its answer.
func (x *exchange) tryServer(ctx context.Context, s messenger.SendExchange, timer *attemptTimer) attemptEnd {
	c := x.connection
	sent := x.forwarder.config.Clock.Now()
	response, err := x.roundTrip(ctx, s, c)
	x.reportPath(ctx, s, c)
	if err != nil {
		return x.classifyFailure(s, timer, err)
	}
	defer func() { _ = response.Body.Close() }()
	reply := x.forwarder.config.Protocol.ReadReply(response.StatusCode, response.Header)
	if !x.ofAnother(reply) && !reply.Misdirected {
		x.reportLimit(ctx, s, sent, reply)
		x.reportLeaving(ctx, s, sent, reply)
		x.reportBrittle(ctx, s, sent, reply)
		x.recordBackoff(reply)
	}
	end := x.passReply(ctx, s, timer, response, reply)
	end.answered = reply.Request == x.head.Request && (reply.NotRun || end.result == messenger.AttemptFailed)
	return end
}

// passReply passes on the answer with the given head, or classifies it if that is not possible.
func (x *exchange) passReply(ctx context.Context, s messenger.SendExchange, timer *attemptTimer, response *http.Response, reply Reply) attemptEnd {
	switch {
	case x.ofAnother(reply):
		// A late answer to another request on this connection.
		return attemptEnd{
			result: messenger.AttemptBroken,
			reason: "answer of another request",
		}
	case reply.NotRun && reply.Request == "":
		// It may answer something else that the server has read on this connection.
		return attemptEnd{
			result: messenger.AttemptBroken,
			reason: "rejection that names no request",
		}
	case reply.Misdirected:
		return attemptEnd{
			result: messenger.AttemptMisdirected,
			reason: response.Status,
		}
	case reply.NotRun:
		return attemptEnd{
			result:     messenger.AttemptRefused,
			reason:     response.Status,
			retryAfter: reply.RetryAfter,
		}
	case promisesNotRun(response.StatusCode):
		// The server does not state that it did not run the request, so the caller
		// must not be told so.
		return attemptEnd{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	case succeeded(response.StatusCode) && !reply.Signed:
		return attemptEnd{
			result: messenger.AttemptBroken,
			reason: "success without signature",
		}
	case x.headSent && !succeeded(response.StatusCode):
		return attemptEnd{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	case s.Route.Stream && succeeded(response.StatusCode):
		return x.stream(ctx, s, timer, response)
	}
	return x.passBuffered(ctx, s, timer, response)
}

// ofAnother reports whether an answer belongs to another request.
func (x *exchange) ofAnother(reply Reply) bool {
	return reply.Request != "" && reply.Request != x.head.Request
}

// reportLimit reports the limit that a server states in its answer, or that it no
// longer states one. An unsigned answer does not lift a limit, since it may come from an
// intermediary.
func (x *exchange) reportLimit(ctx context.Context, s messenger.SendExchange, sent timekeeper.Time, reply Reply) {
	lifted := s.Limited && reply.Signed
	if !reply.Limit.Stated && !lifted {
		return
	}
	x.statedLimit = reply.Limit
	if reply.Limit.Stated {
		x.forwarder.config.Metrics.limitStated()
	}
	x.forwarder.config.Decider.LimitReceived(ctx, messenger.ServerLimitReceived{
		Server: s.Server,
		Sent:   sent,
		Limit:  reply.Limit,
	})
}

// reportLeaving reports that a server states in its answer that it is leaving.
func (x *exchange) reportLeaving(ctx context.Context, s messenger.SendExchange, sent timekeeper.Time, reply Reply) {
	x.serverLeaving = reply.Leaving
	if !reply.Leaving {
		return
	}
	x.forwarder.config.Metrics.leavingStated()
	x.forwarder.config.Decider.LeavingReceived(ctx, messenger.ServerLeavingReceived{
		Server: s.Server,
		Sent:   sent,
	})
}

// reportBrittle reports that a server states to be brittle, or no longer does. As with limits,
// an unsigned answer does not end it.
func (x *exchange) reportBrittle(ctx context.Context, s messenger.SendExchange, sent timekeeper.Time, reply Reply) {
	x.brittle = reply.Brittle.Stated
	if reply.Brittle.Malformed {
		x.forwarder.config.Metrics.brittleMalformed()
		x.forwarder.config.Logger.Warn("brittle statement ignored", "request", x.head.Request, "server", s.Server)
		return
	}
	ended := s.Brittle && reply.Signed
	if !reply.Brittle.Stated && !ended {
		return
	}
	if reply.Brittle.Stated {
		x.forwarder.config.Metrics.brittleStated(reply.NotRun)
	}
	x.forwarder.config.Decider.BrittleReceived(ctx, messenger.ServerBrittleReceived{
		Server:  s.Server,
		Sent:    sent,
		Brittle: reply.Brittle,
	})
}

// recordBackoff records the time for which a server asks this node to send it no requests.
func (x *exchange) recordBackoff(reply Reply) {
	x.backoff = reply.Backoff
	if reply.Backoff > 0 {
		x.forwarder.config.Metrics.backoffStated()
	}
}

func succeeded(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether a status tells callers that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classifyFailure returns the end of an attempt that brought no complete answer.
func (x *exchange) classifyFailure(s messenger.SendExchange, timer *attemptTimer, err error) attemptEnd {
	e := attemptEnd{
		result: messenger.AttemptBroken,
		reason: err.Error(),
	}
	switch {
	case x.r.Context().Err() != nil:
		e.result = ""
		e.done = true
		e.abort = true
		e.reason = "caller left"
	case timer.expired.Load():
		return x.expire()
	case timer.abandoned.Load():
		e.result = messenger.AttemptTimedOut
	}
	if !e.done && !x.connection.written.Load() {
		e.result = messenger.AttemptNotSent
	}
	// A broken connection is not enough evidence of the server's end: it may have been
	// reset, or the answer truncated.
	switch tried := x.connection.tried(s.Server); e.result {
	case messenger.AttemptNotSent:
		e.pathFailed = tried.PathFailed()
		e.serverEnded = tried.ServerRefuses()
	case messenger.AttemptBroken:
		e.serverEnded = !x.isMoving(s) && x.serverEnded(s, x.connection)
	}
	return e
}

// isMoving reports whether the stream of an attempt broke because it is being moved.
func (x *exchange) isMoving(s messenger.SendExchange) bool {
	return s.Movable && x.forwarder.config.Decider.Moving(x.r.Context(), x.id)
}

// expire ends an exchange whose deadline has passed.
func (x *exchange) expire() attemptEnd {
	e := attemptEnd{
		result: messenger.AttemptTimedOut,
		reason: string(messenger.ReasonDeadlineExpired),
		done:   true,
		abort:  x.headSent,
	}
	if !x.headSent {
		x.writeStatus(http.StatusGatewayTimeout)
	}
	return e
}

// serverRequest returns the request to send to a server.
func (x *exchange) serverRequest(ctx context.Context, s messenger.SendExchange, c *connection) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      c.gotConn,
		WroteHeaders: func() { c.written.Store(true) },
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
		Header:        endToEndHeaders(x.r.Header),
		Body:          &singleUseBody{Reader: bytes.NewReader(x.body)},
		ContentLength: int64(len(x.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if strings.HasPrefix(path, "//") || !strings.HasPrefix(path, "/") {
		// net/http would parse such a path as an authority.
		request.URL.Opaque = ""
		request.URL.Path = x.r.URL.Path
		request.URL.RawPath = x.r.URL.RawPath
	}
	remaining := s.Deadline.Sub(x.forwarder.config.Clock.Now())
	x.forwarder.config.Protocol.WriteHead(request.Header, s, remaining, x.lastEvent)
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = nil // Otherwise net/http adds its own.
	}
	return request
}

// singleUseBody is a body that net/http can't resend. It would otherwise repeat a
// request whose connection broke, which only the decider may do.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (*singleUseBody) Close() error { return nil }

// passBuffered reads an answer to its end before it passes it on, so that a truncated
// one can still be retried on another server.
func (x *exchange) passBuffered(ctx context.Context, s messenger.SendExchange, timer *attemptTimer, response *http.Response) attemptEnd {
	buffer := answerBuffer{answers: x.forwarder.longAnswers}
	defer buffer.release()
	body, err := buffer.readAll(response.Body)
	var long *LongAnswerError
	if errors.As(err, &long) {
		return x.passLong(ctx, s, timer, response, body)
	}
	if err != nil {
		return x.classifyFailure(s, timer, err)
	}
	if x.mayBeCut(s, response) {
		return x.classifyFailure(s, timer, &ServerEndedError{Server: s.Server})
	}
	answer := &bufferedAnswer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		x.serverFailure = answer
		return attemptEnd{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	}
	x.recordBegan(ctx, s, response)
	x.writeBuffered(answer)
	return attemptEnd{
		result: messenger.AttemptComplete,
		done:   true,
	}
}

// passLong passes on an answer that is too long to be buffered. A failure, which may have no end,
// is passed on only if no other server takes over.
func (x *exchange) passLong(ctx context.Context, s messenger.SendExchange, timer *attemptTimer, response *http.Response, prefix []byte) attemptEnd {
	if response.StatusCode >= http.StatusInternalServerError && timer.replace(stall{result: messenger.AttemptFailed}) {
		return attemptEnd{
			result: messenger.AttemptFailed,
			reason: response.Status,
		}
	}
	return x.passUnbuffered(ctx, s, timer, response, prefix)
}

// passUnbuffered passes on an answer that is too long to be buffered.
func (x *exchange) passUnbuffered(ctx context.Context, s messenger.SendExchange, timer *attemptTimer, response *http.Response, prefix []byte) attemptEnd {
	if timer.takeover().decided() {
		return x.classifyFailure(s, timer, ctx.Err())
	}
	x.recordBegan(ctx, s, response)
	x.writeHead(response.StatusCode, response.Header)
	if _, err := x.w.Write(prefix); err != nil {
		return callerDisconnected(err)
	}
	_, err := io.Copy(x.w, response.Body)
	if err == nil && x.mayBeCut(s, response) {
		err = &ServerEndedError{Server: s.Server}
	}
	if err != nil {
		return attemptEnd{
			result:      messenger.AttemptBroken,
			reason:      err.Error(),
			done:        true,
			abort:       true,
			serverEnded: x.serverEnded(s, x.connection),
		}
	}
	return attemptEnd{
		result: messenger.AttemptComplete,
		done:   true,
	}
}

// callerDisconnected returns the end of an exchange whose caller could not be written
// to.
func callerDisconnected(err error) attemptEnd {
	return attemptEnd{
		reason: err.Error(),
		done:   true,
		abort:  true,
	}
}

// recordBegan reports the first byte or event of an attempt's answer to the decider.
func (x *exchange) recordBegan(ctx context.Context, s messenger.SendExchange, response *http.Response) {
	if !x.responseBegan {
		x.timeToFirst = x.forwarder.config.Clock.Now().Sub(x.received)
		x.forwarder.config.Metrics.recordFirstEvent(x.timeToFirst)
	}
	x.responseBegan = true
	x.forwarder.config.Decider.Began(ctx, messenger.ExchangeBegan{
		Exchange: x.id,
		Attempt:  s.Attempt,
		Peer:     x.connection.via(),
		Framed:   isFramed(response),
	})
}

// recordEvents updates the event count and the longest gap between events.
func (x *exchange) recordEvents(events []byte) {
	now := x.forwarder.config.Clock.Now()
	if x.eventCount == 0 {
		x.firstEventAt = now
	}
	x.eventCount += bytes.Count(events, eventEnd)
	if x.lastEventAt != 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}
