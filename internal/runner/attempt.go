package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Progress is reported for the first token, then every progressTokens tokens or
// at the first token after progressInterval.
const (
	progressTokens   = 16
	progressInterval = 250 * time.Millisecond
)

// attempt is one attempt of a request. It runs in its own task.
type attempt struct {
	runner      *Runner
	answer      *answerer.Answer
	service     catalog.Service
	effect      messenger.SendAttempt
	alreadyHave identifier.Tokens // tokens of the answer before this attempt
	cancel      context.CancelFunc
}

// attemptStoppedError ends an attempt that is no longer the current one.
type attemptStoppedError struct{}

func (e *attemptStoppedError) Error() string { return "the attempt was stopped" }

// tooManyTokensError reports a stream that exceeds the requested number of
// tokens.
type tooManyTokensError struct{ Max identifier.Tokens }

func (e *tooManyTokensError) Error() string { return fmt.Sprintf("stream exceeds %d tokens", e.Max) }

var (
	_ error = (*attemptStoppedError)(nil)
	_ error = (*tooManyTokensError)(nil)
)

// sendAttempt starts an attempt and makes it the answer's current one, so that
// pieces of older attempts are rejected from now on.
func (r *Runner) sendAttempt(e messenger.SendAttempt) {
	r.endAttempt(e.Request)
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.enqueue(notSent(e))
		return
	}
	from, ok := answer.Begin(answerer.Placement{
		Attempt: e.Attempt,
		Server:  e.Server,
		Stream:  e.Stream,
	})
	if !ok {
		r.enqueue(notSent(e))
		return
	}
	r.metrics.countAttempt(e, answer.Spec(), from)
	ctx, cancel := context.WithCancel(r.tasks.ctx)
	a := &attempt{
		runner:      r,
		answer:      answer,
		service:     r.serviceOf(answer.Spec()),
		effect:      e,
		alreadyHave: from,
		cancel:      cancel,
	}
	r.attempts[e.Request] = a
	r.tasks.start(func(context.Context) func() {
		a.run(ctx)
		return func() { r.removeAttempt(a) }
	})
}

func notSent(e messenger.SendAttempt) messenger.AttemptEnded {
	return messenger.AttemptEnded{
		Request:   e.Request,
		Attempt:   e.Attempt,
		Result:    messenger.AttemptNotSent,
		Delivered: e.From,
	}
}

func (r *Runner) serviceOf(spec messenger.RequestSpec) catalog.Service {
	c := r.catalog.Load()
	if c == nil {
		return catalog.Service{}
	}
	return c.Services[spec.Service]
}

// stopAttempt stops the task of an attempt and, if requested, cancels the
// engine's stream.
func (r *Runner) stopAttempt(e messenger.StopAttempt) {
	if a := r.attempts[e.Request]; a != nil && a.effect.Attempt == e.Attempt {
		r.endAttempt(e.Request)
	}
	if !e.Cancel || e.Stream == "" || !r.isModelRequest(e.Request) {
		return
	}
	r.inLane("cancel/"+e.Address, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, cancelTimeout)
		defer done()
		if err := r.config.Engines.Cancel(ctx, e.Address, e.Stream); err != nil {
			r.logger.Debug("stream was not cancelled", "stream", e.Stream, "error", err)
		}
		return nil
	}, nil)
}

// cancelTimeout is the timeout of cancelling an engine's stream. If that fails,
// the engine generates unused tokens until the request's deadline.
const cancelTimeout = 1 * time.Second

func (r *Runner) isModelRequest(request identifier.RequestID) bool {
	a, ok := r.answers.Get(request)
	return ok && r.serviceOf(a.Spec()).Kind == catalog.ModelService
}

// endAttempt cancels the task of the request's attempt, if one runs. The task
// then reports no result.
func (r *Runner) endAttempt(request identifier.RequestID) {
	if a := r.attempts[request]; a != nil {
		a.cancel()
		delete(r.attempts, request)
	}
}

func (r *Runner) removeAttempt(a *attempt) {
	a.cancel()
	if r.attempts[a.effect.Request] == a {
		delete(r.attempts, a.effect.Request)
	}
}

func (a *attempt) run(ctx context.Context) {
	var err error
	if a.service.Kind == catalog.PlainService {
		err = a.call(ctx)
	} else {
		err = a.stream(ctx)
	}
	a.end(ctx, err)
}

// end reports the result of the attempt, unless the attempt was stopped.
func (a *attempt) end(ctx context.Context, err error) {
	var stopped *attemptStoppedError
	if errors.As(err, &stopped) || ctx.Err() != nil {
		return
	}
	result := attemptResult(err)
	if err != nil {
		level := hclog.Debug
		if result == messenger.AttemptTimedOut {
			level = hclog.Info
		}
		a.runner.logger.Log(level, "attempt ended early",
			"request", a.effect.Request, "attempt", a.effect.Attempt,
			"server", a.effect.Server, "result", result, "error", err)
	}
	a.runner.metrics.countAttemptEnd(result)
	a.runner.emit(ctx, messenger.AttemptEnded{
		Request:     a.effect.Request,
		Attempt:     a.effect.Attempt,
		Result:      result,
		Delivered:   a.answer.Delivered(),
		RetryAfter:  adapter.RetryAfter(err),
		ServerEnded: a.serverEnded(ctx, result, err),
	})
}

