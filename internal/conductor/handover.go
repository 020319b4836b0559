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
	// successor is the node asked last, or empty, and asked how often.
	successor identifier.VMID
	asked     int
	// againAt is when the next try is due.
	againAt timekeeper.Time
	// pending tells that no answer has come yet; overdueAt ends the wait.
	pending   bool
	overdueAt timekeeper.Time
	// failed names the nodes that were asked in vain.
	failed map[identifier.VMID]bool
}

// handOverIfDue gives r to a successor where it can't end here in time.
func (c *Conductor) handOverIfDue(env *Env, r *request) []messenger.Effect {
	if !c.needsHandover(env, r) || env.Now.Before(r.handover.againAt) {
		return nil
	}
	before := r.handover.successor
	successor, ok := c.successor(env, r)
	r.handover.againAt = env.Now.Add(handoverAgain)
	if !ok {
		r.handover.failed = nil
		return nil
	}
	if before != "" && before != successor.VM {
		// The one asked before may have taken it: the next comes after it.
		r.epoch += renewalStep
	}
	r.handover.successor = successor.VM
	r.handover.asked++
	r.handover.pending = true
	r.handover.overdueAt = env.Now.Add(handoverPatience)
	return []messenger.Effect{
		r.handOverTo(successor.VM, successor.PeerAddress),
		c.note("handover_sent", r, fmt.Sprintf("successor=%s", successor.VM)),
	}
}

// handOverTo returns the order to give r, and the stream of its current
// attempt, to another node.
func (r *request) handOverTo(vm identifier.VMID, address string) messenger.HandOver {
	return messenger.HandOver{
		Request:   r.spec.Request,
		Epoch:     r.epoch,
		Successor: vm,
		Address:   address,
		Attempt:   r.attempt,
		Server:    r.server,
		Stream:    r.stream,
	}
}

// needsHandover reports whether r is to be handed over. What may not be
// repeated stays: its one attempt is bound to this node's connection.
func (c *Conductor) needsHandover(env *Env, r *request) bool {
	asked := r.handover.pending && env.Now.Before(r.handover.overdueAt)
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
func (c *Conductor) successor(env *Env, r *request) (gossiper.Node, bool) {
	leavingZones := map[identifier.Zone]bool{c.config.Zone: true}
	nodes := placer.Successors(r.spec.Request, env.Members.Nodes(), c.config.Self, leavingZones)
	if n, ok := find(nodes, r.handover.successor); ok && r.handover.asked < handoverTries {
		return n, true
	}
	r.handover.giveUpSuccessor()
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

// giveUpSuccessor passes the node asked last over from here on.
func (h *handoverState) giveUpSuccessor() {
	if h.successor == "" {
		return
	}
	if h.failed == nil {
		h.failed = map[identifier.VMID]bool{}
	}
	h.failed[h.successor] = true
	h.asked = 0
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
func (c *Conductor) HandoverAcked(env *Env, e messenger.HandoverAcked) []messenger.Effect {
	r, known := c.requests[e.Request]
	if !known || r.handover.successor != e.Successor {
		return nil
	}
	c.counters.HandedOver++
	out := []messenger.Effect{c.note("handed_over", r, fmt.Sprintf("to=%s", e.Successor))}
	if r.hold.holder != e.Successor {
		out = append(out, c.unhold(r)...)
	}
	return append(out, c.leaveTo(env, r, e.Successor)...)
}

// HandoverFailed lets the request be handed over again.
func (c *Conductor) HandoverFailed(_ *Env, e messenger.HandoverFailed) []messenger.Effect {
	if r, known := c.requests[e.Request]; known && r.handover.successor == e.Successor {
		r.handover.pending = false
	}
	return nil
}

// RequestHandedOver goes on with a request of a leaving peer.
func (c *Conductor) RequestHandedOver(env *Env, e messenger.RequestHandedOver) []messenger.Effect {
	if r, own := c.requests[e.Spec.Request]; own {
		// The peer's first message took effect and its answer was lost.
		r.epoch = max(r.epoch, e.Epoch+takeoverStep)
		r.hold.confirm = true
		if r.spec.Long && !r.hold.acked {
			return nil
		}
		return c.confirm(r)
	}
	return c.takeOver(env, takenRequest{
		spec:      e.Spec,
		epoch:     e.Epoch + takeoverStep,
		confirm:   true,
		attempt:   e.Attempt,
		server:    e.Server,
		stream:    e.Stream,
		delivered: e.Delivered,
		from:      e.From,
		how:       "taken_over",
	})
}

// confirm tells the peer that handed r over that it is safe here.
func (c *Conductor) confirm(r *request) []messenger.Effect {
	if !r.hold.confirm {
		return nil
	}
	r.hold.confirm = false
	return []messenger.Effect{messenger.ConfirmHandover{Request: r.spec.Request}}
}
