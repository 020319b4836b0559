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
	// pushTimeout is the timeout of one push to a holder. A push is tried
	// twice, because a reused connection may be broken.
	pushTimeout = 800 * time.Millisecond
	pushTries   = 2
	// handoverTimeout is the timeout of one handover. The successor answers
	// after a holder of its own has the copy.
	handoverTimeout = 2500 * time.Millisecond
	// unreadTimeout is the longest time that a holder keeps the copy of an
	// ended answer that no caller has read to its end.
	unreadTimeout = 30 * time.Second
)

// pusher pushes the answer of one request to its holder.
type pusher struct {
	effect messenger.Hold
	answer *answerer.Answer
	// earlierUnhold is closed when an earlier copy at the same holder has been
	// dropped. It is nil if there is none.
	earlierUnhold <-chan struct{}
	cancel        context.CancelFunc
	ended         chan struct{} // closed when the push task has ended
	failed        bool
}

// hold starts pushing to a holder. From now on callers receive only what the
// holder has acknowledged.
func (r *Runner) hold(e messenger.Hold) {
	if previous := r.holds[e.Request]; previous != nil {
		previous.cancel()
	}
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.enqueue(messenger.HoldFailed{
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
		earlierUnhold: r.pendingUnholds[copyKey{
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

// pushEnded reports a failed push to the reducer.
func (r *Runner) pushEnded(p *pusher, body messenger.EventBody) {
	p.cancel()
	p.failed = body != nil
	if body != nil && r.holds[p.effect.Request] == p {
		r.enqueue(body)
	}
}

// pushAll pushes the answer until all of it is pushed and it has ended. It
// returns the event to report to the reducer, or nil.
//
// Each push contains everything that arrived during the previous one, so that
// the number of round trips does not depend on the token rate.
func (r *Runner) pushAll(ctx context.Context, p *pusher) messenger.EventBody {
	var (
		acked   answerer.Progress
		full    = true // push everything, including the body
		resyncs int
		started bool
	)
	if p.earlierUnhold != nil {
		select {
		case <-p.earlierUnhold:
		case <-ctx.Done():
			return nil
		}
	}
	for {
		change := p.answer.Since(acked)
		if !full {
			var err error
			if change, err = p.answer.Await(ctx, acked); err != nil {
				return nil
			}
			if unchanged(change, acked) {
				return nil
			}
		}
		answer, err := r.push(ctx, p, change, full)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil && answer == relayer.HoldOwned:
			return messenger.HoldRefused{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
			}
		case err == nil && answer == relayer.HoldIncomplete && resyncs == 0:
			acked, full = answerer.Progress{}, true
			resyncs++
			continue
		case err != nil || answer != relayer.HoldStored:
			r.logger.Debug("push to holder failed", "request", p.effect.Request,
				"holder", p.effect.Holder, "answer", answer, "error", err)
			return messenger.HoldFailed{
				Request:     p.effect.Request,
				Holder:      p.effect.Holder,
				HolderEnded: connectionRefused(err),
			}
		}
		full, resyncs = false, 0
		acked = advance(acked, change)
		p.answer.Release(acked.Pieces, acked.Reply)
		if !started {
			started = true
			r.emit(ctx, messenger.HoldAcked{
				Request: p.effect.Request,
				Holder:  p.effect.Holder,
			})
		}
	}
}

// connectionRefused reports whether no process listens at the peer's address.
func connectionRefused(err error) bool {
	var peer *relayer.PeerError
	return errors.As(err, &peer) && peer.Reach == relayer.Refused
}

func unchanged(c answerer.Change, acked answerer.Progress) bool {
	return len(c.Pieces) == 0 && c.Reply == nil && c.Placement.Attempt == acked.Attempt
}

func advance(acked answerer.Progress, c answerer.Change) answerer.Progress {
	return answerer.Progress{
		Attempt: c.Placement.Attempt,
		Pieces:  acked.Pieces + identifier.Tokens(len(c.Pieces)),
		Reply:   acked.Reply || c.Reply != nil,
	}
}

// push sends one push and retries it after an error.
func (r *Runner) push(ctx context.Context, p *pusher, c answerer.Change, full bool) (relayer.HoldAnswer, error) {
	push := relayer.Push{
		Spec:      p.answer.Spec(),
		Epoch:     p.answer.Epoch(),
		Placement: c.Placement,
		Pieces:    c.Pieces,
		Reply:     c.Reply,
	}
	if full {
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

// unhold stops pushing to a holder. If e names no holder, it releases the
// answer without protection. Otherwise nothing more is released until the next
// Hold, unless the answer has ended.
//
// The last tokens of an answer that has just ended may not have reached the
// holder or a caller yet. The holder receives them first and keeps its copy
// until a caller has read the end, since the caller would otherwise lose the
// rest of the answer if this node died now. A non-idempotent request has no
// such grace, because a holder that adopted it must not run it again.
func (r *Runner) unhold(e messenger.Unhold) {
	p := r.holds[e.Request]
	delete(r.holds, e.Request)
	answer, ok := r.answers.Get(e.Request)
	if ok && p != nil && !p.failed && copyNeededUntilRead(answer) {
		r.unholdAfterRead(p, e)
		return
	}
	if p != nil {
		p.cancel()
	}
	if ok && (e.Holder == "" || hasEnded(answer)) {
		answer.Unhold()
	}
	r.dropCopy(e)
}

func hasEnded(a *answerer.Answer) bool {
	_, ended := a.Ended()
	return ended
}

// endHold stops pushing a request that another node now owns.
func (r *Runner) endHold(request identifier.RequestID) {
	if p := r.holds[request]; p != nil {
		p.cancel()
		delete(r.holds, request)
	}
}

func copyNeededUntilRead(a *answerer.Answer) bool {
	end, ended := a.Ended()
	return ended && end.MovedTo == "" && end.Outcome == messenger.Done && a.Spec().Idempotent
}

// unholdAfterRead drops the holder's copy after a caller has read the end.
func (r *Runner) unholdAfterRead(p *pusher, e messenger.Unhold) {
	r.finalMessages++
	r.tasks.start(func(ctx context.Context) func() {
		timer := time.NewTimer(unreadTimeout)
		defer timer.Stop()
		select {
		case <-p.ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		p.answer.Unhold()
		select {
		case <-p.answer.EndRead():
		case <-timer.C:
		case <-r.listenersClosed:
		case <-ctx.Done():
		}
		r.sendUnhold(ctx, e)
		return func() {
			p.cancel()
			r.finalMessages--
			r.finishIfIdle()
		}
	})
}

// copyKey identifies a copy at a holder.
type copyKey struct {
	request identifier.RequestID
	holder  identifier.VMID
}

// dropCopy requests that a holder drop its copy. A later push of the same
// request to the same holder waits for this, since the message could otherwise
// drop the new copy.
func (r *Runner) dropCopy(e messenger.Unhold) {
	if e.Holder == "" {
		return
	}
	key := copyKey{
		request: e.Request,
		holder:  e.Holder,
	}
	sent := make(chan struct{})
	r.pendingUnholds[key] = sent
	ended := func() {
		close(sent)
		if r.pendingUnholds[key] == sent {
			delete(r.pendingUnholds, key)
		}
	}
	r.inLane("unhold/"+string(e.Holder), func(ctx context.Context) func() {
		r.sendUnhold(ctx, e)
		return ended
	}, ended)
}

// sendUnhold sends the request to drop a copy and retries it. If all tries
// fail, the holder keeps the copy until after the request's deadline.
func (r *Runner) sendUnhold(ctx context.Context, e messenger.Unhold) {
	for range pushTries {
		ctx, done := context.WithTimeout(ctx, pushTimeout)
		err := r.config.Peers.Unhold(ctx, e.Address, e.Request)
		done()
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
	}
}

// handOver hands a request over to a successor.
func (r *Runner) handOver(e messenger.HandOver) {
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		r.enqueue(messenger.HandoverFailed{
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
		Placement: answerer.Placement{
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
		return func() { r.handoverEnded(e, answer, err) }
	})
}

// handoverEnded reports the result of a handover to the reducer. After a
// failure the answer is released again only if no successor, of this or an
// earlier handover, can own the request. Otherwise a caller could read two
// continuations of one answer.
func (r *Runner) handoverEnded(e messenger.HandOver, answer *answerer.Answer, err error) {
	if err == nil {
		r.metrics.handedOver.Add(1)
		r.enqueue(messenger.HandoverAcked{
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
	r.enqueue(messenger.HandoverFailed{
		Request:   e.Request,
		Successor: e.Successor,
		NotTaken:  notTaken,
	})
}
