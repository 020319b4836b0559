package server

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// answerOptions controls how an answer is written to its caller.
type answerOptions struct {
	stream bool
	// after is the position up to which the caller has received a stream.
	after          position
	verdictTimeout timekeeper.Duration
}

// writeAnswer writes an answer, or the problem that prevents it, to the caller.
func (s *Server) writeAnswer(ctx iris.Context, a *answerer.Answer, options answerOptions) {
	verdict, err := s.awaitVerdict(ctx, a, options.verdictTimeout)
	switch {
	case err != nil:
		s.writeNoVerdict(ctx, a, err)
	case !verdict.Accepted:
		refusalProblem(a.Request(), verdict.Refusal).write(ctx)
	case options.stream:
		s.stream(ctx, a, options.after)
	default:
		s.writeWhole(ctx, a)
	}
}

func (s *Server) awaitVerdict(ctx iris.Context, a *answerer.Answer, limit timekeeper.Duration) (answerer.Verdict, error) {
	verdictCtx, cancel := context.WithTimeout(ctx.Request().Context(), limit.Std())
	defer cancel()
	return a.Verdict(verdictCtx)
}

// writeNoVerdict answers a request without a verdict in time. The node may
// still accept it, so its outcome is unknown.
func (s *Server) writeNoVerdict(ctx iris.Context, a *answerer.Answer, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		return // The caller disconnected.
	}
	p := newProblem(http.StatusGatewayTimeout, ReasonNoVerdict, "the request was neither accepted nor refused in time")
	p.Outcome = messenger.Unknown
	p.Request = a.Request()
	p.write(ctx)
}

// writeWhole writes an answer without streaming. It sends nothing before the
// answer has ended, so that a caller never mistakes a partial answer for a
// complete one.
func (s *Server) writeWhole(ctx iris.Context, a *answerer.Answer) {
	text, end, err := collect(ctx.Request().Context(), a)
	if err != nil {
		return // The caller disconnected; the request continues.
	}
	s.extendWriteDeadline(ctx)
	switch {
	case end.MovedTo != "":
		redirect(ctx, end.MovedTo, a.Request())
	case end.Status != 0:
		writeReply(ctx, a.Request(), end)
	case end.Outcome == messenger.Done:
		ctx.Header(HeaderRequestID, string(a.Request()))
		ctx.Header(HeaderOutcome, string(end.Outcome))
		writeJSON(ctx, newCompletion(a, s.clock.Now(), text))
	default:
		refusalProblem(a.Request(), refusalOf(end)).write(ctx)
	}
}

// completion is a complete answer of a model.
type completion struct {
	text   string
	tokens identifier.Tokens
}

// collect reads an answer until it ends.
func collect(ctx context.Context, a *answerer.Answer) (completion, *answerer.End, error) {
	var (
		text strings.Builder
		last identifier.Tokens
	)
	for {
		pieces, end, err := a.Read(ctx, last)
		if err != nil {
			return completion{}, nil, err
		}
		for _, p := range pieces {
			text.WriteString(p.Text)
			last = p.Index
		}
		if end != nil {
			return completion{
				text:   text.String(),
				tokens: last,
			}, end, nil
		}
	}
}

// unforwardedHeaders are the headers of a backend server's reply that describe
// its own connection, or that this server sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Date":              true,
	"Keep-Alive":        true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	HeaderOutcome:       true,
}

// writeReply forwards the reply of a plain service.
func writeReply(ctx iris.Context, request identifier.RequestID, end *answerer.End) {
	for name, value := range end.Header {
		if name = http.CanonicalHeaderKey(name); !unforwardedHeaders[name] {
			ctx.Header(name, value)
		}
	}
	ctx.Header(HeaderRequestID, string(request))
	ctx.Header(HeaderOutcome, string(end.Outcome))
	ctx.StatusCode(end.Status)
	writeAll(ctx, end.Body)
}

func refusalOf(end *answerer.End) messenger.Refusal {
	return messenger.Refusal{
		Reason:     end.Reason,
		Outcome:    end.Outcome,
		RetryAfter: end.RetryAfter,
	}
}
