package adapter

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Plain is a client of the plain servers, the backend servers that are not model
// engines. Each method takes a server's host:port. It is safe for concurrent use.
type Plain struct {
	config ServerConfig
	calls  *client
	polls  *client
}

// NewPlain returns a Plain with the given settings.
func NewPlain(c ServerConfig) *Plain {
	return &Plain{
		config: c,
		calls:  newUnpooledClient(c.Timeouts),
		polls:  newClient(c.Timeouts),
	}
}

// Close closes the idle connections.
func (p *Plain) Close() {
	p.calls.close()
	p.polls.close()
}

// PlainCall describes a call to a plain server.
type PlainCall struct {
	Request identifier.RequestID
	Method  string
	// Path is the path after /call/ on the server, including a query.
	Path        string
	ContentType string
	Body        []byte
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining timekeeper.Duration
}

// PlainReply is the complete answer of a plain server.
type PlainReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call makes one call and reads the whole answer. Statuses below 500 are not errors,
// unless the server did not run the request. Its errors are *NotSentError,
// *RefusedError, *ConnectionError, *ResponseTimeoutError and *ServerFailedError.
func (p *Plain) Call(ctx context.Context, address string, c PlainCall, timeouts ResponseTimeouts) (PlainReply, error) {
	ctx, timer := newResponseTimer(ctx, address, timeouts, systemAfter)
	defer timer.stop()
	response, err := p.calls.do(ctx, call{
		method:  c.Method,
		address: address,
		path:    "/call/" + strings.TrimPrefix(c.Path, "/"),
		header:  c.header(),
		body:    c.Body,
	})
	if err != nil {
		return PlainReply{}, timeoutError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	timer.reset()
	refused := response.Header.Get(encoder.OutcomeHeader) == encoder.OutcomeNotRun
	if refused || response.StatusCode >= http.StatusInternalServerError {
		return PlainReply{}, serverError(statusError(address, response))
	}
	body, err := io.ReadAll(&timedReader{
		reader: http.MaxBytesReader(nil, response.Body, maxReply),
		timer:  timer,
	})
	if err != nil {
		return PlainReply{}, timeoutError(ctx, &ConnectionError{
			Address: address,
			Cause:   cause(ctx, err),
		})
	}
	return PlainReply{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}, nil
}

func (c PlainCall) header() http.Header {
	header := http.Header{}
	header.Set(encoder.RequestIDHeader, string(c.Request))
	if c.ContentType != "" {
		header.Set("Content-Type", c.ContentType)
	}
	if c.Remaining > 0 {
		header.Set(encoder.DeadlineHeader, strconv.FormatInt(int64(c.Remaining), 10))
	}
	return header
}

// Load returns the load of a plain server.
func (p *Plain) Load(ctx context.Context, address string) (messenger.ServerLoad, error) {
	return pollLoad(ctx, p.polls, p.config.clock(), address)
}

// timedReader resets a responseTimer at every read that returns data.
type timedReader struct {
	reader io.Reader
	timer  *responseTimer
}

var _ io.Reader = (*timedReader)(nil)

func (r *timedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.timer.reset()
	}
	return n, err
}
