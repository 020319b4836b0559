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
	// drainMargin is kept free before this node's end: what would end within
	// it is handed over, because predictions err.
	drainMargin = 1 * timekeeper.Second
	// handoverAgain is the spacing of handover tries of one request.
	handoverAgain = 500 * timekeeper.Millisecond
	// handoverTries is how often one successor is asked. A handover whose
	// answer was lost may have taken effect, and repeating it to the same
	// node does no harm, while asking another would give the request two
	// owners.
	handoverTries = 3
	// handoverPatience bounds the wait for a successor's answer.
	handoverPatience = 3 * timekeeper.Second
)

// handoverState is a request's way to a successor.
type handoverState struct {
	successor identifier.VMID
	address   string
	asked     int
	againAt   timekeeper.Time
	// pending tells that no answer has come yet; overdueAt ends the wait.
	pending   bool
	overdueAt timekeeper.Time
	failed    map[identifier.VMID]bool
}

// Drain begins this node's end: by a reclaim notice, or as a planned stop.
func (c *Conductor) Drain(w *World, deadline timekeeper.Time, planned bool) []messenger.Effect {
	if c.draining {
		c.drainBy = min(c.drainBy, deadline)
		c.planned = c.planned || planned
		return nil
	}
	c.draining = true
	c.drainBy = deadline
	c.planned = planned
	out := []messenger.Effect{
		messenger.Note{
			Kind:   "drain_started",
			VM:     c.config.Self,
			Detail: fmt.Sprintf("deadline=%s planned=%t requests=%d", deadline, planned, len(c.requests)),
		},
	}
	for _, r := range c.sortedRequests() {
		out = append(out, c.drainUnaccepted(w, r)...)
	}
	return append(out, c.tickDrain(w)...)
}

// drainUnaccepted refuses what was not yet promised. A claim that is still
// being read back is given up and released.
func (c *Conductor) drainUnaccepted(w *World, r *request) []messenger.Effect {
	if r.accepted {
		return nil
	}
	return c.refuseHeld(w, r)
}

// tickDrain hands over what cannot end here in time, and ends a planned stop
// when nothing is left.
func (c *Conductor) tickDrain(w *World) []messenger.Effect {
	if !c.draining {
		return nil
	}
	var out []messenger.Effect
	if c.config.Safeguards.HandOver {
		for _, r := range c.sortedRequests() {
			out = append(out, c.tickHandover(w, r)...)
		}
	}
	if c.planned && !c.exited && len(c.requests) == 0 {
		c.exited = true
		out = append(out, messenger.Exit{})
	}
	return out
}

func (c *Conductor) tickHandover(w *World, r *request) []messenger.Effect {
	if !c.mustGo(w, r) || w.Now.Before(r.handover.againAt) {
		return nil
	}
	before := r.handover.successor
	successor, ok := c.successor(w, r)
	r.handover.againAt = w.Now.Add(handoverAgain)
	if !ok {
		r.handover.failed = nil
		return nil
	}
	if before != "" && before != successor.VM {
		// The one asked before may have taken it: the next comes after it.
		r.epoch += renewalStep
	}
	r.handover.successor = successor.VM
	r.handover.address = successor.PeerAddress
	r.handover.asked++
	r.handover.pending = true
	r.handover.overdueAt = w.Now.Add(handoverPatience)
	return []messenger.Effect{
		messenger.HandOver{
			Request:   r.spec.Request,
			Epoch:     r.epoch,
			Successor: successor.VM,
			Address:   successor.PeerAddress,
			Attempt:   r.attempt,
			Server:    r.server,
			Stream:    r.stream,
		},
		c.note("handover_sent", r, fmt.Sprintf("successor=%s", successor.VM)),
	}
}

// mustGo reports whether r is to be handed over. What may not be repeated
// stays: its one attempt is bound to this node's connection.
func (c *Conductor) mustGo(w *World, r *request) bool {
	asked := r.handover.pending && w.Now.Before(r.handover.overdueAt)
	if !r.accepted || !r.spec.Idempotent || asked {
		return false
	}
	if r.phase != running {
		return true
	}
	end := r.began.Add(r.expected)
	return r.expected == 0 || end.After(c.drainBy.Add(-drainMargin))
}

// successor stays with the node asked last while it may still answer, then
// prefers the holder, which has the copy already.
func (c *Conductor) successor(w *World, r *request) (gossiper.Node, bool) {
	nodes := placer.Successors(r.spec.Request, w.Members.Nodes(), c.config.Self, map[identifier.Zone]bool{c.config.Zone: true})
	if n, ok := find(nodes, r.handover.successor); ok && r.handover.asked < handoverTries {
		return n, true
	}
	if r.handover.successor != "" {
		if r.handover.failed == nil {
			r.handover.failed = map[identifier.VMID]bool{}
		}
		r.handover.failed[r.handover.successor] = true
		r.handover.asked = 0
	}
	if n, ok := find(nodes, r.hold.holder); ok && !r.handover.failed[n.VM] {
		return n, true
	}
	for _, n := range nodes {
		if !r.handover.failed[n.VM] {
			return n, true
		}
	}
	return gossiper.Node{}, false
}

func find(nodes []gossiper.Node, vm identifier.VMID) (gossiper.Node, bool) {
	for _, n := range nodes {
		if n.VM == vm && vm != "" {
			return n, true
		}
	}
	return gossiper.Node{}, false
}

// HandoverAcked ends this node's part in a request that a successor has.
func (c *Conductor) HandoverAcked(w *World, e messenger.HandoverAcked) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known || r.handover.successor != e.Successor {
		return nil
	}
	c.counters.HandedOver++
	out := []messenger.Effect{c.note("handed_over", r, fmt.Sprintf("to=%s", e.Successor))}
	if r.hold.holder != e.Successor {
		out = append(out, c.unhold(r)...)
	}
	return append(out, c.leaveTo(w, r, e.Successor)...)
}

// HandoverFailed lets the request be handed over again.
func (c *Conductor) HandoverFailed(_ *World, e messenger.HandoverFailed) []messenger.Effect {
	if r, known := c.requests[e.Request]; known && r.handover.successor == e.Successor {
		r.handover.pending = false
	}
	return nil
}
