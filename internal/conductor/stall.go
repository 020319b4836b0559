package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// stallTimeout is how long an answer is withheld for lack of a holder before
// the request is left to the node that had the copy. It is longer than that
// node takes to declare this one dead.
const stallTimeout = 9 * timekeeper.Second

// stall withholds the answer while no node confirms a copy and a node that had
// one may be alive. This node is then probably partitioned and declared dead:
// tokens sent to the caller now would be unknown to the node that adopts the
// request, which would continue the answer differently.
func (c *Conductor) stall(env *Env, r *request) []messenger.Effect {
	if r.hold.stalledAt != timekeeper.Never {
		return nil
	}
	r.hold.stalledAt = env.Now
	return []messenger.Effect{c.timelineEntry("stalled", r, fmt.Sprintf("copy=%s", r.hold.lastHolder))}
}

// yieldAfterStall ends a stall that has reached stallTimeout. By then the node
// with the copy has adopted the request, unless it still receives this node's
// messages; in that case the handover makes it take over.
func (c *Conductor) yieldAfterStall(env *Env, r *request) []messenger.Effect {
	if r.hold.stalledAt == timekeeper.Never || env.Now.Sub(r.hold.stalledAt) < stallTimeout {
		return nil
	}
	out := []messenger.Effect{
		r.handOverTo(r.hold.lastHolder, r.hold.lastHolderAddress),
		c.timelineEntry("yielded", r, fmt.Sprintf("owner=%s", r.hold.lastHolder)),
	}
	return append(out, c.yieldTo(env, r, r.hold.lastHolder)...)
}

// continueUnprotected releases an accepted answer without a copy: no node can
// hold one, and no node that had one is alive. It records a timeline entry, and
// ensureHolder keeps looking for a holder.
func (c *Conductor) continueUnprotected(r *request) []messenger.Effect {
	r.hold.stalledAt = timekeeper.Never
	out := c.confirmHandover(r)
	return append(out,
		messenger.Unhold{Request: r.spec.Request},
		c.timelineEntry("unprotected", r, ""),
	)
}

// releaseAnswer releases the end of a complete answer. A stalled answer has no
// holder whose copy could be released, and would be withheld forever once the
// request is removed. No other node needs to continue a complete answer.
func (c *Conductor) releaseAnswer(r *request) []messenger.Effect {
	if r.hold.stalledAt == timekeeper.Never || r.hold.holder != "" {
		return c.releaseCopy(r)
	}
	return []messenger.Effect{messenger.Unhold{Request: r.spec.Request}}
}

// yieldTo removes a request that another node has taken over and redirects its
// callers there.
func (c *Conductor) yieldTo(env *Env, r *request, owner identifier.VMID) []messenger.Effect {
	out := c.detachAttempt(r)
	out = append(out, messenger.Redirect{
		Request: r.spec.Request,
		To:      owner,
	})
	c.remove(env, r, r.spec.PromptTokens+r.delivered)
	return out
}
