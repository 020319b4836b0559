package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// freeTimeout is the timeout of a call that frees memory. The memory expires by itself if the call
// fails.
const freeTimeout = 1 * time.Second

// moveExchange has a backend server copy the memory of a run. A caller waits for the result, so
// the call is not queued in a lane; the reducer bounds the number of moves.
func (r *Runner) moveExchange(e messenger.MoveExchange) {
	r.metrics.moveCalls.Add(1)
	r.tasks.start(func(ctx context.Context) func() {
		pause := time.NewTimer(e.Delay.Std())
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		ctx, done := context.WithTimeout(ctx, e.Timeout.Std())
		defer done()
		moved, err := r.config.StreamMover.Move(ctx, e)
		if err != nil {
			r.logger.Warn("move call failed", "request", e.Request, "source", e.SourceAddress, "destination", e.DestinationAddress, "last", e.Last, "result", moved.Result, "error", err)
		}
		return r.report(moved)
	})
}

// freeMemory frees the copies of a run's memory.
func (r *Runner) freeMemory(e messenger.FreeMemory) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, freeTimeout)
		defer done()
		if err := r.config.StreamMover.Free(ctx, e); err != nil {
			r.logger.Warn("memory of a moved stream not freed", "request", e.Request, "source", e.SourceAddress, "error", err)
		}
		return nil
	})
}

// recordMove logs and counts the end of a move.
func (r *Runner) recordMove(e messenger.RecordMove) {
	r.metrics.moves.Add(string(e.Outcome), 1)
	r.logger.Info("move ended",
		"request", e.Request,
		"source", e.Source,
		"destination", e.Destination,
		"outcome", e.Outcome,
		"result", e.Result,
		"calls", e.Calls,
		"events", e.Created,
		"tokens", e.Tokens,
		"took_ms", int64(e.Elapsed),
		"waited_ms", int64(e.Waited),
		"pause_ms", int64(e.Pause),
	)
}
