package runner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// pushTimeout bounds one push to a holder. A push is tried twice, because
	// a kept connection may be dead while a new one works.
	pushTimeout = 800 * time.Millisecond
	pushTries   = 2
	// handoverTimeout bounds one handover: the successor answers once a holder
	// of its own has the copy.
	handoverTimeout = 2500 * time.Millisecond
	// unseenTime is how long a holder keeps the copy of an answer that has
	// ended but that no caller has read to its end.
	unseenTime = 30 * time.Second
)

// pusher pushes the answer of one request to its holder.
type pusher struct {
	effect messenger.Hold
	answer *answerer.Answer
	// before ends when the holder has been told to drop an earlier copy.
	before <-chan struct{}
	cancel context.CancelFunc
	ended  chan struct{} // closed when the task has ended
	failed bool
}

// hold starts pushing to a holder. Callers get nothing more from here on but
// what the holder has acknowledged.
func (r *Runner) hold(e messenger.Hold) {
	if old := r.holds[e.Request]; old != nil {
		old.cancel()
	}
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.later(messenger.HoldFailed{
			Request: e.Request,
			Holder:  e.Holder,
		})
		return
	}
	answer.RaiseEpoch(e.Epoch)
	answer.Hold()
	ctx, cancel := context.WithCancel(r.tasks.ctx)
	p := &pusher{
		effect: e,
		answer: answer,
		before: r.unholds[copyAt{
			request: e.Request,
			holder:  e.Holder,
		}],
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	r.holds[e.Request] = p
	r.tasks.start(func(context.Context) func() {
		body := r.pushAll(ctx, p)
		close(p.ended)
		return func() { r.pushEnded(p, body) }
	})
}

// pushEnded tells the reducer of a push that failed.
func (r *Runner) pushEnded(p *pusher, body messenger.EventBody) {
	p.cancel()
	p.failed = body != nil
	if body != nil && r.holds[p.effect.Request] == p {
		r.later(body)
	}
}

// pushAll pushes until all of an ended answer is pushed. It returns what the
// reducer has to know of its end, or nil.
//
// Each push takes all that came while the one before was under way, so that a
// fast stream costs no more round trips than a slow one.
func (r *Runner) pushAll(ctx context.Context, p *pusher) messenger.EventBody {
	var (
		mark    answerer.Progress
		whole   = true // push everything, the body included
		behind  int
		started bool
	)
	if p.before != nil {
		select {
		case <-p.before:
		case <-ctx.Done():
			return nil
		}
	}
	for {
		change := p.answer.Since(mark)
		if !whole {
			var err error
			if change, err = p.answer.Await(ctx, mark); err != nil {
				return nil
			}
			if nothingNew(change, mark) {
				return nil
			}
		}
		answer, err := r.push(ctx, p, change, whole)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil && answer == relayer.HoldOwned:
			return messenger.HoldRefused{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
			}
		case err == nil && answer == relayer.HoldIncomplete && behind == 0:
			mark, whole = answerer.Progress{}, true
			behind++
			continue
		case err != nil || answer != relayer.HoldStored:
			r.logger.Debug("push to holder failed", "request", p.effect.Request,
				"holder", p.effect.Holder, "answer", answer, "error", err)
			return messenger.HoldFailed{
				Request:     p.effect.Request,
				Holder:      p.effect.Holder,
				HolderEnded: refused(err),
			}
		}
		whole, behind = false, 0
		mark = after(mark, change)
		p.answer.Release(mark.Pieces, mark.Reply)
		if !started {
			started = true
			r.emit(ctx, messenger.HoldAcked{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
			})
		}
	}
}

// refused reports whether nothing listens at the peer's address.
func refused(err error) bool {
	var peer *relayer.PeerError
	return errors.As(err, &peer) && peer.Reach == relayer.Refused
}

func nothingNew(c answerer.Change, m answerer.Progress) bool {
	return len(c.Pieces) == 0 && c.Reply == nil && c.Placement.Attempt == m.Attempt
}

func after(m answerer.Progress, c answerer.Change) answerer.Progress {
	return answerer.Progress{
		Attempt: c.Placement.Attempt,
		Pieces:  m.Pieces + identifier.Tokens(len(c.Pieces)),
		Reply:   m.Reply || c.Reply != nil,
	}
}

