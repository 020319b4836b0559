package runner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// pushTimeout bounds one push to a holder. A push is tried twice, because
	// a kept connection may be dead while a new one works.
	pushTimeout = 800 * time.Millisecond
	pushTries   = 2
	// unseenTime is how long a holder keeps the copy of an answer that has
	// ended but that no caller has read to its end.
	unseenTime = 30 * time.Second
)

// pusher pushes the answer of one request to its holder.
type pusher struct {
	effect messenger.Hold
	answer *answerer.Answer
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
	answer.Hold()
	ctx, cancel := context.WithCancel(r.tasks.ctx)
	p := &pusher{
		effect: e,
		answer: answer,
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
		mark    answerer.Mark
		whole   = true // push everything, the body included
		behind  int
		started bool
	)
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
		case err == nil && answer == HoldTaken:
			return messenger.HoldRefused{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
			}
		case err == nil && answer == HoldBehind && behind == 0:
			mark, whole = answerer.Mark{}, true
			behind++
			continue
		case err != nil || answer != HoldKept:
			r.logger.Debug("push to holder failed", "request", p.effect.Request,
				"holder", p.effect.Holder, "answer", answer, "error", err)
			return messenger.HoldFailed{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
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

func nothingNew(c answerer.Change, m answerer.Mark) bool {
	return len(c.Pieces) == 0 && c.Reply == nil && c.Place.Attempt == m.Attempt
}

func after(m answerer.Mark, c answerer.Change) answerer.Mark {
	return answerer.Mark{
		Attempt: c.Place.Attempt,
		Pieces:  m.Pieces + identifier.Tokens(len(c.Pieces)),
		Reply:   m.Reply || c.Reply != nil,
	}
}

// push makes one push, with a second try.
func (r *Runner) push(ctx context.Context, p *pusher, c answerer.Change, whole bool) (HoldAnswer, error) {
	push := Push{
		Spec:   p.answer.Spec(),
		Place:  c.Place,
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

func (r *Runner) pushOnce(ctx context.Context, address string, p Push) (HoldAnswer, error) {
	ctx, done := context.WithTimeout(ctx, pushTimeout)
	defer done()
	return r.config.Peers.Hold(ctx, address, p)
}

// unhold ends delivery through a holder.
//
// Where the answer has just ended, its last tokens may be neither with the
// holder nor with a caller. The holder gets them first and keeps its copy
// until a caller has read the end: else the death of this node in between
// would cost the caller the rest of an accepted answer. A non-idempotent
// request gets no such grace, because a holder that takes over its copy must
// not run it again.
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
	if ok {
		answer.Unhold()
	}
	r.dropCopy(e)
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
		case <-p.answer.Seen():
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

// dropCopy tells a holder to drop its copy.
func (r *Runner) dropCopy(e messenger.Unhold) {
	if e.Holder == "" {
		return
	}
	r.inLane("unhold/"+string(e.Holder), func(ctx context.Context) func() {
		r.tellUnhold(ctx, e)
		return nil
	}, nil)
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
	answer.Pause()
	change := answer.Since(answerer.Mark{})
	body := answer.Body()
	push := Push{
		Spec: answer.Spec(),
		Body: &body,
		Place: answerer.Place{
			Attempt: e.Attempt,
			Server:  e.Server,
			Stream:  e.Stream,
		},
		Pieces: change.Pieces,
		Reply:  change.Reply,
	}
	r.tasks.start(func(ctx context.Context) func() {
		err := r.handOverTo(ctx, e.Address, push)
		return func() { r.handedOver(e, answer, err) }
	})
}

func (r *Runner) handOverTo(ctx context.Context, address string, p Push) error {
	var err error
	for range pushTries {
		ctx, done := context.WithTimeout(ctx, pushTimeout)
		err = r.config.Peers.HandOver(ctx, address, p)
		done()
		if err == nil {
			return nil
		}
	}
	return err
}

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
	answer.Unpause()
	r.later(messenger.HandoverFailed{
		Request:   e.Request,
		Successor: e.Successor,
	})
}
