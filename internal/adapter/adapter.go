// Package adapter is the client side of everything that the system stands on:
// the platform's log, VM list, cloud API and weight store (Log, Lister, Cloud,
// Weights), the model engines (Engine) and the plain servers (Plain).
//
// The clients decide nothing. Their one duty is to say truthfully what became
// of a call, because the right to repeat it hangs on that:
//
//   - NotSentError: no byte of the request left. It did not run.
//   - RefusedError: the server promises that it did not run.
//   - RateLimitedError: the platform took nothing.
//   - UnavailableError: the platform could not be reached at all, or a call
//     without effect failed.
//   - ConnectionError, ResponseTimeoutError: the connection ended early or lost its voice;
//     the call may have run.
//   - AmbiguousError: the platform may have taken the effect.
//   - ServerFailedError: the server ran it and says that it failed.
//   - StaleFenceError, UnknownStreamError, BuyRefusedError: as named.
//
// Each call sends its request at most once. net/http repeats a request by
// itself only on a reused connection, so calls with an effect get a fresh one.
package adapter

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The bounds of a client that its Config does not set.
const (
	DefaultDialTimeout = timekeeper.Second
	DefaultCallTimeout = 3 * timekeeper.Second
	// maxReply bounds an answer that is read whole.
	maxReply = 32 << 20
	// maxIdle is enough for one long poll on each stream of the log.
	maxIdlePerHost = 16
	// maxProblem bounds the body of an error answer.
	maxErrorBody = 64 << 10
)

// Bounds are the time limits of a client.
type Timeouts struct {
	// Dial bounds opening a connection.
	Dial timekeeper.Duration
	// Call bounds a whole call, the wait of a long poll not counted.
	Call timekeeper.Duration
}

func (timeouts Timeouts) withDefaults() Timeouts {
	timeouts.Dial = cmp.Or(timeouts.Dial, DefaultDialTimeout)
	timeouts.Call = cmp.Or(timeouts.Call, DefaultCallTimeout)
	return timeouts
}

// client sends requests over one transport.
type client struct {
	timeouts Timeouts
	http     http.Client
}

// newClient returns a client that reuses connections.
func newClient(timeouts Timeouts) *client {
	return newClientWith(timeouts, false)
}

// newFreshClient returns a client that opens a connection for every request:
// a pooled one may have gone silent for good, and net/http may send a request
// twice when a pooled connection closes under it.
func newUnpooledClient(timeouts Timeouts) *client {
	return newClientWith(timeouts, true)
}

func newClientWith(timeouts Timeouts, unpooled bool) *client {
	timeouts = timeouts.withDefaults()
	dialer := &net.Dialer{Timeout: timeouts.Dial.Std()}
	return &client{
		timeouts: timeouts,
		http: http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				DisableKeepAlives:   unpooled,
				DisableCompression:  true,
				MaxIdleConnsPerHost: maxIdlePerHost,
				IdleConnTimeout:     (30 * timekeeper.Second).Std(),
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// close ends the idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// call is one request to make.
type call struct {
	method  string
	address string
	path    string
	header  http.Header
	body    []byte
}

func (c call) url() string { return "http://" + c.address + c.path }

// do sends the request. Its error is a *NotSentError when no byte of it can
// have left, else a *ConnectionError.
func (c *client) do(ctx context.Context, req call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, req.method, req.url(), bytes.NewReader(req.body))
	if err != nil {
		return nil, &NotSentError{
			Address: req.address,
			Cause:   err,
		}
	}
	// Without GetBody net/http can't send the body a second time.
	request.GetBody = nil
	if req.header != nil {
		request.Header = req.header
	}
	response, err := c.http.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		// The transport writes only after it has handed a connection to the
		// request, which GotConn reports: without it nothing left.
		return nil, &NotSentError{
			Address: req.address,
			Cause:   err,
		}
	default:
		return nil, &ConnectionError{
			Address: req.address,
			Cause:   cause(ctx, err),
		}
	}
}

// cause prefers the reason for which a context was ended over the fact that
// it was.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// exchange makes a call and decodes the JSON answer into reply, which may be
// nil. Answers other than 2xx are *StatusError.
func (c *client) callJSON(ctx context.Context, req call, reply any) error {
	response, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return statusError(req.address, response)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxReply))
	if err != nil {
		return &ConnectionError{
			Address: req.address,
			Cause:   cause(ctx, err),
		}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &ConnectionError{
			Address: req.address,
			Cause:   fmt.Errorf("decode answer: %w", err),
		}
	}
	return nil
}

// exchangeBounded is exchange within the client's time limit plus extra.
func (c *client) callJSONWithTimeout(ctx context.Context, req call, reply any, extra timekeeper.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, (c.timeouts.Call + extra).Std())
	defer cancel()
	return c.callJSON(ctx, req, reply)
}

// get is exchangeBounded for a call without a body.
func (c *client) get(ctx context.Context, address, path string, reply any, extra timekeeper.Duration) error {
	return c.callJSONWithTimeout(ctx, call{
		method:  http.MethodGet,
		address: address,
		path:    path,
	}, reply, extra)
}

// statusError reads an answer that is not a success.
func statusError(address string, response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var problem encoder.Problem
	_ = json.Unmarshal(body, &problem)
	return &StatusError{
		Address:    address,
		Status:     response.StatusCode,
		Header:     response.Header,
		Body:       body,
		Text:       problem.Error,
		RetryAfter: retryAfter(response.Header, problem),
	}
}

// retryAfter reads when a server wants its caller back; zero is no wish.
func retryAfter(header http.Header, problem encoder.Problem) timekeeper.Duration {
	if problem.RetryAfterMS > 0 {
		return timekeeper.Duration(problem.RetryAfterMS)
	}
	seconds, err := strconv.ParseUint(header.Get(encoder.RetryAfterHeader), 10, 31)
	if err != nil {
		return 0
	}
	return timekeeper.Duration(seconds) * timekeeper.Second
}

// postJSON builds a call that posts the JSON form of body.
func postJSON(address, path string, body any) (call, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return call{}, &NotSentError{
			Address: address,
			Cause:   fmt.Errorf("encode request: %w", err),
		}
	}
	return call{
		method:  http.MethodPost,
		address: address,
		path:    path,
		header:  http.Header{"Content-Type": []string{"application/json"}},
		body:    text,
	}, nil
}