// push makes one push, with a second try.
func (r *Runner) push(ctx context.Context, p *pusher, c answerer.Change, whole bool) (relayer.HoldAnswer, error) {
	push := relayer.Push{
		Spec:   p.answer.Spec(),
		Epoch:  p.answer.Epoch(),
		Place:  c.Placement,
		Pieces: c.Pieces,
		Reply:  c.Reply,
	}
	if whole {
		body := p.answer.Body()
		push.Body = &body
	}
	var last error
	for range pushTries {
		answer, err := r.pushOnce(ctx, p.effect.Address, push)
		if err == nil {
			return answer, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return "", last
}

func (r *Runner) pushOnce(ctx context.Context, address string, p relayer.Push) (relayer.HoldAnswer, error) {
	ctx, done := context.WithTimeout(ctx, pushTimeout)
	defer done()
	return r.config.Peers.Hold(ctx, address, p)
}

// unhold ends delivery through a holder. Without a holder it lets the answer
// go out unprotected; with one, the answer stays as it is until the next Hold,
// unless it has ended.
//
// Where it has just ended, its last tokens may be neither with the holder nor
// with a caller. The holder gets them first and keeps its copy until a caller
// has read the end: else the death of this node in between would cost the
// caller the rest of an accepted answer. A non-idempotent request gets no such
// grace, because a holder that takes over its copy must not run it again.
func (r *Runner) unhold(e messenger.Unhold) {
	p := r.holds[e.Request]
	delete(r.holds, e.Request)
	answer, ok := r.answers.Get(e.Request)
	if ok && p != nil && !p.failed && lingers(answer) {
		r.farewell(p, e)
		return
	}
	if p != nil {
		p.cancel()
	}
	if ok && (e.Holder == "" || over(answer)) {
		answer.Unhold()
	}
	r.dropCopy(e)
}

func over(a *answerer.Answer) bool {
	_, ended := a.Ended()
	return ended
}

// endHold ends the pushing of a request that another node has now.
func (r *Runner) endHold(request identifier.RequestID) {
	if p := r.holds[request]; p != nil {
		p.cancel()
		delete(r.holds, request)
	}
}

func lingers(a *answerer.Answer) bool {
	end, ended := a.Ended()
	return ended && end.MovedTo == "" && end.Outcome == messenger.Done && a.Spec().Idempotent
}

// farewell waits for a caller to read the end before the holder drops its
// copy.
func (r *Runner) farewell(p *pusher, e messenger.Unhold) {
	r.farewells++
	r.tasks.start(func(ctx context.Context) func() {
		patience := time.NewTimer(unseenTime)
		defer patience.Stop()
		select {
		case <-p.ended:
		case <-patience.C:
		case <-ctx.Done():
		}
		p.answer.Unhold()
		select {
		case <-p.answer.EndRead():
		case <-patience.C:
		case <-r.leaving:
		case <-ctx.Done():
		}
		r.tellUnhold(ctx, e)
		return func() {
			p.cancel()
			r.farewells--
			r.finishIfAlone()
		}
	})
}

// copyAt names a copy that a holder has.
type copyAt struct {
	request identifier.RequestID
	holder  identifier.VMID
}

// dropCopy tells a holder to drop its copy. A later push of the same request
// to the same holder waits for it, or the word could drop the new copy.
func (r *Runner) dropCopy(e messenger.Unhold) {
	if e.Holder == "" {
		return
	}
	at := copyAt{
		request: e.Request,
		holder:  e.Holder,
	}
	told := make(chan struct{})
	r.unholds[at] = told
	ended := func() {
		close(told)
		if r.unholds[at] == told {
			delete(r.unholds, at)
		}
	}
	r.inLane("unhold/"+string(e.Holder), func(ctx context.Context) func() {
		r.tellUnhold(ctx, e)
		return ended
	}, ended)
}

// tellUnhold tries a few times: where the word is lost, the holder keeps the
// copy until the request's deadline.
func (r *Runner) tellUnhold(ctx context.Context, e messenger.Unhold) {
	for range pushTries {
		ctx, done := context.WithTimeout(ctx, pushTimeout)
		err := r.config.Peers.Unhold(ctx, e.Address, e.Request)
		done()
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
	}
}

// handOver gives a request to a successor.
func (r *Runner) handOver(e messenger.HandOver) {
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.later(messenger.HandoverFailed{
			Request:   e.Request,
			Successor: e.Successor,
		})
		return
	}
	answer.RaiseEpoch(e.Epoch)
	answer.Pause()
	change := answer.Since(answerer.Progress{})
	body := answer.Body()
	push := relayer.Push{
		Spec:  answer.Spec(),
		Epoch: e.Epoch,
		Body:  &body,
		Place: answerer.Placement{
			Attempt: e.Attempt,
			Server:  e.Server,
			Stream:  e.Stream,
		},
		Pieces: change.Pieces,
		Reply:  change.Reply,
	}
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, handoverTimeout)
		defer done()
		err := r.config.Peers.HandOver(ctx, e.Address, push)
		return func() { r.handedOver(e, answer, err) }
	})
}

// handedOver tells the reducer of the end of a handover. Only where the
// successor surely has not taken the request, this time or an earlier one, may
// the answer go out from here again: a caller must not read two continuations
// of one answer.
func (r *Runner) handedOver(e messenger.HandOver, answer *answerer.Answer, err error) {
	if err == nil {
		r.metrics.handedOver.Add(1)
		r.later(messenger.HandoverAcked{
			Request:   e.Request,
			Successor: e.Successor,
		})
		return
	}
	r.logger.Warn("handover failed", "request", e.Request, "successor", e.Successor, "error", err)
	var peer *relayer.PeerError
	if !errors.As(err, &peer) || !peer.NoEffect() {
		answer.SetOwnerUncertain()
	}
	notTaken := answer.Unpause()
	r.later(messenger.HandoverFailed{
		Request:   e.Request,
		Successor: e.Successor,
		NotTaken:  notTaken,
	})
}
