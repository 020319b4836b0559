package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxHoldAttempts is the number of peers that a new long request is offered
	// to.
	maxHoldAttempts = 3
	// holdRetryInterval is the interval between attempts to find a new holder
	// for a request that lost its holder.
	holdRetryInterval = 1 * timekeeper.Second
	// holdTimeout is how long a holder may take to confirm a copy.
	holdTimeout = 2 * timekeeper.Second
)

// holdState is the state of a long request's copy on a peer.
type holdState struct {
	// holder is the peer that the copy was last sent to, or empty. It has
	// confirmed the copy if acked is set.
	holder  identifier.VMID
	address string
	acked   bool
	sentAt  timekeeper.Time
	// attempts counts the peers tried, failed contains those that did not
	// confirm the copy, and retryAt is when the next attempt is due.
	attempts int
	failed   map[identifier.VMID]bool
	retryAt  timekeeper.Time
	// lastHolder is the last peer that confirmed a copy. It may adopt the
	// request. It is empty
	// once that peer's process is known to have ended.
	lastHolder        identifier.VMID
	lastHolderAddress string
	// stalledAt is when the answer was first withheld for lack of a holder, or
	// Never.
	stalledAt timekeeper.Time
	// confirmPending is set while the peer that handed over the request waits
	// for confirmation that a copy exists.
	confirmPending bool
}

// beginHold sends a copy to a peer in another zone before the request is
// accepted: if this node died without notice right after accepting it, no other
// node would know of the request.
func (c *Conductor) beginHold(env *Env, r *request) []messenger.Effect {
	r.phase = holding
	out, ok := c.sendHold(env, r)
	if !ok {
		return c.refuse(env, r, notRun(messenger.ReasonUnprotected, retryAfterNoHolder))
	}
	return out
}

// sendHold sends the copy to the next possible holder.
func (c *Conductor) sendHold(env *Env, r *request) ([]messenger.Effect, bool) {
	holder, ok := c.nextHolder(env, r)
	if !ok {
		return nil, false
	}
	r.hold.holder = holder.VM
	r.hold.address = holder.PeerAddress
	r.hold.acked = false
	r.hold.attempts++
	r.hold.sentAt = env.Now
	return []messenger.Effect{
		messenger.Hold{
			Request: r.spec.Request,
			Epoch:   r.epoch,
			Holder:  holder.VM,
			Address: holder.PeerAddress,
		},
		c.timelineEntry("hold_sent", r, fmt.Sprintf("holder=%s", holder.VM)),
	}, true
}

// nextHolder returns the first node in the request's placement order that has
// not failed, preferring other zones.
//
// A stalled request is offered only to the node that may have adopted it. With
// another holder, this node would continue while that node may serve the caller
// from a different state; only its answer shows which of them owns the request.
func (c *Conductor) nextHolder(env *Env, r *request) (gossiper.Node, bool) {
	if r.hold.stalledAt != timekeeper.Never {
		if n, known := env.Members.Node(r.hold.lastHolder); known && n.State == gossiper.Alive {
			return n, !r.hold.failed[n.VM]
		}
	}
	for _, n := range placer.Holders(r.spec.Request, env.Members.Nodes(), c.config.Self) {
		if !r.hold.failed[n.VM] {
			return n, true
		}
	}
	return gossiper.Node{}, false
}

// checkHoldTimeout tries another holder if the first one has not answered
// within holdTimeout.
func (c *Conductor) checkHoldTimeout(env *Env, r *request) []messenger.Effect {
	if env.Now.Sub(r.hold.sentAt) < holdTimeout {
		return nil
	}
	return c.holdFailed(env, r)
}

// HoldAcked accepts a request once a holder has confirmed the copy.
func (c *Conductor) HoldAcked(env *Env, e messenger.HoldAcked) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known || r.hold.holder != e.Holder {
		return nil
	}
	r.hold.acked = true
	r.hold.lastHolder = r.hold.holder
	r.hold.lastHolderAddress = r.hold.address
	r.hold.stalledAt = timekeeper.Never
	if r.phase != holding {
		return c.confirmHandover(r)
	}
	if c.draining {
		return c.refuseAndReleaseCopy(env, r)
	}
	return c.accept(env, r)
}

