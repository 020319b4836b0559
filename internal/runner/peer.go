package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// What follows answers the calls of peers. It runs in their handlers'
// goroutines.

// ReceiveGossip takes a peer's news. Where the loop is behind, the news is
// dropped; the peer's next message makes up for it.
func (r *Runner) ReceiveGossip(from identifier.VMID, data []byte) {
	r.offer(messenger.GossipReceived{
		From: from,
		Data: data,
	})
}

// KeepCopy takes a push from the owner of a long request.
//
// An owner that was paused, taken for dead and thawed again still believes it
// owns the request. Its push is refused where this node came after it, or has
// the whole answer, so that callers do not read two continuations of one
// answer. Where the pusher came after this node, the reducer yields to it.
func (r *Runner) StoreCopy(ctx context.Context, from identifier.VMID, p relayer.Push) relayer.HoldAnswer {
	own, ok := r.answers.Get(p.Spec.Request)
	if ok && r.outranks(own, from, p.Epoch) {
		return relayer.HoldOwned
	}
	answer := r.copies.keep(from, p)
	if answer != relayer.HoldStored {
		return answer
	}
	if ok && neverRan(own) {
		// Callers that ask for the request are to find the copy's owner.
		r.answers.Discard(own)
	}
	kept, _, ok := r.copies.get(p.Spec.Request)
	if !ok {
		return relayer.HoldOwned
	}
	place := kept.Placement()
	held := messenger.CopyHeld{
		Spec:      kept.Spec(),
		Epoch:     kept.Epoch(),
		Owner:     from,
		Attempt:   place.Attempt,
		Server:    place.Server,
		Stream:    place.Stream,
		Delivered: kept.Delivered(),
	}
	if !r.emit(ctx, held) {
		return relayer.HoldFull
	}
	return relayer.HoldStored
}

// DropCopy drops the copy that from's request has here.
func (r *Runner) DropCopy(ctx context.Context, from identifier.VMID, request identifier.RequestID) {
	if r.copies.dropFrom(from, request) {
		r.emit(ctx, messenger.CopyDropped{Request: request})
	}
}

// outranks reports whether this node's answer stands against a peer that takes
// itself for the owner: it is whole, or this node came after the peer.
//
// A refusal does not stand. Its caller goes on to the next node under the same
// key; were that node told that the request is taken here, it would send the
// caller back to a node that has nothing, and the caller would look for its
// request until it gives up. Nothing ran here, so the peer is the only owner.
func (r *Runner) outranks(own *answerer.Answer, from identifier.VMID, epoch identifier.Epoch) bool {
	if neverRan(own) {
		return false
	}
	end, ended := own.Ended()
	if ended && end.MovedTo == "" {
		return true
	}
	if to, moved := own.MovedTo(); moved && to == from {
		return false
	}
	return later(own.Epoch(), r.config.Self, epoch, from)
}

// neverRan reports whether a request ended here without having run.
func neverRan(a *answerer.Answer) bool {
	end, ended := a.Ended()
	return ended && end.MovedTo == "" && (a.Refused() || end.Outcome == messenger.NotRun)
}

// TakeOver makes this node the owner of a leaving peer's request. It returns
// once the request is safe here, a copy with a holder included. A second call
// for the same request changes nothing: the answer to the first may have been
// lost.
func (r *Runner) TakeOver(ctx context.Context, from identifier.VMID, p relayer.Push) error {
	answer := answerer.New(answerer.Config{
		Spec:      p.Spec,
		Body:      *p.Body,
		Epoch:     p.Epoch,
		Placement: p.Place,
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
	if over(answer) {
		return nil // Whole here, or with a later owner, to which callers are sent.
	}
	if added {
		r.copies.drop(p.Spec.Request)
	}
	safe, forget := r.confirms.await(p.Spec.Request)
	defer forget()
	taken := messenger.RequestHandedOver{
		Spec:      answer.Spec(),
		Epoch:     p.Epoch,
		From:      from,
		Attempt:   p.Place.Attempt,
		Server:    p.Place.Server,
		Stream:    p.Place.Stream,
		Delivered: answer.Delivered(),
	}
	if !r.emit(ctx, taken) {
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

// WhereIs tells a peer where a request of an account is, as far as this node
// knows by itself.
func (r *Runner) Locate(q relayer.Query) (relayer.Location, bool) {
	if a, ok := r.answers.Get(q.Request); ok {
		if a.Account() != q.Account {
			return relayer.Location{}, false
		}
		if end, ended := a.Ended(); ended && end.MovedTo != "" {
			return relayer.Location{Address: end.MovedTo}, true
		}
		return relayer.Location{Address: r.config.CallerAddress}, true
	}
	if a, _, ok := r.copies.get(q.Request); ok && a.Account() == q.Account {
		return relayer.Location{
			Address: r.config.CallerAddress,
			Copy:    true,
		}, true
	}
	return relayer.Location{}, false
}

// EndingOf waits up to q.Wait for the end of a request that this node owns
// and tells a peer of it.
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

// ExportConfiguration gives a peer this node's state of the configuration.
func (r *Runner) ExportConfiguration(ctx context.Context) ([]byte, bool) {
	var (
		data []byte
		ok   bool
	)
	r.ask(ctx, func() { data, ok = r.config.Reducer.ExportConfiguration() })
	return data, ok
}
