package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// What follows is called by the goroutines that serve callers of opaque
// exchanges. Each event is applied in the loop, and the effect that answers it
// goes back to the one that waits.

var _ forwarder.Decider = (*Runner)(nil)

// Receive implements forwarder.Decider.
func (r *Runner) Receive(ctx context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	return r.decide(ctx, spec.Exchange, messenger.ExchangeReceived{Spec: spec})
}

// AttemptEnded implements forwarder.Decider. It waits for the decision also
// where the caller has left, so that the loop knows of the end.
func (r *Runner) AttemptEnded(ctx context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect {
	return r.decide(context.WithoutCancel(ctx), e.Exchange, e)
}

// Began implements forwarder.Decider.
func (r *Runner) Began(ctx context.Context, e messenger.ExchangeBegan) {
	r.emit(context.WithoutCancel(ctx), e)
}

// Ended implements forwarder.Decider.
func (r *Runner) Ended(e messenger.ExchangeEnded) { r.emit(context.Background(), e) }

// LimitHeard implements forwarder.Decider.
func (r *Runner) LimitReceived(ctx context.Context, e messenger.ServerLimitReceived) {
	r.emit(context.WithoutCancel(ctx), e)
}

// decide applies an event and returns the effect that answers it, or nil where
// the node or ctx ended first. The answer may take a call to a peer.
func (r *Runner) decide(ctx context.Context, id identifier.ExchangeID, body messenger.EventBody) messenger.Effect {
	answer := make(chan messenger.Effect, 1)
	applied := r.ask(ctx, func() {
		r.exchanges[id] = answer
		r.step(body)
	})
	if !applied {
		return nil
	}
	select {
	case effect := <-answer:
		return effect
	case <-r.stopped:
		return nil
	}
}

// decided hands an effect to the goroutine that waits for it.
func (r *Runner) decided(id identifier.ExchangeID, effect messenger.Effect) {
	waiting, ok := r.exchanges[id]
	if !ok {
		r.logger.Error("decision on an exchange that nobody waits for", "exchange", id)
		return
	}
	delete(r.exchanges, id)
	waiting <- effect // It has room for one, and gets only one.
}

// Ready reports whether callers may be sent to this node.
func (r *Runner) Ready(ctx context.Context) bool {
	ready := false
	r.ask(ctx, func() { ready = r.config.Reducer.Ready() })
	return ready
}

// ReadyNodes returns the nodes that callers may be sent to.
func (r *Runner) ReadyNodes(ctx context.Context) []gossiper.Node {
	var nodes []gossiper.Node
	r.ask(ctx, func() { nodes = r.config.Reducer.ReadyNodes() })
	return nodes
}

// MaxBody returns the configuration's bound of a request's body, or zero.
func (r *Runner) MaxBody() identifier.Bytes {
	c := r.catalog.Load()
	if c == nil || c.Routing == nil {
		return 0
	}
	return c.Routing.MaxBody
}

// ReceiveShare implements relayer.Peer. What is dropped where the loop is
// behind comes again with the peer's next share.
func (r *Runner) ReceiveStateUpdate(from identifier.VMID, s messenger.StateUpdate) {
	r.offer(messenger.StateUpdateReceived{
		From:   from,
		Update: s,
	})
}

// sendShare tells a peer what this node knows. A share that waits for an
// earlier one is dropped: the next says all that it says.
func (r *Runner) sendShare(e messenger.SendStateUpdate) {
	key := "share/" + string(e.Peer)
	if r.lanes.waiting(key) >= gossipQueue {
		r.metrics.droppedEffects.Add(1)
		return
	}
	r.inLane(key, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, gossipTimeout)
		defer done()
		if err := r.config.Peers.SendStateUpdate(ctx, e.Address, e.Update); err != nil {
			return r.report(messenger.PeerFailed{Peer: e.Peer})
		}
		return nil
	}, nil)
}

// orderServers gives an order, if the lease still covers it when it leaves.
func (r *Runner) orderServers(e messenger.OrderServers) {
	// One lane for what the cloud checks one fence of.
	key := "order/" + string(e.Order.Service) + "/" + string(e.Order.Zone)
	result := func(d messenger.LeaderTaskResult) func() {
		return r.report(messenger.ServersOrdered{
			Order:  e.Order,
			Result: d,
		})
	}
	r.inLane(key, func(ctx context.Context) func() {
		return result(r.duty(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			number, ok := r.orders.Next(e.Fence)
			if !ok {
				return messenger.LeaderTaskFenced
			}
			e.Fence = number
			return r.config.LeaderTasks.OrderServers(ctx, e)
		}))
	}, func() { r.later(messenger.ServersOrdered{Order: e.Order, Result: messenger.LeaderTaskUnknown}) })
}

// reportUsage reports a window, if the lease still covers it.
func (r *Runner) reportUsage(e messenger.ReportUsage) {
	r.inLane("usage", func(ctx context.Context) func() {
		result := r.duty(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			return r.config.LeaderTasks.ReportUsage(ctx, e)
		})
		return r.report(messenger.UsageReported{
			Window: e.Window,
			Result: result,
		})
	}, nil)
}

// dutyTimeout bounds a call to the platform's cloud, which answers in some
// milliseconds.
const dutyTimeout = 1 * timekeeper.Second

// duty makes a call under a lease. The clock is read right before the call
// leaves: a process that was frozen in between finds its lease lapsed, and does
// not act beside the new holder.
func (r *Runner) duty(ctx context.Context, notAfter timekeeper.Time, call func(context.Context) messenger.LeaderTaskResult) messenger.LeaderTaskResult {
	if !r.clock.Now().Before(notAfter) {
		return messenger.LeaderTaskUnknown
	}
	ctx, done := context.WithTimeout(ctx, dutyTimeout.Std())
	defer done()
	return call(ctx)
}
