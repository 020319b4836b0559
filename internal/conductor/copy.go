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

// heldCopy is what this node keeps of a peer's long request. The runner keeps
// the body and the answer so far.
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

// CopyHeld keeps or renews the copy of a peer's request. Where this node took
// itself for the owner, the peer came after it: two nodes that both went on
// would answer one caller from different states, and two that both yielded
// would leave it without an answer, so the larger epoch decides.
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

// CopyDropped forgets the copy of a request that has ended.
func (c *Conductor) CopyDropped(_ *Env, e messenger.CopyDropped) []messenger.Effect {
	delete(c.copies, e.Request)
	return nil
}

const (
	// copyGrace is how long a copy of an owner that is taken for dead waits
	// before it is adopted: its push was a sign of life.
	orphanAdoptionDelay = 2 * timekeeper.Second
	// rescueTime is kept free before this node's own end to adopt the copies
	// of silent owners and hand them on.
	drainAdoptionWindow = 3 * timekeeper.Second
	// rescueSilence is how long such an owner has not been heard of.
	drainOwnerTimeout = 1500 * timekeeper.Millisecond
)

// adoptOrphans adopts copies that no event will adopt:
//
//   - Those that came after their owner was declared dead. An owner that thawed
//     sends them, and if it lives it takes them back or is heard of, so that
//     adopting at once would make two owners.
//   - Those of an owner that is silent while this node itself is leaving. By
//     the time that the owner is declared dead, they would be gone with this
//     node.
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

// dropOverdueCopies forgets the copies of requests whose deadline has passed.
// Nothing is owed of them any more, and an owner that died after its answer
// had ended, or whose word to drop the copy was lost, would leave its copies
// here until the table is full.
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

// copiesOf returns the copies of an owner's requests, by request.
func (c *Conductor) copiesOf(owner identifier.VMID) []*heldCopy {
	var out []*heldCopy
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		if held := c.copies[id]; held.owner == owner {
			out = append(out, held)
		}
	}
	return out
}
