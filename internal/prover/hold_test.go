package prover

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// hold starts pushing an answer to its holder.
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

// push sends the holder what it lacks, one push at a time.
func (n *node) push(a *answer) {
	if a.holder == "" || a.pushing || a.acked && a.pushed == len(a.tokens) {
		return
	}
	a.pushing = true
	holder, count := a.holder, len(a.tokens)
	to := n.w.node(holder)
	image := a.copyOf()
	taken := false
	n.w.rpc(n, to, carry, func() { taken = to.keepCopy(n.vm, image) }, func(ok bool) {
		if a.holder != holder {
			return
		}
		a.pushing = false
		n.pushEnded(a, holder, count, ok, taken)
	})
}

func (n *node) pushEnded(a *answer, holder identifier.VMID, count int, ok, taken bool) {
	id := a.spec.Request
	switch {
	case taken && ok:
		n.apply(messenger.HoldRefused{
			Request: id,
			Holder:  holder,
		})
	case !ok && a.end != nil:
		a.holder = "" // The copy stands as it is; the caller need not wait.
		a.blocked = false
		n.release(a)
	case !ok:
		to := n.w.node(holder)
		n.apply(messenger.HoldFailed{
			Request:     id,
			Holder:      holder,
			HolderEnded: to.dead && n.w.passes(string(n.vm), string(to.vm)),
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

// keepCopy is the holder's side of a push. It reports whether the holder owns
// the request itself, with a larger epoch or, of two equal ones, the smaller
// name.
func (n *node) keepCopy(owner identifier.VMID, image *answer) bool {
	id := image.spec.Request
	if own := n.answers[id]; own != nil && own.movedTo == "" && own.verdict != nil && own.verdict.Reason == "" {
		if !n.w.guards.LaterOwner || own.epoch > image.epoch || own.epoch == image.epoch && n.vm < owner || own.end != nil {
			return true
		}
	}
	n.copies[id] = image
	n.apply(messenger.CopyHeld{
		Spec:      image.spec,
		Epoch:     image.epoch,
		Owner:     owner,
		Attempt:   image.place.Attempt,
		Server:    image.place.Server,
		Stream:    image.place.Stream,
		Delivered: identifier.Tokens(len(image.tokens)),
	})
	return false
}

// unhold ends delivery through a holder. After the end of the answer the
// holder keeps its copy until a caller has read the end.
func (n *node) unhold(e messenger.Unhold) {
	a := n.answers[e.Request]
	if a != nil && e.Holder != "" && a.holder == e.Holder && a.end != nil && a.end.Outcome == messenger.Done {
		n.farewell(a, e, n.w.now.Add(30*timekeeper.Second))
		return
	}
	if a != nil && (e.Holder == "" || a.end != nil) {
		a.holder = ""
		a.blocked = false
		n.release(a)
	}
	if a != nil && a.end == nil && a.holder == e.Holder {
		a.holder = "" // It stays blocked until the next Hold or Unhold.
	}
	n.tellUnhold(e)
}

func (n *node) farewell(a *answer, e messenger.Unhold, patience timekeeper.Time) {
	n.later(200*timekeeper.Millisecond, func() {
		if !a.seen && n.w.now < patience {
			n.farewell(a, e, patience)
			return
		}
		a.holder = ""
		a.blocked = false
		n.release(a)
		n.tellUnhold(e)
	})
}

func (n *node) tellUnhold(e messenger.Unhold) {
	to := n.w.node(e.Holder)
	n.w.rpc(n, to, carry, func() {
		if to.copies[e.Request] != nil {
			delete(to.copies, e.Request)
			to.apply(messenger.CopyDropped{Request: e.Request})
		}
	}, func(bool) {})
}

// handOver gives a request to a successor. Nothing more goes to callers until
// it is known who has it.
func (n *node) handOver(e messenger.HandOver, fate fate) {
	a := n.answers[e.Request]
	if a == nil {
		return
	}
	a.paused = true
	a.successor = e.Successor
	image := a.copyOf()
	to := n.w.node(e.Successor)
	n.w.rpcLater(n, to, fate, func(answer func()) { to.takeOver(n.vm, e, image, answer) }, func(ok bool) {
		if ok {
			n.apply(messenger.HandoverAcked{
				Request:   e.Request,
				Successor: e.Successor,
			})
			return
		}
		gone := to.dead && n.w.passes(string(n.vm), string(to.vm))
		if gone {
			a.paused = false
			n.release(a)
		}
		n.apply(messenger.HandoverFailed{
			Request:   e.Request,
			Successor: e.Successor,
			NotTaken:  gone,
		})
	})
}

func (n *node) takeOver(from identifier.VMID, e messenger.HandOver, image *answer, answer func()) {
	own := n.answers[e.Request]
	if own != nil && own.end != nil {
		answer()
		return
	}
	n.unconfirmed[e.Request] = append(n.unconfirmed[e.Request], answer)
	if own == nil || own.movedTo != "" {
		delete(n.copies, e.Request)
		image.epoch = e.Epoch + 1
		n.own(image)
	}
	n.apply(messenger.RequestHandedOver{
		Spec:      image.spec,
		Epoch:     e.Epoch,
		From:      from,
		Attempt:   e.Attempt,
		Server:    e.Server,
		Stream:    e.Stream,
		Delivered: identifier.Tokens(len(image.tokens)),
	})
}

// answerFrom answers the caller of a lost claim from the winner.
func (n *node) answerFrom(e messenger.AnswerFrom) {
	a := n.answers[e.Request]
	if a == nil {
		return
	}
	if e.Recorded != nil {
		n.endAs(a, e.Recorded.Outcome)
		return
	}
	n.askWinner(a, e)
}

func (n *node) askWinner(a *answer, e messenger.AnswerFrom) {
	to := n.w.node(e.Winner)
	var end *messenger.Finish
	known := false
	n.w.rpc(n, to, carry, func() {
		if theirs := to.answers[e.Request]; theirs != nil {
			known = true
			end = theirs.end
		}
	}, func(ok bool) {
		switch {
		case ok && end != nil:
			n.endAs(a, end.Outcome)
		case ok && known && n.w.now < a.spec.Deadline && to != n:
			n.later(500*timekeeper.Millisecond, func() { n.askWinner(a, e) })
		default:
			n.endAs(a, messenger.Unknown)
		}
	})
}

func (n *node) endAs(a *answer, o messenger.Outcome) {
	a.verdict = &messenger.Refusal{}
	a.end = &messenger.Finish{
		Request: a.spec.Request,
		Outcome: o,
		Reason:  messenger.ReasonDuplicate,
	}
	a.reply = o == messenger.Done
}
