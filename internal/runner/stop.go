package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// drain begins a planned stop.
func (r *Runner) drain(deadline timekeeper.Time) {
	if r.draining {
		return
	}
	r.draining = true
	wait := max(deadline.Sub(r.clock.Now()), 0) + r.config.Limits.StopMargin
	r.hardStop = time.After(wait.Std())
	r.step(messenger.DrainStarted{Deadline: deadline})
}

// exit ends the node in three steps: it closes the listeners, whose handlers
// still need the loop; waits for the final messages to peers, which drop copies
// and announce that the node is leaving; and ends the loop.
func (r *Runner) exit() {
	if r.exiting {
		return
	}
	r.exiting = true
	r.tasks.start(func(ctx context.Context) func() {
		if r.config.CloseListeners != nil {
			r.config.CloseListeners(ctx)
		}
		return func() {
			close(r.listenersClosed)
			r.finishIfIdle()
		}
	})
}

// finishIfIdle ends the loop if the listeners are closed and all final messages
// have been sent.
func (r *Runner) finishIfIdle() {
	select {
	case <-r.listenersClosed:
		if r.finalMessages == 0 {
			r.finished = true
		}
	default:
	}
}
