package runner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	orderTimeout  = 10 * time.Second
	cloudTimeout  = 10 * time.Second
	exportTimeout = 2 * time.Minute
)

// leaseCovers reports whether a lease still covers an action. It is called in
// the task right before the action: the process may have been paused since the
// reducer's decision, and the lease may have passed to another node.
func (r *Runner) leaseCovers(notAfter timekeeper.Time) bool {
	return r.clock.Now().Before(notAfter)
}

// moveKV copies the KV cache of a stream to another engine.
func (r *Runner) moveKV(e messenger.MoveKV) {
	moved := messenger.KVMoved{
		Request: e.Request,
		Attempt: e.Attempt,
		To:      e.To,
	}
	r.inLane("move/"+string(e.Request), func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, exportTimeout)
		defer done()
		err := r.config.Engines.MoveKV(ctx, e.FromAddress, e.Stream, e.ToAddress)
		if err != nil {
			r.logger.Warn("KV cache was not moved", "request", e.Request, "to", e.To, "error", err)
		}
		moved.OK = err == nil
		return r.report(moved)
	}, r.report(moved))
}

// giveOrder sends an order to an engine. Orders to one engine stay in sequence.
func (r *Runner) giveOrder(e messenger.GiveOrder) {
	ended := messenger.OrderEnded{
		Ticket: e.Ticket,
		Server: e.Server,
	}
	r.inLane("order/"+string(e.Server), func(ctx context.Context) func() {
		if !r.leaseCovers(e.NotAfter) {
			r.metrics.lapsedOrders.Add(1)
			return r.report(ended)
		}
		ctx, done := context.WithTimeout(ctx, orderTimeout)
		defer done()
		err := r.config.Engines.Order(ctx, e.Address, e.Order)
		var stale *adapter.StaleFenceError
		ended.OK = err == nil
		ended.Stale = errors.As(err, &stale)
		return r.report(ended)
	}, r.report(ended))
}

func (r *Runner) buyVM(e messenger.BuyVM) {
	rejected := messenger.BuyEnded{
		Ticket:  e.Ticket,
		Refused: true,
	}
	r.inLane("cloud/"+e.ClientToken, func(ctx context.Context) func() {
		if !r.leaseCovers(e.NotAfter) {
			r.metrics.lapsedOrders.Add(1)
			return r.report(rejected)
		}
		ctx, done := context.WithTimeout(ctx, cloudTimeout)
		defer done()
		vm, err := r.config.Cloud.Buy(ctx, e)
		var refused *adapter.BuyRefusedError
		return r.report(messenger.BuyEnded{
			Ticket:    e.Ticket,
			VM:        vm,
			Refused:   errors.As(err, &refused),
			Ambiguous: err != nil && !errors.As(err, &refused),
		})
	}, r.report(rejected))
}

// releaseVM releases a VM. If that fails, the VM list still contains the VM and
// the reducer retries.
func (r *Runner) releaseVM(e messenger.ReleaseVM) {
	r.inLane("cloud/"+string(e.VM), func(ctx context.Context) func() {
		if !r.leaseCovers(e.NotAfter) {
			r.metrics.lapsedOrders.Add(1)
			return nil
		}
		ctx, done := context.WithTimeout(ctx, cloudTimeout)
		defer done()
		if err := r.config.Cloud.Release(ctx, e.VM); err != nil {
			r.logger.Warn("VM was not released", "vm", e.VM, "error", err)
		}
		return nil
	}, nil)
}
