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

// Result is what became of one arrival.
type Result struct {
	Arrival Arrival
	Trace   caller.Trace
	// Request is the request's id as far as any node told it.
	Request identifier.RequestID
	// FirstToken and Completion are counted from the instant at which the
	// request was due, so that a sender that falls behind hides nothing.
	FirstToken timekeeper.Duration
	Completion timekeeper.Duration
	Gaps       []timekeeper.Duration
	// Wrong tells what is wrong with the answer, or nothing.
	Wrong error
	// Err is why there is no answer.
	Err error
	// GivenUp tells that the run ended before the request did.
	GivenUp bool
}

// sender sends one arrival as one client.
type sender struct {
	client  *caller.Client
	clock   timekeeper.Clock
	started timekeeper.Time
	name    string
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
	r.GivenUp = r.Err != nil && ctx.Err() != nil
	return r
}

func (s sender) terms(a Arrival) caller.Options {
	return caller.Options{
		Key: identifier.IdempotencyKey(fmt.Sprintf("%s-%d", s.name, a.Repeats)),
	}
}

func (s sender) stream(ctx context.Context, due timekeeper.Time, r *Result) {
	a := r.Arrival
	c := &checker{
		prompt: a.Prompt,
		want:   a.Answer,
		clock:  s.clock,
	}
	r.Trace, r.Err = s.client.Stream(ctx, caller.Prompt{
		Options:   s.terms(a),
		Service:   a.Kind.Service.Name,
		Text:      a.Prompt,
		MaxTokens: a.Answer,
	}, c)
	r.Wrong = c.verdict(r.Err)
	r.Gaps = c.gaps
	if c.first != 0 {
		r.FirstToken = c.first.Sub(due)
	}
}

func (s sender) call(ctx context.Context, r *Result) {
	a := r.Arrival
	call := caller.Call{
		Options:     s.terms(a),
		Service:     a.Kind.Service.Name,
		Method:      http.MethodGet,
		Path:        fmt.Sprintf("/item/%d", a.Repeats),
		ContentType: "text/plain",
	}
	if a.Kind.Keyed() {
		call.Method = http.MethodPost
		call.Body = fmt.Appendf(nil, "%s to number %d", a.Kind.Service.Name, a.Repeats)
	}
	var reply caller.Reply
	reply, r.Trace, r.Err = s.client.Call(ctx, call)
	var protocol *caller.ProtocolError
	switch {
	case errors.As(r.Err, &protocol):
		r.Wrong = r.Err
	case r.Err == nil:
		r.Wrong = checkReply(call, r.Trace.Request, reply)
	}
}

// checkReply compares a reply with what the plain stand-in echoes.
func checkReply(call caller.Call, request identifier.RequestID, reply caller.Reply) error {
	var got responder.Reply
	if err := json.Unmarshal(reply.Body, &got); reply.Status != http.StatusOK || err != nil {
		return &WrongError{
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
		return &WrongError{
			Want: fmt.Sprintf("%+v", want),
			Got:  fmt.Sprintf("%+v", got),
		}
	}
	return nil
}
