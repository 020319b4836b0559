package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// grantTimeout bounds a question to the node that grants limits or permits: two ways
// within a region, and room for a node that is slow for a moment.
const grantTimeout = 150 * timekeeper.Millisecond

// questions are the peers that wait for an answer of the loop, to which they belong.
type questions[A any] struct {
	last    identifier.Ticket
	waiting map[identifier.Ticket]chan A
}

// add notes a peer that waits, and returns its ticket.
func (q *questions[A]) add(answer chan A) identifier.Ticket {
	if q.waiting == nil {
		q.waiting = map[identifier.Ticket]chan A{}
	}
	q.last++
	q.waiting[q.last] = answer
	return q.last
}

// answer hands a peer its answer. The channel has room for one, and gets only one.
func (q *questions[A]) answer(t identifier.Ticket, a A) {
	q.waiting[t] <- a
	delete(q.waiting, t)
}

// askLimit asks a peer for a part of an account's limit. The caller waits for
// the answer, so it does not share a lane with others.
func (r *Runner) askLimit(e messenger.RequestLimit) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		answer, err := r.config.Peers.Limit(ctx, e.Address, e.Account, e.Tokens)
		answer.Unknown = answer.Unknown || err != nil
		answer.Exchange = e.Exchange
		return r.report(answer)
	})
}

// askPermit asks a peer for a permit to send a request. It shares no lane either.
func (r *Runner) askPermit(e messenger.RequestPermit) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		answer, err := r.config.Peers.Permit(ctx, e.Address, e.Limits)
		answer.Unknown = answer.Unknown || err != nil
		answer.Exchange = e.Exchange
		return r.report(answer)
	})
}

// GrantLimit implements relayer.Peer.
func (r *Runner) GrantLimit(ctx context.Context, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered {
	answer := make(chan messenger.LimitAnswered, 1)
	applied := r.ask(ctx, func() {
		r.step(messenger.LimitRequested{
			Ticket:  r.limitAsks.add(answer),
			Account: account,
			Tokens:  tokens,
		})
	})
	if !applied {
		return messenger.LimitAnswered{Unknown: true}
	}
	return <-answer
}

// GrantPermit implements relayer.Peer.
func (r *Runner) GrantPermit(ctx context.Context, limits []messenger.ServerLimit) messenger.PermitAnswered {
	answer := make(chan messenger.PermitAnswered, 1)
	applied := r.ask(ctx, func() {
		r.step(messenger.PermitRequested{
			Ticket: r.permitAsks.add(answer),
			Limits: limits,
		})
	})
	if !applied {
		return messenger.PermitAnswered{Unknown: true}
	}
	return <-answer
}
