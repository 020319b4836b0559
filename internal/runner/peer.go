package runner

import (
	"context"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// What follows answers the calls of peers. It runs in their handlers'
// goroutines.

// Location is what a node knows of where a request is.
type Location struct {
	// Address is the caller address to go to.
	Address string
	// Copy tells that the node has only a copy: it will own the request if
	// the owner is dead.
	Copy bool
}

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
// owns the request. Its push is refused where this node owns it now, so that
// callers do not read two continuations of one answer.
func (r *Runner) KeepCopy(ctx context.Context, from identifier.VMID, p Push) HoldAnswer {
	if own, ok := r.answers.Get(p.Spec.Request); ok {
		to, moved := own.MovedTo()
		if !moved || to != from {
			return HoldTaken
		}
		r.answers.Remove(p.Spec.Request)
	}
	answer := r.copies.keep(from, p)
	if answer != HoldKept {
		return answer
	}
	kept, _, ok := r.copies.get(p.Spec.Request)
	if !ok {
		return HoldTaken
	}
	place := kept.Place()
	held := messenger.CopyHeld{
		Spec:      kept.Spec(),
		Owner:     from,
		Attempt:   place.Attempt,
		Server:    place.Server,
		Stream:    place.Stream,
		Delivered: kept.Delivered(),
	}
	if !r.emit(ctx, held) {
		return HoldFull
	}
	return HoldKept
}

// DropCopy drops the copy that from's request has here.
func (r *Runner) DropCopy(ctx context.Context, from identifier.VMID, request identifier.RequestID) {
	if r.copies.dropFrom(from, request) {
		r.emit(ctx, messenger.CopyDropped{Request: request})
	}
}

// TakeOver makes this node the owner of a leaving peer's request. A second
// call for the same request changes nothing: the answer to the first may have
// been lost.
func (r *Runner) TakeOver(ctx context.Context, from identifier.VMID, p Push) error {
	answer := answerer.New(answerer.Config{
		Spec:     p.Spec,
		Body:     *p.Body,
		Place:    p.Place,
		Pieces:   p.Pieces,
		Reply:    p.Reply,
		Accepted: true,
	})
	_, added, err := r.answers.Add(answer, func(old *answerer.Answer) bool {
		to, moved := old.MovedTo()
		return !moved || to != from
	})
	if err != nil || !added {
		return err
	}
	r.copies.drop(p.Spec.Request)
	taken := messenger.RequestHandedOver{
		Spec:      p.Spec,
		From:      from,
		Attempt:   p.Place.Attempt,
		Server:    p.Place.Server,
		Stream:    p.Place.Stream,
		Delivered: answer.Delivered(),
	}
	if !r.emit(ctx, taken) {
		r.answers.Remove(p.Spec.Request)
		return &answerer.StoppedError{}
	}
	return nil
}

// WhereIs tells a peer where a request of an account is, as far as this node
// knows by itself.
func (r *Runner) WhereIs(q Question) (Location, bool) {
	if a, ok := r.answers.Get(q.Request); ok {
		if a.Account() != q.Account {
			return Location{}, false
		}
		if end, ended := a.Ended(); ended && end.MovedTo != "" {
			return Location{Address: end.MovedTo}, true
		}
		return Location{Address: r.config.CallerAddress}, true
	}
	if a, _, ok := r.copies.get(q.Request); ok && a.Account() == q.Account {
		return Location{
			Address: r.config.CallerAddress,
			Copy:    true,
		}, true
	}
	return Location{}, false
}

// EndingOf waits up to q.Wait for the end of a request that this node owns
// and tells a peer of it.
func (r *Runner) EndingOf(ctx context.Context, q Question) Ending {
	a, ok := r.answers.Get(q.Request)
	if !ok || a.Account() != q.Account {
		return Ending{State: EndingUnknown}
	}
	ctx, done := context.WithTimeout(ctx, q.Wait.Std())
	defer done()
	var after identifier.Tokens
	for {
		pieces, end, err := a.Read(ctx, after)
		if err != nil {
			return Ending{State: EndingRunning}
		}
		if end == nil {
			after += identifier.Tokens(len(pieces))
			continue
		}
		if end.MovedTo != "" {
			return Ending{State: EndingUnknown}
		}
		return ending(a, end)
	}
}

func ending(a *answerer.Answer, end *answerer.End) Ending {
	e := Ending{
		State:   EndingKnown,
		Outcome: end.Outcome,
		Reason:  end.Reason,
		Pieces:  a.Pieces(0),
	}
	if reply, ok := a.Reply(); ok {
		e.Reply = &reply
	}
	return e
}

// locate asks peers where a request is, at most locateParallel at a time, and
// returns the first owner named; else the first holder of a copy.
func (r *Runner) locate(ctx context.Context, q Question, addresses []string) (Location, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var (
		mu     sync.Mutex
		best   Location
		found  bool
		asking sync.WaitGroup
		slots  = make(chan struct{}, locateParallel)
	)
	for _, address := range addresses {
		asking.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			at, ok, err := r.config.Peers.Locate(ctx, address, q)
			if err != nil || !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if !found || (best.Copy && !at.Copy) {
				best, found = at, true
			}
			if !best.Copy {
				cancel()
			}
		})
	}
	asking.Wait()
	return best, found
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
