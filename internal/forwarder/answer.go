package forwarder

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// refusedAgain is when a caller may come back that this node could not serve
// for reasons of its own.
const refusalRetryAfter = 200 * timekeeper.Millisecond

// statuses maps the reasons of refusals to what callers understand. Those of
// 429 and 503 are promises: nothing ran, and nothing will.
var statuses = map[messenger.Reason]int{
	messenger.ReasonUnknownRoute: http.StatusNotFound,
	messenger.ReasonUnknownKey:   http.StatusUnauthorized,
	messenger.ReasonAccountLimit: http.StatusTooManyRequests,
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passed returns the headers that are passed on.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// writeHead writes the head of a server's answer.
func (x *exchange) writeHead(status int, header http.Header) {
	out := x.w.Header()
	for name, values := range endToEndHeaders(header) {
		out[name] = values
	}
	// The library would add these where the server gave none.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	x.status = status
	x.w.WriteHeader(status)
}

// writeHeld writes an answer that is whole.
func (x *exchange) writeBuffered(a *bufferedAnswer) {
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		a.header.Del("Content-Length")
	}
	x.writeHead(a.status, a.header)
	if x.r.Method != http.MethodHead {
		// A caller that is gone learns nothing from the error either.
		_, _ = x.w.Write(a.body)
	}
}

// writeStatus answers with a status of the system's own, without a body.
func (x *exchange) writeStatus(status int) {
	x.status = status
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// refuse answers a request of which nothing ran.
func (x *exchange) refuse(r messenger.Refusal) {
	status, ok := statuses[r.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if r.RetryAfter > 0 {
		x.forwarder.config.Protocol.WriteRetryAfter(x.w.Header(), r.RetryAfter)
	}
	x.writeStatus(status)
	x.log(messenger.AttemptRefused, string(r.Reason))
}

// unavailable refuses a request before anything was decided on it.
func (x *exchange) unavailable(reason string, retryAfter timekeeper.Duration) {
	x.forwarder.config.Protocol.WriteRetryAfter(x.w.Header(), retryAfter)
	x.writeStatus(http.StatusServiceUnavailable)
	x.log(messenger.AttemptRefused, reason)
}

// reject answers a request that is not proper.
func (x *exchange) reject(status int, err error) {
	x.w.Header().Set("Connection", "close")
	x.writeStatus(status)
	reason := http.StatusText(status)
	if err != nil {
		reason = err.Error()
	}
	x.log(messenger.AttemptRefused, reason)
}

// fail ends a request that ran, or may have. A server's own failure is passed
// on; an answer that was begun is broken off, so that it does not look whole.
func (x *exchange) fail(reason messenger.Reason) {
	switch {
	case x.headSent:
		x.log(messenger.AttemptBroken, string(reason))
		panic(http.ErrAbortHandler)
	case x.serverFailure != nil:
		x.writeBuffered(x.serverFailure)
	case reason == messenger.ReasonDeadlineExpired:
		x.writeStatus(http.StatusGatewayTimeout)
	default:
		x.writeStatus(http.StatusBadGateway)
	}
	x.log(messenger.AttemptFailed, string(reason))
}

// hostOf returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// pathOf returns the path as the caller wrote it.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// log tells how an exchange ended.
func (x *exchange) log(result messenger.AttemptResult, reason string) {
	f := x.forwarder
	took := f.config.Clock.Now().Sub(x.received)
	f.config.Metrics.ended(x.status, result, took)
	f.config.Logger.Info("exchange ended",
		"request", x.head.Request,
		"content", x.content.String(),
		"route", x.inputs.Route,
		"account", x.inputs.Account,
		"fingerprint", x.inputs.Fingerprint.String(),
		"limit", x.inputs.Limit,
		"server", x.server,
		"version", x.inputs.Version,
		"server_limit", x.limitText(),
		"attempts", x.attempts,
		"result", result,
		"status", x.status,
		"reason", reason,
		"last_event", x.lastEvent,
		"first_ms", int64(x.timeToFirst),
		"longest_gap_ms", int64(x.longestGap),
		"took_ms", int64(took),
		"prompt_tokens", x.head.PromptTokens,
		"revision", x.inputs.Revision,
		"revision_age_ms", int64(x.inputs.RevisionAge),
		"servers_age_ms", int64(x.inputs.ServersAge),
		"candidates", x.inputs.Candidates,
		"predicted_ms", int64(x.inputs.Predicted),
	)
}

func (x *exchange) logAttempt(s messenger.SendExchange, e attemptEnd) {
	x.forwarder.config.Logger.Info("attempt ended",
		"request", x.head.Request,
		"content", x.content.String(),
		"attempt", s.Attempt,
		"server", s.Server,
		"address", s.Address,
		"version", x.inputs.Version,
		"server_limit", x.limitText(),
		"result", e.result,
		"server_ended", e.serverEnded,
		"reason", e.reason,
		"last_event", x.lastEvent,
		"revision", x.inputs.Revision,
		"servers_age_ms", int64(x.inputs.ServersAge),
		"candidates", x.inputs.Candidates,
		"predicted_ms", int64(x.inputs.Predicted),
	)
}

// limitText is the limit that the server of the last attempt stated, empty for none.
func (x *exchange) limitText() string {
	if !x.statedLimit.Stated {
		return ""
	}
	return strconv.FormatFloat(float64(x.statedLimit.Rate), 'f', -1, 64)
}