// refuseAndReleaseCopy refuses a request and releases its copy, so that the
// holder does not adopt a refused request.
func (c *Conductor) refuseAndReleaseCopy(env *Env, r *request) []messenger.Effect {
	out := c.releaseCopy(r)
	return append(out, c.refuse(env, r, notRun(messenger.ReasonLeaving, retryAfterLeaving))...)
}

// HoldFailed looks for another holder.
func (c *Conductor) HoldFailed(env *Env, e messenger.HoldFailed) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known {
		return nil
	}
	if e.HolderEnded && r.hold.lastHolder == e.Holder {
		r.hold.lastHolder = ""
	}
	if r.hold.holder != e.Holder {
		return nil
	}
	return c.holdFailed(env, r)
}

func (c *Conductor) holdFailed(env *Env, r *request) []messenger.Effect {
	if r.hold.acked {
		r.epoch += renewalEpochIncrement
	}
	if r.hold.failed == nil {
		r.hold.failed = map[identifier.VMID]bool{}
	}
	r.hold.failed[r.hold.holder] = true
	// The failed holder may still have received the copy. It must be released,
	// so that it is not adopted if this request is refused.
	out := c.releaseCopy(r)
	if r.phase == holding && r.hold.attempts >= maxHoldAttempts {
		return append(out, c.refuse(env, r, notRun(messenger.ReasonUnprotected, retryAfterNoHolder))...)
	}
	sent, ok := c.sendHold(env, r)
	if ok {
		return append(out, sent...)
	}
	if r.phase == holding {
		return append(out, c.refuse(env, r, notRun(messenger.ReasonUnprotected, retryAfterNoHolder))...)
	}
	r.hold.holder = ""
	r.hold.acked = false
	r.hold.failed = nil
	r.hold.retryAt = env.Now.Add(holdRetryInterval)
	if r.hold.lastHolder != "" && c.config.Safeguards.StallAlone {
		return append(out, c.stall(env, r)...)
	}
	return append(out, c.continueUnprotected(r)...)
}

// HoldRefused yields a request that its holder has adopted. This node was
// frozen or partitioned for so long that it was declared dead; if it continued,
// two nodes would answer one caller from different states.
func (c *Conductor) HoldRefused(env *Env, e messenger.HoldRefused) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known || r.hold.holder != e.Holder || !c.config.Safeguards.YieldToHolder {
		return nil
	}
	out := []messenger.Effect{c.timelineEntry("yielded", r, fmt.Sprintf("owner=%s", e.Holder))}
	return append(out, c.yieldTo(env, r, e.Holder)...)
}

// replaceHolder looks for new holders for the requests whose holder is dead or
// leaving.
func (c *Conductor) replaceHolder(env *Env, vm identifier.VMID) []messenger.Effect {
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		if r.hold.holder == vm && vm != "" {
			out = append(out, c.holdFailed(env, r)...)
		}
	}
	return out
}

// ensureHolder looks for a holder for an accepted long request that has none.
func (c *Conductor) ensureHolder(env *Env, r *request) []messenger.Effect {
	if !r.spec.Long || r.hold.holder != "" || env.Now.Before(r.hold.retryAt) {
		return c.dropUnresponsiveHolder(env, r)
	}
	r.hold.retryAt = env.Now.Add(holdRetryInterval)
	out, _ := c.sendHold(env, r)
	return out
}

// dropUnresponsiveHolder replaces a holder that has not confirmed the copy
// within holdTimeout.
func (c *Conductor) dropUnresponsiveHolder(env *Env, r *request) []messenger.Effect {
	if r.hold.holder == "" || r.hold.acked || env.Now.Sub(r.hold.sentAt) < holdTimeout {
		return nil
	}
	return c.holdFailed(env, r)
}

// releaseCopy tells the holder, if any, to drop the copy.
func (c *Conductor) releaseCopy(r *request) []messenger.Effect {
	if r.hold.holder == "" {
		return nil
	}
	return []messenger.Effect{
		messenger.Unhold{
			Request: r.spec.Request,
			Holder:  r.hold.holder,
			Address: r.hold.address,
		},
	}
}
