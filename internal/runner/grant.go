package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// grantTimeout is the timeout of a request to the node that grants limits and
// permits. It allows a round trip within a region and a brief stall.
const grantTimeout = 150 * timekeeper.Millisecond

// pendingRequests holds the requests of peers that await a decision. It is
// accessed only by the loop.
type pendingRequests[A any] struct {
	last    identifier.Ticket
	waiting map[identifier.Ticket]chan A
}

// add registers the channel for an answer and returns its ticket.
func (q *pendingRequests[A]) add(answer chan A) identifier.Ticket {
	if q.waiting == nil {
		q.waiting = map[identifier.Ticket]chan A{}
	}
	q.last++
	q.waiting[q.last] = answer
	return q.last
}

// answer sends the answer for a ticket. The channel has a buffer of one and
// receives one value.
func (q *pendingRequests[A]) answer(t identifier.Ticket, a A) {
	q.waiting[t] <- a
	delete(q.waiting, t)
}

// requestLimit requests a part of an account's limit from a peer. A caller
// waits for the result, so the request is not queued in a lane.
func (r *Runner) requestLimit(e messenger.RequestLimit) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		answer, err := r.config.Peers.Limit(ctx, e.Address, e.Account, e.Tokens)
		answer.Unknown = answer.Unknown || err != nil
		// A process that has ended grants nothing, so that another node may do so at once.
		answer.NotGranting = answer.NotGranting || connectionRefused(err)
		answer.Exchange = e.Exchange
		answer.Peer = e.Peer
		return r.report(answer)
	})
}

// requestPermit requests a permit to send to a server from a peer. It is not
// queued in a lane either.
func (r *Runner) requestPermit(e messenger.RequestPermit) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		answer, err := r.config.Peers.Permit(ctx, e.Address, e.Limits)
		answer.Unknown = answer.Unknown || err != nil
		answer.NotGranting = answer.NotGranting || connectionRefused(err)
		answer.Exchange = e.Exchange
		return r.report(answer)
	})
}

// GrantLimit implements relayer.Peer.
func (r *Runner) GrantLimit(ctx context.Context, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered {
	return grant(ctx, r, &r.limitRequests, messenger.LimitAnswered{Unknown: true}, func(t identifier.Ticket) messenger.EventBody {
		return messenger.LimitRequested{
			Ticket:  t,
			Account: account,
			Tokens:  tokens,
		}
	})
}

// GrantPermit implements relayer.Peer.
func (r *Runner) GrantPermit(ctx context.Context, limits []messenger.ServerLimit) messenger.PermitAnswered {
	return grant(ctx, r, &r.permitRequests, messenger.PermitAnswered{Unknown: true}, func(t identifier.Ticket) messenger.EventBody {
		return messenger.PermitRequested{
			Ticket: t,
			Limits: limits,
		}
	})
}

// grant has the reducer answer the request of a peer, and returns unknown if it can't in time.
func grant[A any](ctx context.Context, r *Runner, requests *pendingRequests[A], unknown A, event func(identifier.Ticket) messenger.EventBody) A {
	answer := make(chan A, 1)
	applied := r.runInLoop(ctx, func() { r.step(event(requests.add(answer))) })
	if !applied {
		return unknown
	}
	return awaitAnswer(ctx, r.stopped, answer, unknown)
}

// awaitAnswer returns the answer, or unknown if ctx ends or the node stops first.
func awaitAnswer[A any](ctx context.Context, stopped <-chan struct{}, answer <-chan A, unknown A) A {
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return unknown
	case <-stopped:
		return unknown
	}
}
