package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// requestResult is the result of an accepted request.
type requestResult struct {
	outcome    messenger.Outcome
	reason     messenger.Reason
	retryAfter timekeeper.Duration
}

// finish ends an accepted request, settles its claim and releases its answer.
func (c *Conductor) finish(env *Env, r *request, e requestResult) []messenger.Effect {
	out := []messenger.Effect{
		messenger.Finish{
			Request:    r.spec.Request,
			Outcome:    e.outcome,
			Reason:     e.reason,
			RetryAfter: e.retryAfter,
		},
		c.timelineEntry("finished", r, fmt.Sprintf("outcome=%s reason=%s", e.outcome, e.reason)),
	}
	out = append(out, c.settleClaim(env, r, e.outcome)...)
	out = append(out, c.releaseAnswer(r)...)
	if e.outcome == messenger.Done {
		c.counters.Done++
	}
	c.remove(env, r, r.spec.PromptTokens+r.delivered)
	return out
}

// settleClaim records the outcome of a claimed request for callers that repeat
// its key, or frees the key if the request did not run.
func (c *Conductor) settleClaim(env *Env, r *request, outcome messenger.Outcome) []messenger.Effect {
	if !r.claim.won {
		return nil
	}
	if outcome == messenger.NotRun {
		c.releaseClaim(env, r)
		return nil
	}
	env.Claims.Drop(r.spec.Request)
	return []messenger.Effect{
		messenger.AppendOutcome{
			Request: r.spec.Request,
			Account: r.spec.Account,
			Key:     r.spec.Key,
			Nonce:   r.claim.nonce,
			Stream:  r.claim.stream,
			Outcome: outcome,
		},
	}
}

// remove deletes r from the table and returns its unused tokens to its account.
func (c *Conductor) remove(env *Env, r *request, usedTokens identifier.Tokens) {
	c.uncountAttempt(r)
	if r.reservedTokens > 0 {
		env.Limits.Settle(env.Now, r.spec.Account, r.reservedTokens, usedTokens)
	}
	delete(c.requests, r.spec.Request)
}

// expire ends a request whose deadline has passed.
func (c *Conductor) expire(env *Env, r *request) []messenger.Effect {
	return c.endEarly(env, r, messenger.ReasonDeadlineExpired, messenger.Unknown)
}

// Cancel ends a request that its caller cancelled.
func (c *Conductor) Cancel(env *Env, id identifier.RequestID) []messenger.Effect {
	r, known := c.requests[id]
	if !known {
		return nil
	}
	return c.cancel(env, r)
}

func (c *Conductor) cancel(env *Env, r *request) []messenger.Effect {
	outcome := messenger.Unknown
	if r.spec.Idempotent {
		outcome = messenger.Cancelled
	}
	return c.endEarly(env, r, messenger.ReasonCancelled, outcome)
}

// endEarly ends r before its answer is complete, with outcome not_run if it
// cannot have run and with outcomeIfRun otherwise.
func (c *Conductor) endEarly(env *Env, r *request, reason messenger.Reason, outcomeIfRun messenger.Outcome) []messenger.Effect {
	if r.neverRan() || !c.config.Safeguards.TruthfulNotRun {
		outcomeIfRun = messenger.NotRun
	}
	out := c.cancelAttempt(r)
	if r.accepted {
		return append(out, c.finish(env, r, requestResult{
			outcome: outcomeIfRun,
			reason:  reason,
		})...)
	}
	out = append(out, c.releaseCopy(r)...)
	return append(out, c.refuse(env, r, notRun(reason, 0))...)
}
