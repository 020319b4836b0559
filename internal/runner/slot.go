package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// requestSlot requests a slot at a brittle server from a peer. A caller waits for the
// result, so the request is not queued in a lane.
func (r *Runner) requestSlot(e messenger.RequestSlot) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		answer, err := r.config.Peers.Slot(ctx, e.Address, e.Report)
		answer.Unknown = answer.Unknown || err != nil
		answer.Exchange = e.Exchange
		r.metrics.countSlot(answer)
		return r.report(answer)
	})
}

// reportSlots reports requests that have ended. The next report states what a lost one did.
func (r *Runner) reportSlots(e messenger.ReportSlots) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		if err := r.config.Peers.ReportSlots(ctx, e.Address, e.Report); err != nil {
			r.logger.Debug("report of slots failed", "address", e.Address, "error", err)
		}
		return func() {}
	})
}

// GrantSlot implements relayer.Peer.
func (r *Runner) GrantSlot(ctx context.Context, report messenger.SlotReport) messenger.SlotAnswered {
	return grant(ctx, r, &r.slotRequests, messenger.SlotAnswered{Unknown: true}, func(t identifier.Ticket) messenger.EventBody {
		return messenger.SlotRequested{
			Ticket: t,
			Report: report,
		}
	})
}

// ReceiveSlots implements relayer.Peer.
func (r *Runner) ReceiveSlots(report messenger.SlotReport) {
	r.tryEmit(messenger.SlotsReported{Report: report})
}
