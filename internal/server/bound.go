package server

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const bearerPrefix = "Bearer "

// bearerToken returns the key of a request, or "" if it has none.
func bearerToken(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// responseController returns a controller for the net/http response writer that
// underlies ctx.
func responseController(ctx iris.Context) *http.ResponseController {
	return http.NewResponseController(ctx.ResponseWriter().Naive())
}

// limitWriteTime sets the deadline for the first write of a response. Without
// it a caller that stops reading would occupy the goroutine and its buffers
// indefinitely, since the HTTP server has no write timeout.
func (s *Server) limitWriteTime(ctx iris.Context) {
	s.extendWriteDeadline(ctx)
	ctx.Next()
}

// extendWriteDeadline gives the next write the full timeout, so that a stream
// stays open as long as the caller reads each part in time.
func (s *Server) extendWriteDeadline(ctx iris.Context) {
	// A response writer without a connection, as in tests, does not support
	// deadlines.
	_ = responseController(ctx).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout.Std()))
}

// writeAll writes the body of a response. It ignores errors, since they mean
// that the caller disconnected.
func writeAll(ctx iris.Context, data []byte) {
	_, _ = ctx.ResponseWriter().Write(data)
}

// limitBodyTime sets the deadline for reading a body before any handler runs.
// If a handler does not read the body, for example after a bad key, net/http
// reads the rest before and after it sends the response, without a timeout. A
// caller that sends a partial body would then get no response and would occupy
// a goroutine indefinitely, even if it is not authenticated. With "Connection:
// close" net/http sends the response first, and the deadline ends the read
// after it. readBody reverts both once it has the whole body.
func (s *Server) limitBodyTime(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.BodyTimeout.Std()))
}

// readBody reads a request's whole body, up to limit bytes, before the deadline
// that limitBodyTime set.
//
// It clears the deadline afterwards. net/http keeps reading the connection to
// detect that the caller disconnects, and a read deadline that expired during
// a long answer would look like a disconnect.
func (s *Server) readBody(ctx iris.Context, limit identifier.Bytes) ([]byte, *Problem) {
	r := ctx.Request()
	if r.ContentLength > int64(limit) {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter().Naive(), r.Body, int64(limit)))
	if err != nil {
		return nil, s.bodyProblem(err, limit)
	}
	_ = responseController(ctx).SetReadDeadline(time.Time{})
	ctx.ResponseWriter().Header().Del("Connection")
	return body, nil
}

func (s *Server) bodyProblem(err error, limit identifier.Bytes) *Problem {
	var sizeErr *http.MaxBytesError
	switch {
	case errors.As(err, &sizeErr):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newProblem(http.StatusRequestTimeout, ReasonBodyIncomplete,
			"the body did not arrive within %s", s.limits.BodyTimeout)
	}
	return newProblem(http.StatusBadRequest, ReasonBodyIncomplete, "the body broke off: %v", err)
}

func bodyTooLarge(limit identifier.Bytes) *Problem {
	return newProblem(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge,
		"the body is larger than %d bytes", limit)
}
