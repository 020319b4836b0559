package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The methods below are called by the goroutines that serve callers of opaque
// exchanges. Each event is applied in the loop, and the effect that answers it
// is returned to the waiting goroutine.

var _ forwarder.Decider = (*Runner)(nil)

// Receive implements forwarder.Decider.
func (r *Runner) Receive(ctx context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	return r.decide(ctx, spec.Exchange, messenger.ExchangeReceived{Spec: spec})
}

// AttemptEnded implements forwarder.Decider. It waits for the decision even if
// the caller has disconnected, so that the reducer receives the result.
func (r *Runner) AttemptEnded(ctx context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect {
	return r.decide(context.WithoutCancel(ctx), e.Exchange, e)
}

// Stalled implements forwarder.Decider.
func (r *Runner) Stalled(ctx context.Context, e messenger.ExchangeStalled) messenger.Effect {
	return r.decide(context.WithoutCancel(ctx), e.Exchange, e)
}

// Began implements forwarder.Decider.
func (r *Runner) Began(ctx context.Context, e messenger.ExchangeBegan) {
	r.emit(context.WithoutCancel(ctx), e)
}

// Ended implements forwarder.Decider.
func (r *Runner) Ended(e messenger.ExchangeEnded) { r.emit(context.Background(), e) }

// LimitReceived implements forwarder.Decider.
func (r *Runner) LimitReceived(ctx context.Context, e messenger.ServerLimitReceived) {
	r.emit(context.WithoutCancel(ctx), e)
}

// LeavingReceived implements forwarder.Decider.
func (r *Runner) LeavingReceived(ctx context.Context, e messenger.ServerLeavingReceived) {
	r.emit(context.WithoutCancel(ctx), e)
}

// BrittleReceived implements forwarder.Decider.
func (r *Runner) BrittleReceived(ctx context.Context, e messenger.ServerBrittleReceived) {
	r.emit(context.WithoutCancel(ctx), e)
}

// decide applies an event and returns the effect that answers it, or nil if ctx
// ends before the loop accepts the event or the node stops. The decision may
// require a call to a peer.
func (r *Runner) decide(ctx context.Context, id identifier.ExchangeID, body messenger.EventBody) messenger.Effect {
	answer := make(chan messenger.Effect, 1)
	applied := r.runInLoop(ctx, func() {
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

// deliverDecision sends an effect to the goroutine that waits for it.
func (r *Runner) deliverDecision(id identifier.ExchangeID, effect messenger.Effect) {
	waiting, ok := r.exchanges[id]
	if !ok {
		r.logger.Error("decision for an exchange without a waiting caller", "exchange", id)
		return
	}
	delete(r.exchanges, id)
	waiting <- effect // The channel has a buffer of one and receives one value.
}

// Moving implements forwarder.Decider.
func (r *Runner) Moving(ctx context.Context, id identifier.ExchangeID) bool {
	moving := false
	r.runInLoop(ctx, func() { moving = r.config.Reducer.Moving(id) })
	return moving
}

// Ready reports whether this node accepts callers of opaque exchanges.
func (r *Runner) Ready(ctx context.Context) bool {
	ready := false
	r.runInLoop(ctx, func() { ready = r.config.Reducer.Ready() })
	return ready
}

// ReadyNodes returns the nodes that accept callers of opaque exchanges.
func (r *Runner) ReadyNodes(ctx context.Context) []gossiper.Node {
	var nodes []gossiper.Node
	r.runInLoop(ctx, func() { nodes = r.config.Reducer.ReadyNodes() })
	return nodes
}

// MaxBody returns the configured limit on the size of a request body, or zero.
func (r *Runner) MaxBody() identifier.Bytes {
	c := r.catalog.Load()
	if c == nil || c.Routing == nil {
		return 0
	}
	return c.Routing.MaxBody
}

// ReceiveStateUpdate implements relayer.Peer. If too many events, or too many entries of
// state updates, are queued, the update is dropped; the peer's next update supersedes it.
// An update is never too large while no other is queued.
func (r *Runner) ReceiveStateUpdate(from identifier.VMID, s messenger.StateUpdate) {
	entries := countEntries(s)
	if queued := r.queuedEntries.Add(entries); queued > maxQueuedEntries && queued > entries {
		r.queuedEntries.Add(-entries)
		r.metrics.droppedEvents.Add(1)
		return
	}
	queued := r.tryQueue(queuedEvent{
		body: messenger.StateUpdateReceived{
			From:   from,
			Update: s,
		},
		sent:    time.Now(),
		entries: entries,
	})
	if !queued {
		r.queuedEntries.Add(-entries)
	}
}

// countEntries returns the number of entries of a state update, to which its memory is
// proportional.
func countEntries(s messenger.StateUpdate) int64 {
	n := len(s.Servers) + len(s.InFlight) + len(s.Factors) + len(s.Usage) + len(s.CachedPrefixes) +
		len(s.Suspects) + len(s.Limits) + len(s.Rollouts) + len(s.Versions)
	for _, d := range s.Demand {
		n += 1 + len(d.Accounts)
	}
	for _, streams := range s.Streams {
		n += 1 + len(streams.Streams)
	}
	return int64(n)
}

// sendStateUpdate sends this node's state to a peer. If too many updates are
// queued, it drops the new one; a later update contains the same state.
func (r *Runner) sendStateUpdate(e messenger.SendStateUpdate) {
	key := "share/" + string(e.Peer)
	if r.lanes.waiting(key) >= maxQueuedGossip {
		r.metrics.droppedEffects.Add(1)
		return
	}
	r.inLane(key, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, gossipTimeout)
		defer done()
		if err := r.config.Peers.SendStateUpdate(ctx, e.Address, e.Update); err != nil {
			return r.report(messenger.PeerFailed{
				Peer:  e.Peer,
				Ended: connectionRefused(err),
			})
		}
		return nil
	}, nil)
}

// orderServers sends an order for servers if the lease still covers it.
func (r *Runner) orderServers(e messenger.OrderServers) {
	// The cloud checks one fence per service and zone, so each pair has its own
	// lane.
	key := "order/" + string(e.Order.Service) + "/" + string(e.Order.Zone)
	result := func(d messenger.LeaderTaskResult) func() {
		return r.report(messenger.ServersOrdered{
			Order:  e.Order,
			Result: d,
		})
	}
	r.inLane(key, func(ctx context.Context) func() {
		return result(r.underLease(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			number, ok := r.orders.Next(e.Fence)
			if !ok {
				return messenger.LeaderTaskFenced
			}
			e.Fence = number
			return r.config.LeaderTasks.OrderServers(ctx, e)
		}))
	}, func() { r.enqueue(messenger.ServersOrdered{Order: e.Order, Result: messenger.LeaderTaskUnknown}) })
}

// reportUsage reports a usage window if the lease still covers it.
func (r *Runner) reportUsage(e messenger.ReportUsage) {
	r.inLane("usage", func(ctx context.Context) func() {
		result := r.underLease(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			return r.config.LeaderTasks.ReportUsage(ctx, e)
		})
		return r.report(messenger.UsageReported{
			Window: e.Window,
			Result: result,
		})
	}, nil)
}

// leaderTaskTimeout bounds a call to the platform's cloud, which usually
// answers within milliseconds.
const leaderTaskTimeout = 1 * timekeeper.Second

// underLease makes a call if the lease has not expired. It checks the clock
// right before the call: if the process was paused, the lease may have passed
// to another node, and both must not act.
func (r *Runner) underLease(ctx context.Context, notAfter timekeeper.Time, call func(context.Context) messenger.LeaderTaskResult) messenger.LeaderTaskResult {
	if !r.clock.Now().Before(notAfter) {
		return messenger.LeaderTaskUnknown
	}
	ctx, done := context.WithTimeout(ctx, leaderTaskTimeout.Std())
	defer done()
	return call(ctx)
}