// serverEnded reports whether the server's process has ended. A broken
// connection alone does not show that.
func (a *attempt) serverEnded(ctx context.Context, result messenger.AttemptResult, err error) bool {
	switch result {
	case messenger.AttemptNotSent:
		return dialer.Refused(err)
	case messenger.AttemptBroken:
		return dialer.RefusedAt(ctx, a.effect.Address)
	}
	return false
}

func attemptResult(err error) messenger.AttemptResult {
	var tooLong *tooManyTokensError
	if errors.As(err, &tooLong) {
		return messenger.AttemptFailed
	}
	return adapter.Result(err)
}

// timeouts returns the limits on the time between events. A connection that a
// middlebox has dropped stays open but delivers nothing; the timeout closes it
// so that the reducer can start another attempt.
func (a *attempt) timeouts() adapter.ResponseTimeouts {
	return adapter.ResponseTimeouts{
		FirstByte: a.effect.FirstEventTimeout,
		NextByte:  a.effect.NextEventTimeout,
	}
}

// remaining returns the time to the deadline, at least a millisecond, or zero
// if there is no deadline.
func (a *attempt) remaining() timekeeper.Duration {
	if a.effect.Deadline == timekeeper.Never {
		return 0
	}
	return max(a.effect.Deadline.Sub(a.runner.clock.Now()), timekeeper.Millisecond)
}

// call sends the request to the plain server and sets its reply.
func (a *attempt) call(ctx context.Context) error {
	body := a.answer.Body()
	reply, err := a.runner.config.PlainServers.Call(ctx, a.effect.Address, adapter.PlainCall{
		Request:     a.effect.Request,
		Method:      body.Method,
		Path:        body.Path,
		ContentType: body.ContentType,
		Body:        body.Content,
		Remaining:   a.remaining(),
	}, a.timeouts())
	if err != nil {
		return err
	}
	accepted := a.answer.SetReply(a.effect.Attempt, answerer.Reply{
		Status: reply.Status,
		Header: replyHeader(reply.Header),
		Body:   reply.Body,
	})
	if !accepted {
		a.runner.metrics.stalePieces.Add(1)
		return &attemptStoppedError{}
	}
	return nil
}

// passedHeaders are the response headers of a plain server that are passed on
// to the caller.
var passedHeaders = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location"}

func replyHeader(h http.Header) map[string]string {
	passed := make(map[string]string)
	for _, name := range passedHeaders {
		if v := h.Get(name); v != "" {
			passed[name] = v
		}
	}
	return passed
}

// stream starts or resumes the model stream and reads it to its end.
func (a *attempt) stream(ctx context.Context) error {
	sink := &sink{
		ctx:        ctx,
		attempt:    a,
		reported:   a.alreadyHave,
		reportedAt: time.Now(),
	}
	engines := a.runner.config.Engines
	if a.effect.Mode == messenger.StartResume {
		return engines.Resume(ctx, a.effect.Address, a.effect.Stream, a.alreadyHave, a.timeouts(), sink)
	}
	return engines.Start(ctx, a.effect.Address, a.startRequest(), a.timeouts(), sink)
}

// startRequest returns the parameters of a new stream. They include the tokens
// that the answer already has. An engine that imported the KV cache does not
// recompute them; any other engine does.
func (a *attempt) startRequest() adapter.StartRequest {
	spec := a.answer.Spec()
	s := adapter.StartRequest{
		Stream:       a.effect.Stream,
		Model:        a.service.Model,
		Prompt:       a.answer.Body().Prompt,
		PromptTokens: spec.PromptTokens,
		Prefix:       spec.Prefix,
		MaxTokens:    spec.MaxTokens,
		Priority:     a.effect.Priority,
		Remaining:    a.remaining(),
	}
	for _, p := range a.answer.Pieces(0)[:a.alreadyHave] {
		s.AnswerSoFar = append(s.AnswerSoFar, p.Text)
	}
	return s
}

// sink appends the tokens of an attempt to the answer and reports progress.
type sink struct {
	ctx        context.Context
	attempt    *attempt
	reported   identifier.Tokens
	reportedAt time.Time
}

var _ adapter.Sink = (*sink)(nil)

// Started reports that the engine accepted the attempt.
func (s *sink) Started() {
	s.attempt.runner.emit(s.ctx, messenger.AttemptStarted{
		Request: s.attempt.effect.Request,
		Attempt: s.attempt.effect.Attempt,
	})
}

// Token adds a token to the answer. It returns an error, which ends the stream,
// if the answer rejects the token because another attempt is current or the
// answer has ended.
func (s *sink) Token(t adapter.Token) error {
	a := s.attempt
	if limit := a.answer.Spec().MaxTokens; limit > 0 && t.Index > limit {
		return &tooManyTokensError{Max: limit}
	}
	if !a.answer.Append(a.effect.Attempt, t.Index, t.Text) {
		a.runner.metrics.stalePieces.Add(1)
		return &attemptStoppedError{}
	}
	first := s.reported == a.alreadyHave
	if !first && t.Index-s.reported < progressTokens && time.Since(s.reportedAt) < progressInterval {
		return nil
	}
	s.reported = t.Index
	s.reportedAt = time.Now()
	a.runner.emit(s.ctx, messenger.AttemptProgress{
		Request:   a.effect.Request,
		Attempt:   a.effect.Attempt,
		Delivered: t.Index,
	})
	return nil
}
