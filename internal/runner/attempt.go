package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Progress is reported every progressTokens tokens, and at a token that comes
// progressEvery or more after the last report.
const (
	progressTokens = 16
	progressEvery  = 250 * time.Millisecond
)

// attempt is one attempt of a request, run by a task of its own.
type attempt struct {
	runner  *Runner
	answer  *answerer.Answer
	service catalog.Service
	effect  messenger.SendAttempt
	from    identifier.Tokens // that stood here when it began
	cancel  context.CancelFunc
}

// stoppedError ends an attempt that the reducer has no more use for.
type stoppedError struct{}

func (e *stoppedError) Error() string { return "the attempt was stopped" }

// tooLongError reports a stream that brought more tokens than were asked for.
type tooLongError struct{ Max identifier.Tokens }

func (e *tooLongError) Error() string { return fmt.Sprintf("more than %d tokens", e.Max) }

var (
	_ error = (*stoppedError)(nil)
	_ error = (*tooLongError)(nil)
)

// sendAttempt makes the attempt the answer's current one and starts it. From
// here on, pieces of older attempts are not taken any more.
func (r *Runner) sendAttempt(e messenger.SendAttempt) {
	r.endAttempt(e.Request)
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.later(notSent(e))
		return
	}
	from, ok := answer.Begin(answerer.Placement{
		Attempt: e.Attempt,
		Server:  e.Server,
		Stream:  e.Stream,
	})
	if !ok {
		r.later(notSent(e))
		return
	}
	r.metrics.started(e, answer.Spec(), from)
	ctx, cancel := context.WithCancel(r.tasks.ctx)
	a := &attempt{
		runner:  r,
		answer:  answer,
		service: r.serviceOf(answer.Spec()),
		effect:  e,
		from:    from,
		cancel:  cancel,
	}
	r.attempts[e.Request] = a
	r.tasks.start(func(context.Context) func() {
		a.run(ctx)
		return func() { r.forgetAttempt(a) }
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

// stopAttempt ends the task of an attempt, and on demand the server's stream.
func (r *Runner) stopAttempt(e messenger.StopAttempt) {
	if a := r.attempts[e.Request]; a != nil && a.effect.Attempt == e.Attempt {
		r.endAttempt(e.Request)
	}
	if !e.Cancel || e.Stream == "" || !r.isModel(e.Request) {
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

// cancelTimeout bounds telling an engine to drop a stream. Where that fails
// the engine computes tokens that nobody reads, until the request's deadline.
const cancelTimeout = 1 * time.Second

func (r *Runner) isModel(request identifier.RequestID) bool {
	a, ok := r.answers.Get(request)
	return ok && r.serviceOf(a.Spec()).Kind == catalog.ModelService
}

// endAttempt ends the task of the request's attempt, if one runs. It reports
// nothing any more.
func (r *Runner) endAttempt(request identifier.RequestID) {
	if a := r.attempts[request]; a != nil {
		a.cancel()
		delete(r.attempts, request)
	}
}

func (r *Runner) forgetAttempt(a *attempt) {
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

// end reports the end of the attempt, unless the reducer itself ended it.
func (a *attempt) end(ctx context.Context, err error) {
	var stopped *stoppedError
	if errors.As(err, &stopped) || ctx.Err() != nil {
		return
	}
	result := resultOf(err)
	if err != nil {
		a.runner.logger.Debug("attempt ended early",
			"request", a.effect.Request, "attempt", a.effect.Attempt,
			"server", a.effect.Server, "result", result, "error", err)
	}
	a.runner.metrics.attemptEnded(result)
	a.runner.emit(ctx, messenger.AttemptEnded{
		Request:     a.effect.Request,
		Attempt:     a.effect.Attempt,
		Result:      result,
		Delivered:   a.answer.Delivered(),
		RetryAfter:  adapter.RetryAfter(err),
		ServerEnded: a.serverEnded(ctx, result, err),
	})
}

// serverEnded reports whether the server's process is gone. A connection that broke
// does not say so by itself.
func (a *attempt) serverEnded(ctx context.Context, result messenger.AttemptResult, err error) bool {
	switch result {
	case messenger.AttemptNotSent:
		return dialer.Refused(err)
	case messenger.AttemptBroken:
		return dialer.RefusedAt(ctx, a.effect.Address)
	}
	return false
}

func resultOf(err error) messenger.AttemptResult {
	var tooLong *tooLongError
	if errors.As(err, &tooLong) {
		return messenger.AttemptFailed
	}
	return adapter.Result(err)
}

// patience bounds silence. A connection that something between the two ends
// has lost track of stays open and silent for good; the bound ends it from
// this side, and the reducer tries a new one.
func (a *attempt) patience() adapter.ResponseTimeouts {
	return adapter.ResponseTimeouts{
		FirstByte: a.effect.FirstEventTimeout,
		NextByte:  a.effect.NextEventTimeout,
	}
}

// remaining is the time to the deadline; zero is none.
func (a *attempt) remaining() timekeeper.Duration {
	if a.effect.Deadline == timekeeper.Never {
		return 0
	}
	return max(a.effect.Deadline.Sub(a.runner.clock.Now()), timekeeper.Millisecond)
}

// call makes the one call of a plain attempt.
func (a *attempt) call(ctx context.Context) error {
	body := a.answer.Body()
	reply, err := a.runner.config.PlainServers.Call(ctx, a.effect.Address, adapter.PlainCall{
		Request:     a.effect.Request,
		Method:      body.Method,
		Path:        body.Path,
		ContentType: body.ContentType,
		Body:        body.Content,
		Remaining:   a.remaining(),
	}, a.patience())
	if err != nil {
		return err
	}
	taken := a.answer.SetReply(a.effect.Attempt, answerer.Reply{
		Status: reply.Status,
		Header: replyHeader(reply.Header),
		Body:   reply.Body,
	})
	if !taken {
		a.runner.metrics.stalePieces.Add(1)
		return &stoppedError{}
	}
	return nil
}

// passedHeaders are the headers of a plain server that its caller gets.
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

// stream reads a model attempt to its end, in the attempt's mode.
func (a *attempt) stream(ctx context.Context) error {
	sink := &sink{
		ctx:        ctx,
		attempt:    a,
		reported:   a.from,
		reportedAt: time.Now(),
	}
	engines := a.runner.config.Engines
	if a.effect.Mode == messenger.StartResume {
		return engines.Resume(ctx, a.effect.Address, a.effect.Stream, a.from, a.patience(), sink)
	}
	return engines.Start(ctx, a.effect.Address, a.start(), a.patience(), sink)
}

// start says what to generate. The tokens that stand already go along: an
// engine that imported the KV cache knows them, any other reads them anew.
func (a *attempt) start() adapter.StartRequest {
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
	for _, p := range a.answer.Pieces(0)[:a.from] {
		s.AnswerSoFar = append(s.AnswerSoFar, p.Text)
	}
	return s
}

// sink copies the tokens of an attempt to the answer and reports progress.
type sink struct {
	ctx        context.Context
	attempt    *attempt
	reported   identifier.Tokens
	reportedAt time.Time
}

var _ adapter.Sink = (*sink)(nil)

// Started reports that the engine took the attempt.
func (s *sink) Started() {
	s.attempt.runner.emit(s.ctx, messenger.AttemptStarted{
		Request: s.attempt.effect.Request,
		Attempt: s.attempt.effect.Attempt,
	})
}

// Token adds a token to the answer. It ends the reading when the answer does
// not take it: then another attempt is the current one, or the answer is over.
func (s *sink) Token(t adapter.Token) error {
	a := s.attempt
	if limit := a.answer.Spec().MaxTokens; limit > 0 && t.Index > limit {
		return &tooLongError{Max: limit}
	}
	if !a.answer.Append(a.effect.Attempt, t.Index, t.Text) {
		a.runner.metrics.stalePieces.Add(1)
		return &stoppedError{}
	}
	first := s.reported == a.from
	if !first && t.Index-s.reported < progressTokens && time.Since(s.reportedAt) < progressEvery {
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
