package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxBodyTime bounds the time to read a request's body if the caller states no time limit.
const maxBodyTime = 30 * timekeeper.Second

var _ error = (*BodiesFullError)(nil)

// BodiesFullError reports that the bodies of all requests together exceed their bound.
type BodiesFullError struct{}

func (e *BodiesFullError) Error() string { return "too many bytes of requests in memory" }

// heldBody is a request's body that counts towards the bound of all bodies as it is read.
type heldBody struct {
	io.Reader
	forwarder *Forwarder
	read      int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if b.forwarder.bufferedBytes.Add(int64(n)) > int64(maxBufferedBodies) {
		return n, &BodiesFullError{}
	}
	return n, err
}

// readBody reads the body of the request. What it returns counts towards the bound of all bodies
// until the exchange ends. The error is a *BodiesFullError, a *http.MaxBytesError, or one of the
// connection, which has a deadline: a caller may send a body without end, as slowly as it likes.
func (x *exchange) readBody(limit identifier.Bytes) ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	if err := x.limitBodyTime(); err != nil {
		return nil, err
	}
	held := &heldBody{
		Reader:    http.MaxBytesReader(x.w, x.r.Body, int64(limit)),
		forwarder: x.forwarder,
	}
	body, err := io.ReadAll(held)
	if err == nil {
		err = x.setReadDeadline(time.Time{})
	}
	if err != nil {
		x.forwarder.bufferedBytes.Add(-held.read)
		return nil, err
	}
	return body, nil
}

// limitBodyTime sets the time by which the body must have been read.
func (x *exchange) limitBodyTime() error {
	limit := x.head.TimeLimit
	if limit <= 0 || limit > maxBodyTime {
		limit = maxBodyTime
	}
	return x.setReadDeadline(time.Now().Add(limit.Std()))
}

func (x *exchange) setReadDeadline(t time.Time) error {
	return http.NewResponseController(x.w).SetReadDeadline(t)
}
