package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// claimPatience is how long a request waits for its claim to be read
	// back before it is given up as not_run.
	claimTimeout = 4 * timekeeper.Second
	// claimAgain is the spacing of appends of one claim whose answer was
	// lost. The records carry the same nonce, so that only the first counts.
	claimAppendInterval = 400 * timekeeper.Millisecond
)

// claimState is the claim of a non-idempotent request with a key.
type claimState struct {
	nonce        identifier.Nonce
	stream       identifier.LogStream
	expiresAt    timekeeper.Time
	nextAppendAt timekeeper.Time
	// won tells that the log gave the key to this request. From then on this
	// node alone may send it, once.
	won bool
}

// beginClaim appends the claim of a request's key. Nothing leaves for a
// backend server before the claim was read back as the first of its key:
// another node may have been asked for the same key, and both would run it.
func (c *Conductor) beginClaim(env *Env, r *request) []messenger.Effect {
	if entry, known := env.Claims.Lookup(r.spec.Account, r.spec.Key); known && c.isConclusive(entry) {
		return c.answerFromEntry(env, r, entry)
	}
	c.lastNonce++
	nonce := identifier.Nonce(fmt.Sprintf("%s.%d.%d", c.config.Self, c.config.Incarnation, c.lastNonce))
	stream, record, err := env.Claims.Begin(env.Now, r.spec.Request, r.spec.Account, r.spec.Key, nonce, r.service.KeyWindow)
	if err != nil {
		// The table is full or the log is out. Running unclaimed could run
		// the key twice, and holding the caller would not help it.
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

// settles reports whether an earlier claim of the key already answers the
// request. One of this node may be given up and about to be released; then the
// new claim waits for that.
func (c *Conductor) isConclusive(e claimer.Entry) bool {
	return !e.Released && (e.Winner != c.config.Self || e.Recorded != nil)
}

// retryClaim appends an unanswered claim again and gives up an overdue one.
func (c *Conductor) retryClaim(env *Env, r *request) []messenger.Effect {
	if !env.Now.Before(r.claim.expiresAt) || env.Claims.Out(env.Now, r.claim.stream) {
		return c.refuse(env, r, notRun(messenger.ReasonLogUnavailable, retryAfterLogUnavailable))
	}
	if env.Now.Before(r.claim.nextAppendAt) {
		return nil
	}
	pending, ok := env.Claims.Again(r.spec.Request)
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

// ClaimsDecided goes on with requests whose claims the log has settled.
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
		// An earlier claim of the key may have expired unread, and may have
		// run: the request is neither sent nor called not_run.
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

// answerFromEntry answers a request whose key the log has already given away.
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

// releaseClaim frees the key of a request that this node gave up before
// anything ran, so that the caller's next try is not blocked by it. Only the
// claimant may do so: it alone knows that nothing ran. The table of claims
// appends the release itself, until it is read back.
func (c *Conductor) releaseClaim(env *Env, r *request) {
	if r.claim.nonce != "" {
		env.Claims.Release(r.spec.Request)
	}
}
