package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// lookupCurrent returns the request whose current attempt is n. Events of other
// attempts are late: they could end a request because of an earlier attempt, or
// give it another attempt's answer.
func (c *Conductor) lookupCurrent(id identifier.RequestID, n identifier.AttemptNumber) (*request, bool) {
	r, known := c.requests[id]
	if !known {
		return nil, false
	}
	if c.config.Safeguards.DropStale && (r.phase != running || r.attempt != n) {
		return nil, false
	}
	return r, true
}

// AttemptStarted records that the server has started the attempt.
func (c *Conductor) AttemptStarted(env *Env, e messenger.AttemptStarted) []messenger.Effect {
	r, ok := c.lookupCurrent(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.mayHaveRun = true
	c.observe(env, r, detector.Started, 0, 0)
	return nil
}

// AttemptProgress records how much of the answer this node has received.
func (c *Conductor) AttemptProgress(env *Env, e messenger.AttemptProgress) []messenger.Effect {
	r, ok := c.lookupCurrent(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.mayHaveRun = true
	r.delivered = max(r.delivered, e.Delivered)
	if r.firstTokenAt == 0 {
		r.firstTokenAt = env.Now
		c.recordFirstToken(env, r)
	}
	return nil
}

func (c *Conductor) recordFirstToken(env *Env, r *request) {
	c.prefillTokens[r.server] = max(0, c.prefillTokens[r.server]-r.spec.PromptTokens)
	c.observe(env, r, detector.FirstToken, env.Now.Sub(r.sentAt), r.predictedFirstToken)
}

// AttemptEnded finishes the request, rejoins its stream, or retries.
func (c *Conductor) AttemptEnded(env *Env, e messenger.AttemptEnded) []messenger.Effect {
	r, ok := c.lookupCurrent(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.delivered = max(r.delivered, e.Delivered)
	mayHaveRun := e.Result != messenger.AttemptNotSent && e.Result != messenger.AttemptRefused
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	c.uncountAttempt(r)
	r.phase = waiting
	out := []messenger.Effect{c.timelineEntry("attempt_ended", r, fmt.Sprintf("result=%s delivered=%d", e.Result, r.delivered))}
	if e.Result == messenger.AttemptComplete {
		env.Quarantine.Completed(env.Now, fingerprint(r.spec))
		c.reportCompletion(env, r)
		return append(out, c.finish(env, r, requestResult{outcome: messenger.Done})...)
	}
	c.recordServerEnd(env, r, e, mayHaveRun)
	if after, refused := env.Quarantine.Refuses(env.Now, fingerprint(r.spec)); refused {
		return append(out, c.finishQuarantined(env, r, after)...)
	}
	if effects, ok := c.rejoin(env, r, e); ok {
		return append(out, effects...)
	}
	c.reportFailure(env, r, e.Result)
	return append(out, c.retryOrFinish(env, r, e)...)
}

// rejoin resumes the stream on the same server over a new connection. An open
// connection may be broken while new ones work; the stream then continues on
// the server and nothing is computed again. It is tried only once without
// progress, so that a server that is unreachable costs one connection attempt.
func (c *Conductor) rejoin(env *Env, r *request, e messenger.AttemptEnded) ([]messenger.Effect, bool) {
	connectionLost := e.Result == messenger.AttemptBroken || e.Result == messenger.AttemptTimedOut
	if !connectionLost || e.ServerEnded || !r.isModel() {
		return nil, false
	}
	if r.rejoined && r.rejoinedTokens == r.delivered {
		return nil, false // already tried, no progress since
	}
	return c.sendRejoin(env, r)
}

// rejoinAgain is like rejoin for a request that nothing else can continue: its server
// may be silent only for some time. An attempt that failed at once is not made again,
// so that attempts do not follow each other without a pause.
func (c *Conductor) rejoinAgain(env *Env, r *request, e messenger.AttemptEnded) ([]messenger.Effect, bool) {
	silent := e.Result == messenger.AttemptTimedOut ||
		e.Result == messenger.AttemptNotSent && r.joinsStream && !e.ServerEnded
	if !silent || !r.isModel() || !env.Now.Before(r.spec.Deadline) || env.Now.Sub(r.sentAt) < minRejoinInterval {
		return nil, false
	}
	return c.sendRejoin(env, r)
}

func (c *Conductor) sendRejoin(env *Env, r *request) ([]messenger.Effect, bool) {
	server, known := env.Members.Server(r.server)
	if !known {
		return nil, false
	}
	r.markRejoined()
	return c.sendAttempt(env, r, plannedAttempt{
		server:              server,
		mode:                messenger.StartResume,
		stream:              r.stream,
		predictedFirstToken: predictedRejoinLatency,
	}), true
}

func (r *request) markRejoined() {
	r.rejoined = true
	r.rejoinedTokens = r.delivered
}

// retryOrFinish schedules the next attempt if the retrier allows one. Otherwise it
// rejoins the stream of a silent server, or finishes the request.
func (c *Conductor) retryOrFinish(env *Env, r *request, e messenger.AttemptEnded) []messenger.Effect {
	verdict := env.Budgets.Next(env.Now, retrier.EndedAttempt{
		Service:       r.spec.Service,
		Idempotent:    r.spec.Idempotent || !c.config.Safeguards.RepeatOnlySafe,
		Result:        e.Result,
		Attempts:      r.localAttempts,
		Deadline:      r.spec.Deadline,
		Delivered:     r.delivered,
		Model:         r.isModel(),
		RetryAfter:    e.RetryAfter,
		Planned:       c.exemptFromBudget(env, r),
		EarlierNotRun: !r.mayHaveRun,
	}, env.Rand)
	if !verdict.Retry {
		if effects, ok := c.rejoinAgain(env, r, e); ok {
			return effects
		}
		return c.finish(env, r, requestResult{
			outcome:    c.correctNotRun(r, verdict.Outcome),
			reason:     verdict.Reason,
			retryAfter: verdict.RetryAfter,
		})
	}
	r.failedServers[r.server] = true
	if e.Result != messenger.AttemptRefused {
		r.failedZones[r.zone] = true
	}
	r.retryAt = env.Now.Add(verdict.Delay)
	if verdict.Delay == 0 {
		return c.startAttempt(env, r)
	}
	return nil
}

// exemptFromBudget reports whether the next attempt does not count against the
// retry budget: its server is leaving or removed, or the request is long. Such
// requests are already accepted, and a wave of reclaims that exhausted the
// budget would end them.
func (c *Conductor) exemptFromBudget(env *Env, r *request) bool {
	server, known := env.Members.Server(r.server)
	return r.spec.Long || !known || server.Leaving
}

// correctNotRun replaces not_run by unknown if something may have run.
func (c *Conductor) correctNotRun(r *request, o messenger.Outcome) messenger.Outcome {
	if o == messenger.NotRun && r.mayHaveRun && c.config.Safeguards.TruthfulNotRun {
		return messenger.Unknown
	}
	return o
}

// reportFailure reports a failed attempt to the detector.
func (c *Conductor) reportFailure(env *Env, r *request, result messenger.AttemptResult) {
	switch result {
	case messenger.AttemptNotSent:
		c.observe(env, r, detector.NotSent, 0, 0)
	case messenger.AttemptBroken:
		c.observe(env, r, detector.Broken, 0, 0)
	case messenger.AttemptTimedOut:
		c.observe(env, r, detector.TimedOut, 0, 0)
	case messenger.AttemptFailed:
		c.observe(env, r, detector.Failed, 0, 0)
	}
}

// reportCompletion reports a complete answer to the detector. Only plain
// answers are timed: the length of a model's answer depends on the request, not
// on the server.
func (c *Conductor) reportCompletion(env *Env, r *request) {
	if r.isModel() {
		c.observe(env, r, detector.Completed, 0, 0)
		return
	}
	c.observe(env, r, detector.Completed, env.Now.Sub(r.sentAt), r.predictedCompletion)
}

func (c *Conductor) observe(env *Env, r *request, kind detector.Kind, latency, predicted timekeeper.Duration) {
	env.Suspicions.Observe(env.Now, r.server, detector.Observation{
		Kind:             kind,
		Latency:          latency,
		PredictedLatency: predicted,
	})
}
