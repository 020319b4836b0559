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
	// handoverRetryInterval is the interval between handover attempts of one
	// request.
	handoverRetryInterval = 500 * timekeeper.Millisecond
	// maxHandoverAttempts is the number of handover attempts to one successor.
	// A handover whose answer was lost may have taken effect. Repeating it to
	// the same node is harmless, but a handover to another node would give the
	// request two owners.
	maxHandoverAttempts = 3
	// handoverTimeout is how long a successor may take to answer.
	handoverTimeout = 3 * timekeeper.Second
)

// handoverState is the state of a request's handover.
type handoverState struct {
	// successor is the node that the request was last handed to, or empty, and
	// attempts the number of handovers to it.
	successor identifier.VMID
	attempts  int
	// retryAt is when the next attempt is due.
	retryAt timekeeper.Time
	// awaitingAnswer is set until the successor answers; timeoutAt ends the
	// wait.
	awaitingAnswer bool
	timeoutAt      timekeeper.Time
	// failed contains the nodes that did not take over the request.
	failed map[identifier.VMID]bool
}

// handOverIfDue hands r over to a successor if it can't end here in time.
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
		// The previous successor may have taken over the request: the next
		// owner needs a larger epoch.
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

// handOverTo returns the effect that hands r and the stream of its current
// attempt over to another node.
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

// needsHandover reports whether r must be handed over now. A request that may
// not be repeated stays, because its only attempt depends on this node's
// connection.
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

// successor returns the previous successor while attempts remain for it, then
// the holder, which already has the copy, then the first other node that has
// not failed.
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

// markSuccessorFailed excludes the current successor from further attempts.
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

// HandoverAcked yields a request that its successor has taken over.
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

// HandoverFailed allows another handover attempt.
func (c *Conductor) HandoverFailed(_ *Env, e messenger.HandoverFailed) []messenger.Effect {
	if r, known := c.requests[e.Request]; known && r.handover.successor == e.Successor {
		r.handover.awaitingAnswer = false
	}
	return nil
}

// RequestHandedOver takes over a request from a leaving peer.
func (c *Conductor) RequestHandedOver(env *Env, e messenger.RequestHandedOver) []messenger.Effect {
	if r, known := c.requests[e.Spec.Request]; known {
		// The request was already taken over, but the confirmation was lost.
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

// confirmHandover confirms to the peer that handed r over that this node has
// taken it over.
func (c *Conductor) confirmHandover(r *request) []messenger.Effect {
	if !r.hold.confirmPending {
		return nil
	}
	r.hold.confirmPending = false
	return []messenger.Effect{messenger.ConfirmHandover{Request: r.spec.Request}}
}
