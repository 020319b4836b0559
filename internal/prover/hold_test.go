package prover

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// hold selects the holder of an answer and starts pushing the answer to it.
func (n *node) hold(e messenger.Hold) {
	a := n.answers[e.Request]
	if a == nil {
		return
	}
	a.holder = e.Holder
	a.epoch = e.Epoch
	a.acked = false
	a.blocked = true
	a.pushing = false
	a.pushed = 0
	n.push(a)
}

// push sends a copy of the answer to the holder, one at a time, until the holder is up
// to date.
func (n *node) push(a *answer) {
	if a.holder == "" || a.pushing || a.acked && a.pushed == len(a.tokens) {
		return
	}
	a.pushing = true
	holder, count := a.holder, len(a.tokens)
	to := n.cluster.node(holder)
	snapshot := a.copyOf()
	ownedByHolder := false
	n.cluster.rpc(n, to, deliver, func() { ownedByHolder = to.storeCopy(n.vm, snapshot) }, func(ok bool) {
		if a.holder != holder {
			return
		}
		a.pushing = false
		n.pushEnded(a, holder, count, ok, ownedByHolder)
	})
}

func (n *node) pushEnded(a *answer, holder identifier.VMID, count int, ok, ownedByHolder bool) {
	id := a.spec.Request
	switch {
	case ownedByHolder && ok:
		n.apply(messenger.HoldRefused{
			Request: id,
			Holder:  holder,
		})
	case !ok && a.end != nil:
		a.holder = "" // The answer is complete, so it is released without the holder.
		a.blocked = false
		n.release(a)
	case !ok:
		to := n.cluster.node(holder)
		n.apply(messenger.HoldFailed{
			Request:     id,
			Holder:      holder,
			HolderEnded: to.dead && n.cluster.linkUp(string(n.vm), string(to.vm)),
		})
	default:
		first := !a.acked
		a.acked = true
		a.pushed = count
		n.release(a)
		if first {
			n.apply(messenger.HoldAcked{
				Request: id,
				Holder:  holder,
			})
		}
		n.push(a)
	}
}

// storeCopy handles a push at the holder. It reports whether the holder rejects it
// because it owns the request itself: its own answer has ended, or has a larger epoch,
// or the same epoch and the holder the smaller VM id.
func (n *node) storeCopy(owner identifier.VMID, snapshot *answer) bool {
	id := snapshot.spec.Request
	if existing := n.answers[id]; existing != nil && existing.movedTo == "" && existing.verdict != nil && existing.verdict.Reason == "" {
		if !n.cluster.safeguards.LaterOwner || existing.epoch > snapshot.epoch || existing.epoch == snapshot.epoch && n.vm < owner || existing.end != nil {
			return true
		}
	}
	n.copies[id] = snapshot
	n.apply(messenger.CopyHeld{
		Spec:      snapshot.spec,
		Epoch:     snapshot.epoch,
		Owner:     owner,
		Attempt:   snapshot.attempt.Attempt,
		Server:    snapshot.attempt.Server,
		Stream:    snapshot.attempt.Stream,
		Delivered: identifier.Tokens(len(snapshot.tokens)),
	})
	return false
}

// unhold stops using a holder. The holder of a completed answer keeps its copy until a
// caller has read the end, for at most 30 s.
func (n *node) unhold(e messenger.Unhold) {
	a := n.answers[e.Request]
	if a != nil && e.Holder != "" && a.holder == e.Holder && a.end != nil && a.end.Outcome == messenger.Done {
		n.unholdAfterRead(a, e, n.cluster.now.Add(30*timekeeper.Second))
		return
	}
	if a != nil && (e.Holder == "" || a.end != nil) {
		a.holder = ""
		a.blocked = false
		n.release(a)
	}
	if a != nil && a.end == nil && a.holder == e.Holder {
		a.holder = "" // The answer stays blocked until the next Hold or Unhold.
	}
	n.sendUnhold(e)
}

