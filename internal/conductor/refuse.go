package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Retry-After values for refused callers.
const (
	retryAfterLeaving         = 100 * timekeeper.Millisecond
	retryAfterNoServer        = 2 * timekeeper.Second
	retryAfterLogUnavailable  = 2 * timekeeper.Second
	retryAfterNoHolder        = 1 * timekeeper.Second
	retryAfterNoConfiguration = 1 * timekeeper.Second
)

// refuse ends a request that was not accepted and that has not run. The winner
// of a claim can report not_run: no other node may send the request, and this
// node has dropped it.
func (c *Conductor) refuse(env *Env, r *request, refusal messenger.Refusal) []messenger.Effect {
	var out []messenger.Effect
	if r.claim.won {
		out = c.sendRefusal(r.spec, refusal)
	} else {
		out = c.refuseNew(r.spec, refusal)
	}
	c.releaseClaim(env, r)
	c.remove(env, r, 0)
	return out
}

// refuseNew refuses a request for which this node has not won a claim.
func (c *Conductor) refuseNew(spec messenger.RequestSpec, refusal messenger.Refusal) []messenger.Effect {
	if spec.Key != "" && !spec.Idempotent && c.config.Safeguards.TruthfulNotRun {
		// The caller may have sent the key to another node, which may be
		// running it now. If it received not_run, the caller would repeat the
		// request under a new key, and both would run. Unknown with Retry-After
		// makes it repeat the same key, which is safe.
		refusal.Outcome = messenger.Unknown
	}
	return c.sendRefusal(spec, refusal)
}

func (c *Conductor) sendRefusal(spec messenger.RequestSpec, refusal messenger.Refusal) []messenger.Effect {
	c.counters.Refused++
	return []messenger.Effect{
		messenger.Refuse{
			Request: spec.Request,
			Refusal: refusal,
		},
		messenger.TimelineEntry{
			Kind:    "refused",
			Request: spec.Request,
			VM:      c.config.Self,
			Detail:  fmt.Sprintf("reason=%s outcome=%s", refusal.Reason, refusal.Outcome),
		},
	}
}

func notRun(reason messenger.Reason, after timekeeper.Duration) messenger.Refusal {
	return messenger.Refusal{
		Reason:     reason,
		Outcome:    messenger.NotRun,
		RetryAfter: after,
	}
}
