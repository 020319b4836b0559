// Package adapter holds the clients of the external services: the platform's log, VM
// list, cloud API and weight store (Log, Lister, Cloud, Weights), the model engines
// (Engine) and the plain servers (Plain).
//
// The clients make no decisions. They report precisely what is known about a failed
// call, since that decides whether it may be repeated:
//
//   - NotSentError: no byte of the request was sent. It did not run.
//   - RefusedError: the server guarantees that the request did not run.
//   - RateLimitedError: the platform rejected the call; it had no effect.
//   - UnavailableError: the platform was unreachable, or a call without effect
//     failed.
//   - ConnectionError, ResponseTimeoutError: the connection ended early or
//     stalled; the call may have run.
//   - AmbiguousError: the call to the platform may have had its effect.
//   - ServerFailedError: the server ran the request and reports that it failed.
//   - StaleFenceError, UnknownStreamError, BuyRefusedError: as named.
//
// Each call sends its request at most once. net/http retries a request by itself
// only on a reused connection, so calls with an effect use a new connection.
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
	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/rationer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The defaults of Timeouts, and the limits of all clients.
const (
	DefaultDialTimeout = timekeeper.Second
	DefaultCallTimeout = 3 * timekeeper.Second
	// maxReply bounds an answer that is read whole, in bytes.
	maxReply = 32 << 20
	// maxIdlePerHost allows for one long poll on each stream of the log.
	maxIdlePerHost = 16
	// maxErrorBody bounds the body of an error answer, in bytes.
	maxErrorBody = 64 << 10
	// maxHead bounds the head of an answer, in bytes. A plain server may set cookies.
	maxHead = 64 << 10
	// maxShortReply is the size up to which answers of the platform and of polls are read
	// at once. Of longer ones a client reads maxLongReplies at a time.
	maxShortReply  identifier.Bytes = 1 << 20
	maxLongReplies                  = 1
)

// Timeouts holds the timeouts of a client.
type Timeouts struct {
	// Dial is the timeout for opening a connection.
	Dial timekeeper.Duration
	// Call is the timeout of a whole call, without the waiting time of a long poll.
	Call timekeeper.Duration
}

func (timeouts Timeouts) withDefaults() Timeouts {
	timeouts.Dial = cmp.Or(timeouts.Dial, DefaultDialTimeout)
	timeouts.Call = cmp.Or(timeouts.Call, DefaultCallTimeout)
	return timeouts
}

// client is an HTTP client with timeouts.
type client struct {
	timeouts Timeouts
	http     http.Client
	rationer *rationer.Rationer
}

// newClient returns a client that reuses connections.
func newClient(timeouts Timeouts) *client {
	return newClientWith(timeouts, false)
}

// newUnpooledClient returns a client that opens a connection for every request: a
// pooled one may have stalled, and net/http may send a request twice if a pooled
// connection closes.
func newUnpooledClient(timeouts Timeouts) *client {
	return newClientWith(timeouts, true)
}

func newClientWith(timeouts Timeouts, unpooled bool) *client {
	timeouts = timeouts.withDefaults()
	dial := dialer.DetectResets((&net.Dialer{Timeout: timeouts.Dial.Std()}).DialContext)
	return &client{
		timeouts: timeouts,
		http: http.Client{
			Transport: &answerreader.Transport{
				Transport: &http.Transport{
					DialContext:            dial,
					DisableKeepAlives:      unpooled,
					DisableCompression:     true,
					MaxIdleConnsPerHost:    maxIdlePerHost,
					IdleConnTimeout:        (30 * timekeeper.Second).Std(),
					MaxResponseHeaderBytes: maxHead,
				},
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		rationer: rationer.New(rationer.Config{
			Short: maxShortReply,
			Long:  maxLongReplies,
		}),
	}
}

// close closes the idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// call is an HTTP request.
type call struct {
	method  string
	address string
	path    string
	header  http.Header
	body    []byte
	// maxReply bounds the answer of callJSON; zero means maxReply.
	maxReply int64
}

func (c call) url() string { return "http://" + c.address + c.path }

// do sends the request. Its error is a *NotSentError if no byte of the request can have
// been sent, otherwise a *ConnectionError.
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
		// The transport sends nothing before it has assigned a connection to the
		// request, which GotConn reports.
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

// cause returns the cause of the context's cancellation, or err if the context is not
// cancelled.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// callJSON makes a call and decodes the JSON answer into reply, which may be nil. A
// status other than 2xx is a *StatusError.
func (c *client) callJSON(ctx context.Context, req call, reply any) error {
	response, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	response.Body = c.rationer.Body(ctx, response.Body)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return statusError(req.address, response)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, cmp.Or(req.maxReply, maxReply)))
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

// callJSONWithTimeout is callJSON with the client's timeout plus extra.
func (c *client) callJSONWithTimeout(ctx context.Context, req call, reply any, extra timekeeper.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, (c.timeouts.Call + extra).Std())
	defer cancel()
	return c.callJSON(ctx, req, reply)
}

// get is callJSONWithTimeout for a GET request.
func (c *client) get(ctx context.Context, address, path string, reply any, extra timekeeper.Duration) error {
	return c.callJSONWithTimeout(ctx, call{
		method:  http.MethodGet,
		address: address,
		path:    path,
	}, reply, extra)
}

// statusError returns the error for an answer that is not a success.
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

// retryAfter returns the time after which the server asks for a retry, or zero.
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

// postJSON returns a call that posts body as JSON.
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