func (n *node) unholdAfterRead(a *answer, e messenger.Unhold, giveUpAt timekeeper.Time) {
	n.later(200*timekeeper.Millisecond, func() {
		if !a.endRead && n.cluster.now < giveUpAt {
			n.unholdAfterRead(a, e, giveUpAt)
			return
		}
		a.holder = ""
		a.blocked = false
		n.release(a)
		n.sendUnhold(e)
	})
}

func (n *node) sendUnhold(e messenger.Unhold) {
	to := n.cluster.node(e.Holder)
	n.cluster.rpc(n, to, deliver, func() {
		if to.copies[e.Request] != nil {
			delete(to.copies, e.Request)
			to.apply(messenger.CopyDropped{Request: e.Request})
		}
	}, func(bool) {})
}

// handOver hands a request over to a successor. It pauses the answer until it is known
// which node owns the request.
func (n *node) handOver(e messenger.HandOver, mode deliveryMode) {
	a := n.answers[e.Request]
	if a == nil {
		return
	}
	a.paused = true
	a.successor = e.Successor
	snapshot := a.copyOf()
	to := n.cluster.node(e.Successor)
	n.cluster.rpcAsync(n, to, mode, func(answer func()) { to.receiveHandover(n.vm, e, snapshot, answer) }, func(ok bool) {
		if ok {
			n.apply(messenger.HandoverAcked{
				Request:   e.Request,
				Successor: e.Successor,
			})
			return
		}
		nodeDead := to.dead && n.cluster.linkUp(string(n.vm), string(to.vm))
		if nodeDead {
			a.paused = false
			n.release(a)
		}
		n.apply(messenger.HandoverFailed{
			Request:   e.Request,
			Successor: e.Successor,
			NotTaken:  nodeDead,
		})
	})
}

func (n *node) receiveHandover(from identifier.VMID, e messenger.HandOver, snapshot *answer, answer func()) {
	existing := n.answers[e.Request]
	if existing != nil && existing.end != nil {
		answer()
		return
	}
	n.unconfirmed[e.Request] = append(n.unconfirmed[e.Request], answer)
	if existing == nil || existing.movedTo != "" {
		delete(n.copies, e.Request)
		snapshot.epoch = e.Epoch + 1
		n.takeOwnership(snapshot)
	}
	n.apply(messenger.RequestHandedOver{
		Spec:      snapshot.spec,
		Epoch:     e.Epoch,
		From:      from,
		Attempt:   e.Attempt,
		Server:    e.Server,
		Stream:    e.Stream,
		Delivered: identifier.Tokens(len(snapshot.tokens)),
	})
}

// answerFrom answers a caller whose key was claimed by another request, from the
// recorded outcome or from the node that won the claim.
func (n *node) answerFrom(e messenger.AnswerFrom) {
	a := n.answers[e.Request]
	if a == nil {
		return
	}
	if e.Recorded != nil {
		n.finishAs(a, e.Recorded.Outcome)
		return
	}
	n.queryWinner(a, e)
}

func (n *node) queryWinner(a *answer, e messenger.AnswerFrom) {
	to := n.cluster.node(e.Winner)
	var end *messenger.Finish
	known := false
	n.cluster.rpc(n, to, deliver, func() {
		if theirs := to.answers[e.Request]; theirs != nil {
			known = true
			end = theirs.end
		}
	}, func(ok bool) {
		switch {
		case ok && end != nil:
			n.finishAs(a, end.Outcome)
		case ok && known && n.cluster.now < a.spec.Deadline && to != n:
			n.later(500*timekeeper.Millisecond, func() { n.queryWinner(a, e) })
		default:
			n.finishAs(a, messenger.Unknown)
		}
	})
}

func (n *node) finishAs(a *answer, o messenger.Outcome) {
	a.verdict = &messenger.Refusal{}
	a.end = &messenger.Finish{
		Request: a.spec.Request,
		Outcome: o,
		Reason:  messenger.ReasonDuplicate,
	}
	a.reply = o == messenger.Done
}
