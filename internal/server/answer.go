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

// reading says how a caller reads an answer.
type reading struct {
	stream bool
	// after is what the caller has of a stream.
	after position
	// verdict bounds the wait for the verdict.
	verdict timekeeper.Duration
}

// answer gives a caller its answer, or tells why there is none.
func (s *Server) answer(ctx iris.Context, a *answerer.Answer, r reading) {
	verdict, err := s.awaitVerdict(ctx, a, r.verdict)
	switch {
	case err != nil:
		s.writeNoVerdict(ctx, a, err)
	case !verdict.Accepted:
		problemOf(a.Request(), verdict.Refusal).write(ctx)
	case r.stream:
		s.stream(ctx, a, r.after)
	default:
		s.whole(ctx, a)
	}
}

func (s *Server) awaitVerdict(ctx iris.Context, a *answerer.Answer, limit timekeeper.Duration) (answerer.Verdict, error) {
	bounded, cancel := context.WithTimeout(ctx.Request().Context(), limit.Std())
	defer cancel()
	return a.Verdict(bounded)
}

// writeNoVerdict answers a request whose verdict did not come in time. It may
// still be accepted, so its outcome is unknown.
func (s *Server) writeNoVerdict(ctx iris.Context, a *answerer.Answer, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		return // The caller is gone.
	}
	p := refused(http.StatusGatewayTimeout, ReasonNoVerdict, "the request was neither accepted nor refused in time")
	p.Outcome = messenger.Unknown
	p.Request = a.Request()
	p.write(ctx)
}

// whole answers in one piece. Nothing of the response leaves before the end is
// known, so that a caller never takes half an answer for a whole one.
func (s *Server) whole(ctx iris.Context, a *answerer.Answer) {
	text, end, err := collect(ctx.Request().Context(), a)
	if err != nil {
		return // The caller is gone; the request goes on without it.
	}
	s.extendWrites(ctx)
	switch {
	case end.MovedTo != "":
		redirect(ctx, end.MovedTo, a.Request())
	case end.Status != 0:
		writeReply(ctx, a.Request(), end)
	case end.Outcome == messenger.Done:
		ctx.Header(HeaderRequestID, string(a.Request()))
		ctx.Header(HeaderOutcome, string(end.Outcome))
		writeJSON(ctx, wholeCompletion(a, s.clock.Now(), text))
	default:
		problemOf(a.Request(), refusalOf(end)).write(ctx)
	}
}

// completion is the text of a whole answer and its number of tokens.
type completion struct {
	text   string
	tokens identifier.Tokens
}

// collect waits for the end of an answer.
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

// hopHeaders are the headers of a backend server's reply that are about its
// own connection, or that this server sets itself.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Date":              true,
	"Keep-Alive":        true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	HeaderOutcome:       true,
}

// writeReply passes on the reply of a plain service.
func writeReply(ctx iris.Context, request identifier.RequestID, end *answerer.End) {
	for name, value := range end.Header {
		if name = http.CanonicalHeaderKey(name); !hopHeaders[name] {
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
