package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Result is the result of one request.
type Result struct {
	Arrival Arrival
	Trace   caller.Trace
	// Request is the request's id, or empty if no node returned one.
	Request identifier.RequestID
	// FirstToken and Completion are measured from the scheduled arrival, so
	// that delays in the sender are included.
	FirstToken timekeeper.Duration
	Completion timekeeper.Duration
	Gaps       []timekeeper.Duration
	// Mismatch is set if the answer is wrong or violates the protocol.
	Mismatch error
	// Err is set if there is no complete answer.
	Err error
	// Abandoned reports that the run ended before the request.
	Abandoned bool
}

// sender sends one request through one client.
type sender struct {
	client  *caller.Client
	clock   timekeeper.Clock
	started timekeeper.Time
	runName string
}

func (s sender) send(ctx context.Context, a Arrival) Result {
	due := s.started.Add(a.At)
	r := Result{Arrival: a}
	if a.Kind.Service.Kind == catalog.ModelService {
		s.stream(ctx, due, &r)
	} else {
		s.call(ctx, &r)
	}
	r.Completion = s.clock.Now().Sub(due)
	r.Request = r.Trace.Request
	var refusal *caller.RefusalError
	if errors.As(r.Err, &refusal) && refusal.Request != "" {
		r.Request = refusal.Request
	}
	r.Abandoned = r.Err != nil && ctx.Err() != nil
	return r
}

func (s sender) options(a Arrival) caller.Options {
	return caller.Options{
		Key: identifier.IdempotencyKey(fmt.Sprintf("%s-%d", s.runName, a.KeyNumber)),
	}
}

func (s sender) stream(ctx context.Context, due timekeeper.Time, r *Result) {
	a := r.Arrival
	c := &checker{
		prompt:     a.Prompt,
		wantTokens: a.Answer,
		clock:      s.clock,
	}
	r.Trace, r.Err = s.client.Stream(ctx, caller.Prompt{
		Options:   s.options(a),
		Service:   a.Kind.Service.Name,
		Text:      a.Prompt,
		MaxTokens: a.Answer,
	}, c)
	r.Mismatch = c.verdict(r.Err)
	r.Gaps = c.gaps
	if c.firstAt != 0 {
		r.FirstToken = c.firstAt.Sub(due)
	}
}

func (s sender) call(ctx context.Context, r *Result) {
	a := r.Arrival
	call := caller.Call{
		Options:     s.options(a),
		Service:     a.Kind.Service.Name,
		Method:      http.MethodGet,
		Path:        fmt.Sprintf("/item/%d", a.KeyNumber),
		ContentType: "text/plain",
	}
	if a.Kind.AtMostOnce() {
		call.Method = http.MethodPost
		call.Body = fmt.Appendf(nil, "%s to number %d", a.Kind.Service.Name, a.KeyNumber)
	}
	var reply caller.Reply
	reply, r.Trace, r.Err = s.client.Call(ctx, call)
	var protocol *caller.ProtocolError
	switch {
	case errors.As(r.Err, &protocol):
		r.Mismatch = r.Err
	case r.Err == nil:
		r.Mismatch = checkReply(call, r.Trace.Request, reply)
	}
}

// checkReply compares a reply with the echo expected from a plain stand-in.
func checkReply(call caller.Call, request identifier.RequestID, reply caller.Reply) error {
	var got responder.Reply
	if err := json.Unmarshal(reply.Body, &got); reply.Status != http.StatusOK || err != nil {
		return &AnswerMismatchError{
			Want: "status 200 and an echo",
			Got:  fmt.Sprintf("status %d: %.80s", reply.Status, reply.Body),
		}
	}
	want := responder.Reply{
		Server:  got.Server,
		Request: request,
		Method:  call.Method,
		Path:    "/call" + call.Path,
		Body:    string(call.Body),
	}
	if got != want {
		return &AnswerMismatchError{
			Want: fmt.Sprintf("%+v", want),
			Got:  fmt.Sprintf("%+v", got),
		}
	}
	return nil
}
