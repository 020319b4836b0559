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
	// holdTries is how many peers a new long request is offered to.
	maxHoldAttempts = 3
	// holdAgain is the spacing of tries to find a new holder for a request
	// that lost its own.
	holdRetryInterval = 1 * timekeeper.Second
	// holdPatience bounds the wait for the first holder's answer.
	holdTimeout = 2 * timekeeper.Second
)

// holdState is the off-node copy of a long request.
type holdState struct {
	// holder is the peer that was asked last, or empty. With acked set it has
	// the copy.
	holder  identifier.VMID
	address string
	acked   bool
	sentAt  timekeeper.Time
	// tries counts the peers asked, failed names those that did not answer,
	// and againAt is when another is looked for.
	attempts int
	failed   map[identifier.VMID]bool
	retryAt  timekeeper.Time
	// exposed is the last holder that had a copy and may adopt it, unless it
	// is known to be gone.
	lastHolder        identifier.VMID
	lastHolderAddress string
	// stalledAt is when the answer stopped going out for want of a holder, or
	// Never.
	stalledAt timekeeper.Time
	// confirm tells that the peer that handed the request over waits for the
	// copy to stand.
	confirmPending bool
}

// beginHold gives a peer in another zone a copy before the request is
// accepted: this node may die without notice right after it promised the
// answer, and then nobody else would know of the request.
func (c *Conductor) beginHold(env *Env, r *request) []messenger.Effect {
	r.phase = holding
	out, ok := c.sendHold(env, r)
	if !ok {
		return c.refuse(env, r, notRun(messenger.ReasonUnprotected, retryAfterNoHolder))
	}
	return out
}

// sendHold asks the next possible holder.
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

// nextHolder returns the first node of the request's own order that has not
// failed it, in another zone where there is one.
//
// A stalled request goes to the node that may have adopted it and to no other.
// With another holder this node would go on while that node serves the caller
// from a different state as soon as this one dies; only its own answer tells
// who has the request.
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

// checkFirstHold moves on when a holder does not answer at all.
func (c *Conductor) checkHoldTimeout(env *Env, r *request) []messenger.Effect {
	if env.Now.Sub(r.hold.sentAt) < holdTimeout {
		return nil
	}
	return c.holdFailed(env, r)
}

// HoldAcked accepts a request whose copy now stands off the node.
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

// refuseHeld refuses a request that a holder has a copy of, and takes the
// copy back: the holder must not adopt what was refused.
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
	// The failed holder may have the copy all the same; if this request is
	// refused it must be told, so that it does not adopt it.
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

// HoldRefused ends this node's part in a request that its holder has adopted.
// This node was frozen or cut off for so long that it was taken for dead; were
// it to go on, two nodes would answer one caller from different states.
func (c *Conductor) HoldRefused(env *Env, e messenger.HoldRefused) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known || r.hold.holder != e.Holder || !c.config.Safeguards.YieldToHolder {
		return nil
	}
	out := []messenger.Effect{c.timelineEntry("yielded", r, fmt.Sprintf("owner=%s", e.Holder))}
	return append(out, c.yieldTo(env, r, e.Holder)...)
}

// holderLost moves the copies that stood with a node that is dead or leaving.
func (c *Conductor) replaceHolder(env *Env, vm identifier.VMID) []messenger.Effect {
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		if r.hold.holder == vm && vm != "" {
			out = append(out, c.holdFailed(env, r)...)
		}
	}
	return out
}

// keepHeld finds a holder for an accepted long request without one.
func (c *Conductor) ensureHolder(env *Env, r *request) []messenger.Effect {
	if !r.spec.Long || r.hold.holder != "" || env.Now.Before(r.hold.retryAt) {
		return c.dropUnresponsiveHolder(env, r)
	}
	r.hold.retryAt = env.Now.Add(holdRetryInterval)
	out, _ := c.sendHold(env, r)
	return out
}

// dropSilentHolder gives up a holder of which nothing is heard at all.
func (c *Conductor) dropUnresponsiveHolder(env *Env, r *request) []messenger.Effect {
	if r.hold.holder == "" || r.hold.acked || env.Now.Sub(r.hold.sentAt) < holdTimeout {
		return nil
	}
	return c.holdFailed(env, r)
}

// unhold takes the copy back from the holder, if there is one.
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
