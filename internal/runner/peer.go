package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// The methods below serve calls from peers. They run in the goroutines of the
// call handlers.

// ReceiveGossip passes a peer's gossip message to the loop. If the event queue
// is full, the message is dropped; the peer's next message supersedes it.
func (r *Runner) ReceiveGossip(from identifier.VMID, data []byte) {
	r.tryEmit(messenger.GossipReceived{
		From: from,
		Data: data,
	})
}

// StoreCopy stores a push from the owner of a long request.
//
// An owner that was paused, declared dead and then resumed still believes that
// it owns the request. Its push is rejected if this node superseded it or has
// the complete answer, so that callers do not read two continuations of one
// answer. If instead the pushing node superseded this one, the reducer yields
// to it.
func (r *Runner) StoreCopy(ctx context.Context, from identifier.VMID, p relayer.Push) relayer.HoldAnswer {
	existing, ok := r.answers.Get(p.Spec.Request)
	if ok && r.outranks(existing, from, p.Epoch) {
		return relayer.HoldOwned
	}
	answer := r.copies.store(from, p)
	if answer != relayer.HoldStored {
		return answer
	}
	if ok && neverRan(existing) {
		// Callers that query this node must be directed to the copy's owner.
		r.answers.Discard(existing)
	}
	stored, _, ok := r.copies.get(p.Spec.Request)
	if !ok {
		return relayer.HoldOwned
	}
	placement := stored.Placement()
	event := messenger.CopyHeld{
		Spec:      stored.Spec(),
		Epoch:     stored.Epoch(),
		Owner:     from,
		Attempt:   placement.Attempt,
		Server:    placement.Server,
		Stream:    placement.Stream,
		Delivered: stored.Delivered(),
	}
	if !r.emit(ctx, event) {
		return relayer.HoldFull
	}
	return relayer.HoldStored
}

// DropCopy drops the copy of a request if it belongs to the given node.
func (r *Runner) DropCopy(ctx context.Context, from identifier.VMID, request identifier.RequestID) {
	if r.copies.dropIfOwner(from, request) {
		r.emit(ctx, messenger.CopyDropped{Request: request})
	}
}

// outranks reports whether this node's answer takes precedence over a peer that
// claims ownership, because the answer is complete or this node superseded the
// peer.
//
// An answer that never ran does not take precedence. After a refusal the caller
// retries with the same key at the next node. If that node were told that this
// one owns the request, it would redirect the caller to a node without an
// answer. Since nothing ran here, the peer is the only owner.
func (r *Runner) outranks(answer *answerer.Answer, from identifier.VMID, epoch identifier.Epoch) bool {
	if neverRan(answer) {
		return false
	}
	end, ended := answer.Ended()
	if ended && end.MovedTo == "" {
		return true
	}
	if to, moved := answer.MovedTo(); moved && to == from {
		return false
	}
	return laterOwner(answer.Epoch(), r.config.Self, epoch, from)
}

// neverRan reports whether a request ended here without having run.
func neverRan(a *answerer.Answer) bool {
	end, ended := a.Ended()
	return ended && end.MovedTo == "" && (a.Refused() || end.Outcome == messenger.NotRun)
}

// TakeOver makes this node the owner of a leaving peer's request. It returns
// once the request is stored safely, including a copy at a holder if needed.
// The call is idempotent, since the peer repeats it if the first response is
// lost.
func (r *Runner) TakeOver(ctx context.Context, from identifier.VMID, p relayer.Push) error {
	answer := answerer.New(answerer.Config{
		Spec:      p.Spec,
		Body:      *p.Body,
		Epoch:     p.Epoch,
		Placement: p.Placement,
		Pieces:    p.Pieces,
		Reply:     p.Reply,
		Accepted:  true,
	})
	answer, added, err := r.answers.Add(answer, func(old *answerer.Answer) bool {
		_, moved := old.MovedTo()
		return !neverRan(old) && (!moved || r.outranks(old, from, p.Epoch))
	})
	if err != nil {
		return err
	}
	if hasEnded(answer) {
		return nil // The answer is complete here, or has moved to a later owner.
	}
	if added {
		r.copies.drop(p.Spec.Request)
	}
	safe, forget := r.handoverConfirmations.await(p.Spec.Request)
	defer forget()
	event := messenger.RequestHandedOver{
		Spec:      answer.Spec(),
		Epoch:     p.Epoch,
		From:      from,
		Attempt:   p.Placement.Attempt,
		Server:    p.Placement.Server,
		Stream:    p.Placement.Stream,
		Delivered: answer.Delivered(),
	}
	if !r.emit(ctx, event) {
		if added {
			r.answers.Remove(p.Spec.Request)
		}
		return &answerer.NodeStoppingError{}
	}
	select {
	case <-safe:
		return nil
	case <-answer.Done():
		return nil
	case <-ctx.Done():
		return &answerer.WaitError{
			Request: p.Spec.Request,
			Cause:   context.Cause(ctx),
		}
	case <-r.stopped:
		return &answerer.WaitError{
			Request: p.Spec.Request,
			Cause:   context.Canceled,
		}
	}
}

// Locate returns the location of an account's request as far as this node
// knows, without querying others.
func (r *Runner) Locate(q relayer.Query) (relayer.Location, bool) {
	a, owned, ok := r.lookUp(q.Request)
	if !ok || a.Account() != q.Account {
		return relayer.Location{}, false
	}
	if end, ended := a.Ended(); owned && ended && end.MovedTo != "" {
		return relayer.Location{Address: end.MovedTo}, true
	}
	return relayer.Location{
		Address: r.config.CallerAddress,
		Copy:    !owned,
	}, true
}

// Ending waits up to q.Wait for the end of a request that this node owns and
// returns it.
func (r *Runner) Ending(ctx context.Context, q relayer.Query) relayer.Ending {
	a, ok := r.answers.Get(q.Request)
	if !ok || a.Account() != q.Account {
		return relayer.Ending{State: relayer.EndingUnknown}
	}
	ctx, done := context.WithTimeout(ctx, q.Wait.Std())
	defer done()
	select {
	case <-a.Done():
	case <-ctx.Done():
		return relayer.Ending{State: relayer.EndingRunning}
	}
	end, _ := a.Ended()
	if end.MovedTo != "" {
		return relayer.Ending{State: relayer.EndingUnknown}
	}
	return ending(a, end)
}

func ending(a *answerer.Answer, end answerer.End) relayer.Ending {
	e := relayer.Ending{
		State:   relayer.EndingKnown,
		Outcome: end.Outcome,
		Reason:  end.Reason,
		Pieces:  a.Pieces(0),
	}
	if reply, ok := a.Reply(); ok {
		e.Reply = &reply
	}
	return e
}

// ExportConfiguration returns this node's encoded state of the configuration.
func (r *Runner) ExportConfiguration(ctx context.Context) ([]byte, bool) {
	var (
		data []byte
		ok   bool
	)
	r.runInLoop(ctx, func() { data, ok = r.config.Reducer.ExportConfiguration() })
	return data, ok
}
