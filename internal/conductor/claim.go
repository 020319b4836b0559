package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// claimTimeout is how long a request waits for its claim to be read back
	// before it is refused.
	claimTimeout = 4 * timekeeper.Second
	// claimAppendInterval is the interval between appends of a claim that has
	// not been read back. The records have the same nonce, so only the first
	// takes effect.
	claimAppendInterval = 400 * timekeeper.Millisecond
)

// claimState is the state of the claim of a non-idempotent request.
type claimState struct {
	nonce        identifier.Nonce
	stream       identifier.LogStream
	expiresAt    timekeeper.Time
	nextAppendAt timekeeper.Time
	// won is set once the log has assigned the key to this request. From then
	// on only this node may send it, once.
	won bool
}

// beginClaim appends the claim of a request's key. The request is not sent to a
// backend server until the claim has been read back as the first for its key:
// another node may have received the same key, and both would run it.
func (c *Conductor) beginClaim(env *Env, r *request) []messenger.Effect {
	if entry, known := env.Claims.Lookup(r.spec.Account, r.spec.Key); known && c.isConclusive(entry) {
		return c.answerFromEntry(env, r, entry)
	}
	c.lastNonce++
	nonce := identifier.Nonce(fmt.Sprintf("%s.%d.%d", c.config.Self, c.config.Incarnation, c.lastNonce))
	stream, record, err := env.Claims.Begin(env.Now, r.spec.Request, r.spec.Account, r.spec.Key, nonce, r.service.KeyWindow)
	if err != nil {
		// The table is full or the log is unavailable. Without a claim the key
		// could run twice, and waiting would not help the caller.
		return c.refuse(env, r, notRun(messenger.ReasonLogUnavailable, retryAfterLogUnavailable))
	}
	r.phase = claiming
	r.claim = claimState{
		nonce:        nonce,
		stream:       stream,
		expiresAt:    env.Now.Add(claimTimeout),
		nextAppendAt: env.Now.Add(claimAppendInterval),
	}
	return []messenger.Effect{
		messenger.AppendRecord{
			Stream: stream,
			Data:   record,
		},
		c.timelineEntry("claim_appended", r, string(stream)),
	}
}

// isConclusive reports whether an earlier claim of the key already answers the
// request. A claim of this node without a recorded outcome may be about to be
// released; the new claim then waits for the release.
func (c *Conductor) isConclusive(e claimer.Entry) bool {
	return !e.Released && (e.Winner != c.config.Self || e.Recorded != nil)
}

// retryClaim appends an unanswered claim again and refuses the request if the
// claim has timed out.
func (c *Conductor) retryClaim(env *Env, r *request) []messenger.Effect {
	if !env.Now.Before(r.claim.expiresAt) || env.Claims.LogUnavailable(env.Now, r.claim.stream) {
		return c.refuse(env, r, notRun(messenger.ReasonLogUnavailable, retryAfterLogUnavailable))
	}
	if env.Now.Before(r.claim.nextAppendAt) {
		return nil
	}
	pending, ok := env.Claims.RepeatAppend(r.spec.Request)
	if !ok {
		return nil
	}
	r.claim.nextAppendAt = env.Now.Add(claimAppendInterval)
	return []messenger.Effect{
		messenger.AppendRecord{
			Stream: pending.Stream,
			Data:   pending.Data,
		},
	}
}

// ClaimsDecided continues the requests whose claims have been decided by the
// log.
func (c *Conductor) ClaimsDecided(env *Env, decisions []claimer.Decision) []messenger.Effect {
	var out []messenger.Effect
	for _, d := range decisions {
		r, known := c.requests[d.Request]
		if !known || r.phase != claiming {
			continue
		}
		out = append(out, c.claimDecided(env, r, d)...)
	}
	return out
}

func (c *Conductor) claimDecided(env *Env, r *request, d claimer.Decision) []messenger.Effect {
	if d.Unsettled {
		// An earlier claim of the key may have expired before it was read, and
		// may have run: the request is neither sent nor reported as not_run.
		return c.refuse(env, r, messenger.Refusal{
			Reason:     messenger.ReasonLogUnavailable,
			Outcome:    messenger.Unknown,
			RetryAfter: retryAfterLogUnavailable,
		})
	}
	if !d.Won {
		out := []messenger.Effect{
			messenger.AnswerFrom{
				Request:  r.spec.Request,
				Winner:   d.Winner,
				Recorded: d.Recorded,
			},
			c.timelineEntry("claim_lost", r, fmt.Sprintf("winner=%s", d.Winner)),
		}
		c.remove(env, r, 0)
		return out
	}
	r.claim.won = true
	out := []messenger.Effect{c.timelineEntry("claim_won", r, "")}
	if c.draining {
		return append(out, c.refuse(env, r, notRun(messenger.ReasonLeaving, retryAfterLeaving))...)
	}
	return append(out, c.holdOrAccept(env, r)...)
}

// answerFromEntry answers a request whose key is already claimed in the log.
func (c *Conductor) answerFromEntry(env *Env, r *request, e claimer.Entry) []messenger.Effect {
	out := []messenger.Effect{
		messenger.AnswerFrom{
			Request:  r.spec.Request,
			Winner:   e.Winner,
			Recorded: e.Recorded,
		},
		c.timelineEntry("claim_known", r, fmt.Sprintf("winner=%s", e.Winner)),
	}
	c.remove(env, r, 0)
	return out
}

// releaseClaim frees the key of a request that this node ended before it ran,
// so that the caller's next attempt is not blocked. Only the claimant may
// release it, because only it knows that the request did not run. The claim
// table repeats the release until it is read back.
func (c *Conductor) releaseClaim(env *Env, r *request) {
	if r.claim.nonce != "" {
		env.Claims.Release(r.spec.Request)
	}
}
