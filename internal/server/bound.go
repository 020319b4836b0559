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

// bearer returns the key of a request, or "".
func bearer(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// controller returns the controller of the connection under ctx.
func controller(ctx iris.Context) *http.ResponseController {
	return http.NewResponseController(ctx.ResponseWriter().Naive())
}

// boundWrites starts the bound on the first write of a response. Without it a
// caller that stops reading would keep the goroutine and its buffers for good,
// since the HTTP server has no write timeout.
func (s *Server) boundWrites(ctx iris.Context) {
	s.extendWrites(ctx)
	ctx.Next()
}

// extendWrites gives the next write its own full time, so that a stream lives
// as long as its reader takes each part in time.
func (s *Server) extendWrites(ctx iris.Context) {
	// A response writer without deadlines, as in tests without a connection,
	// has nothing to bound.
	_ = controller(ctx).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout.Std()))
}

// writeAll writes data as the rest of the response. A caller that is gone can
// be told nothing, so the error is dropped.
func writeAll(ctx iris.Context, data []byte) {
	_, _ = ctx.ResponseWriter().Write(data)
}

// boundBody bounds the wait for a body before anyone reads it. What a handler
// leaves of it, as after a bad key, net/http reads itself, before the response
// and again after it, and without a bound: a caller that sends half would wait
// for its answer for good and keep a goroutine, whoever it is. With the header
// net/http lets the response out first, and the deadline ends what it reads
// afterwards. readBody lifts both once it has the whole body.
func (s *Server) boundBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.BodyTimeout.Std()))
}

// readBody reads a request's whole body within a bound on its size; boundBody
// has set the one on its time.
//
// The time bound is lifted again afterwards: net/http goes on reading the
// connection to notice a caller that leaves, and a read deadline that passed
// in the middle of a long answer would look like one.
func (s *Server) readBody(ctx iris.Context, limit identifier.Bytes) ([]byte, *Problem) {
	r := ctx.Request()
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter().Naive(), r.Body, int64(limit)))
	if err != nil {
		return nil, s.bodyProblem(err, limit)
	}
	_ = controller(ctx).SetReadDeadline(time.Time{})
	ctx.ResponseWriter().Header().Del("Connection")
	return body, nil
}

func (s *Server) bodyProblem(err error, limit identifier.Bytes) *Problem {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(http.StatusRequestTimeout, ReasonBodyIncomplete,
			"the body did not arrive within %s", s.limits.BodyTimeout)
	}
	return refused(http.StatusBadRequest, ReasonBodyIncomplete, "the body broke off: %v", err)
}

func tooLarge(limit identifier.Bytes) *Problem {
	return refused(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge,
		"the body is larger than %d bytes", limit)
}
