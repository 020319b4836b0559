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

// exit ends the node once nothing is left to wait for: first the listeners,
// whose handlers still need the loop, then what is left to tell peers: of
// copies that they may drop, and that this node leaves; then the loop.
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
			close(r.leaving)
			r.finishIfAlone()
		}
	})
}

// finishIfAlone ends the loop when the last farewell has been said.
func (r *Runner) finishIfAlone() {
	select {
	case <-r.leaving:
		if r.farewells == 0 {
			r.finished = true
		}
	default:
	}
}
