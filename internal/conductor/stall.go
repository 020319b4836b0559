package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// stallPatience is how long an answer is kept back for want of a holder
// before the node that had the copy is left to go on. It is longer than
// that node takes to declare this one dead.
const stallTimeout = 9 * timekeeper.Second

// stall keeps the answer back while no node confirms a copy and one that had
// a copy may be alive. This node is then likely to be the one that is cut off,
// and taken for dead: what it gave its caller now would not be known to the
// node that adopts the request, which would go on differently from there.
func (c *Conductor) stall(env *Env, r *request) []messenger.Effect {
	if r.hold.stalledAt != timekeeper.Never {
		return nil
	}
	r.hold.stalledAt = env.Now
	return []messenger.Effect{c.timelineEntry("stalled", r, fmt.Sprintf("copy=%s", r.hold.lastHolder))}
}

// yieldLongStall ends a stall that lasts: the node with the copy has adopted
// the request by now, unless it hears this node; then it is told to take it
// over.
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

// goUnprotected lets an accepted answer go out without a copy: no node can
// hold one, and none that had one is alive. The time line says so, and
// keepHeld goes on looking for a holder.
func (c *Conductor) continueUnprotected(r *request) []messenger.Effect {
	r.hold.stalledAt = timekeeper.Never
	out := c.confirmHandover(r)
	return append(out,
		messenger.Unhold{Request: r.spec.Request},
		c.timelineEntry("unprotected", r, ""),
	)
}

// releaseAnswer lets the end of an answer go out. A stalled one has no holder
// to take leave of, and would be kept back for good: nobody looks after it any
// more. It is whole, so that no other node's part need follow it.
func (c *Conductor) releaseAnswer(r *request) []messenger.Effect {
	if r.hold.stalledAt == timekeeper.Never || r.hold.holder != "" {
		return c.releaseCopy(r)
	}
	return []messenger.Effect{messenger.Unhold{Request: r.spec.Request}}
}

// leaveTo ends this node's part in a request that another node has.
func (c *Conductor) yieldTo(env *Env, r *request, owner identifier.VMID) []messenger.Effect {
	out := c.detachAttempt(r)
	out = append(out, messenger.Redirect{
		Request: r.spec.Request,
		To:      owner,
	})
	c.remove(env, r, r.spec.PromptTokens+r.delivered)
	return out
}
