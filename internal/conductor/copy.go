package conductor

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// heldCopy is the state of a peer's long request. The runner stores the body
// and the answer so far.
type heldCopy struct {
	spec      messenger.RequestSpec
	epoch     identifier.Epoch
	owner     identifier.VMID
	attempt   identifier.AttemptNumber
	server    identifier.VMID
	stream    identifier.StreamName
	delivered identifier.Tokens
	heldAt    timekeeper.Time
}

// CopyHeld stores or updates the copy of a peer's request. If this node
// considered itself the owner, the peer has the larger epoch and this node
// yields: two nodes that both continued would answer one caller from different
// states, and two that both yielded would leave it without an answer.
func (c *Conductor) CopyHeld(env *Env, e messenger.CopyHeld) []messenger.Effect {
	var out []messenger.Effect
	if r, known := c.requests[e.Spec.Request]; known {
		if !c.config.Safeguards.LaterOwner {
			return nil
		}
		out = append(out, c.timelineEntry("superseded", r, fmt.Sprintf("owner=%s", e.Owner)))
		out = append(out, c.yieldTo(env, r, e.Owner)...)
	}
	if c.copies[e.Spec.Request] == nil && len(c.copies) >= c.config.MaxCopies {
		c.counters.CopiesRefused++
		return append(out, messenger.Forget{Request: e.Spec.Request})
	}
	c.copies[e.Spec.Request] = &heldCopy{
		spec:      e.Spec,
		epoch:     e.Epoch,
		owner:     e.Owner,
		attempt:   e.Attempt,
		server:    e.Server,
		stream:    e.Stream,
		delivered: e.Delivered,
		heldAt:    env.Now,
	}
	return out
}

// CopyDropped deletes the copy of a request that has ended.
func (c *Conductor) CopyDropped(_ *Env, e messenger.CopyDropped) []messenger.Effect {
	delete(c.copies, e.Request)
	return nil
}

const (
	// orphanAdoptionDelay is how long a copy received from an owner that was
	// already declared dead is kept before it is adopted: sending it was a sign
	// of life.
	orphanAdoptionDelay = 2 * timekeeper.Second
	// drainAdoptionWindow is the time reserved before this node ends for
	// adopting the copies of unresponsive owners and handing them over.
	drainAdoptionWindow = 3 * timekeeper.Second
	// drainOwnerTimeout is the time without messages after which an owner
	// counts as unresponsive in that window.
	drainOwnerTimeout = 1500 * timekeeper.Millisecond
)

// adoptOrphans adopts copies that no event will adopt:
//
//   - Copies received after their owner was declared dead. They come from an owner
//     that resumed after a freeze. If it is alive, it takes them back or sends
//     other messages, so adopting them immediately would create two owners.
//   - Copies of an unresponsive owner while this node is leaving. They would be
//     lost with this node before the owner is declared dead.
func (c *Conductor) adoptOrphans(env *Env) []messenger.Effect {
	if !c.config.Safeguards.AdoptCopies {
		return nil
	}
	endsSoon := c.draining && env.Now.Add(drainAdoptionWindow).After(c.drainDeadline)
	var out []messenger.Effect
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		held := c.copies[id]
		owner, known := env.Members.Node(held.owner)
		ownerDead := known && owner.State == gossiper.Dead && env.Now.Sub(held.heldAt) >= orphanAdoptionDelay
		ownerUnresponsive := known && endsSoon && env.Now.Sub(max(owner.LastSeen, held.heldAt)) >= drainOwnerTimeout
		if ownerDead || ownerUnresponsive {
			out = append(out, c.adopt(env, held)...)
		}
	}
	return out
}

// dropExpiredCopies deletes the copies of requests whose deadline has passed.
// Their requests have expired, and without this the copies of an owner that
// died after the answer ended, or whose release was lost, would fill the table.
func (c *Conductor) dropExpiredCopies(env *Env) []messenger.Effect {
	var out []messenger.Effect
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		if env.Now.Before(c.copies[id].spec.Deadline) {
			continue
		}
		delete(c.copies, id)
		out = append(out, messenger.Forget{Request: id})
	}
	return out
}

// copiesOf returns the copies of an owner's requests, ordered by request id.
func (c *Conductor) copiesOf(owner identifier.VMID) []*heldCopy {
	var out []*heldCopy
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		if held := c.copies[id]; held.owner == owner {
			out = append(out, held)
		}
	}
	return out
}
