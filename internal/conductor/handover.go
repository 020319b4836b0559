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
	handoverRetryInterval = 500 * timekeeper.Millisecond
	// handoverTries is how often one successor is asked. A handover whose
	// answer was lost may have taken effect, and repeating it to the same
	// node does no harm, while asking another would give the request two
	// owners.
	maxHandoverAttempts = 3
	// handoverPatience bounds the wait for a successor's answer.
	handoverTimeout = 3 * timekeeper.Second
)

// handoverState is a request's way to a successor.
type handoverState struct {
	// successor is the node asked last, or empty, and asked how often.
	successor identifier.VMID
	attempts  int
	// againAt is when the next try is due.
	retryAt timekeeper.Time
	// pending tells that no answer has come yet; overdueAt ends the wait.
	awaitingAnswer bool
	timeoutAt      timekeeper.Time
	// failed names the nodes that were asked in vain.
	failed map[identifier.VMID]bool
}

// handOverIfDue gives r to a successor where it can't end here in time.
func (c *Conductor) handOverIfDue(env *Env, r *request) []messenger.Effect {
	if !c.needsHandover(env, r) || env.Now.Before(r.handover.retryAt) {
		return nil
	}
	previous := r.handover.successor
	successor, ok := c.successor(env, r)
	r.handover.retryAt = env.Now.Add(handoverRetryInterval)
	if !ok {
		r.handover.failed = nil
		return nil
	}
	if previous != "" && previous != successor.VM {
		// The one asked before may have taken it: the next comes after it.
		r.epoch += renewalEpochIncrement
	}
	r.handover.successor = successor.VM
	r.handover.attempts++
	r.handover.awaitingAnswer = true
	r.handover.timeoutAt = env.Now.Add(handoverTimeout)
	return []messenger.Effect{
		r.handOverTo(successor.VM, successor.PeerAddress),
		c.timelineEntry("handover_sent", r, fmt.Sprintf("successor=%s", successor.VM)),
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
	awaitingAnswer := r.handover.awaitingAnswer && env.Now.Before(r.handover.timeoutAt)
	if !r.accepted || !r.spec.Idempotent || awaitingAnswer {
		return false
	}
	if r.phase != running {
		return true
	}
	end := r.sentAt.Add(r.predictedCompletion)
	return r.predictedCompletion == 0 || end.After(c.drainDeadline.Add(-drainMargin))
}

// successor stays with the node asked last while it may still answer, then
// prefers the holder, which has the copy already.
func (c *Conductor) successor(env *Env, r *request) (gossiper.Node, bool) {
	leavingZones := map[identifier.Zone]bool{c.config.Zone: true}
	nodes := placer.Successors(r.spec.Request, env.Members.Nodes(), c.config.Self, leavingZones)
	if n, ok := findNode(nodes, r.handover.successor); ok && r.handover.attempts < maxHandoverAttempts {
		return n, true
	}
	r.handover.markSuccessorFailed()
	if n, ok := findNode(nodes, r.hold.holder); ok && !r.handover.failed[n.VM] {
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
func (h *handoverState) markSuccessorFailed() {
	if h.successor == "" {
		return
	}
	if h.failed == nil {
		h.failed = map[identifier.VMID]bool{}
	}
	h.failed[h.successor] = true
	h.attempts = 0
}

func findNode(nodes []gossiper.Node, vm identifier.VMID) (gossiper.Node, bool) {
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
	out := []messenger.Effect{c.timelineEntry("handed_over", r, fmt.Sprintf("to=%s", e.Successor))}
	if r.hold.holder != e.Successor {
		out = append(out, c.releaseCopy(r)...)
	}
	return append(out, c.yieldTo(env, r, e.Successor)...)
}

// HandoverFailed lets the request be handed over again.
func (c *Conductor) HandoverFailed(_ *Env, e messenger.HandoverFailed) []messenger.Effect {
	if r, known := c.requests[e.Request]; known && r.handover.successor == e.Successor {
		r.handover.awaitingAnswer = false
	}
	return nil
}

// RequestHandedOver goes on with a request of a leaving peer.
func (c *Conductor) RequestHandedOver(env *Env, e messenger.RequestHandedOver) []messenger.Effect {
	if r, known := c.requests[e.Spec.Request]; known {
		// The peer's first message took effect and its answer was lost.
		r.epoch = max(r.epoch, e.Epoch+takeoverEpochIncrement)
		r.hold.confirmPending = true
		if r.spec.Long && !r.hold.acked {
			return nil
		}
		return c.confirmHandover(r)
	}
	return c.takeOver(env, takeover{
		spec:           e.Spec,
		epoch:          e.Epoch + takeoverEpochIncrement,
		confirmPending: true,
		attempt:        e.Attempt,
		server:         e.Server,
		stream:         e.Stream,
		delivered:      e.Delivered,
		from:           e.From,
		kind:           "taken_over",
	})
}

// confirm tells the peer that handed r over that it is safe here.
func (c *Conductor) confirmHandover(r *request) []messenger.Effect {
	if !r.hold.confirmPending {
		return nil
	}
	r.hold.confirmPending = false
	return []messenger.Effect{messenger.ConfirmHandover{Request: r.spec.Request}}
}
