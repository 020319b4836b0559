package adapter

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ResponseTimeouts bounds the time without data on a connection. Zero means no bound.
type ResponseTimeouts struct {
	// FirstByte bounds the wait for the first byte of the answer, including dialing and
	// queueing.
	FirstByte timekeeper.Duration
	// NextByte bounds the wait between bytes.
	NextByte timekeeper.Duration
}

// responseTimer cancels a call whose connection has stalled. A stalled connection
// reports no error, so its reader would wait forever.
type responseTimer struct {
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	nextByte timekeeper.Duration
}

// newResponseTimer returns a context that is cancelled with a *ResponseTimeoutError if
// a timeout passes without a call of reset.
func newResponseTimer(ctx context.Context, address string, timeouts ResponseTimeouts) (context.Context, *responseTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &responseTimer{
		cancel:   cancel,
		nextByte: timeouts.NextByte,
	}
	if timeouts.FirstByte > 0 {
		t.timer = time.AfterFunc(timeouts.FirstByte.Std(), func() {
			cancel(&ResponseTimeoutError{
				Address: address,
				After:   timeouts.FirstByte,
			})
		})
	}
	return ctx, t
}

// reset starts the timeout for the next byte.
func (t *responseTimer) reset(address string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.nextByte <= 0 {
		t.timer = nil
		return
	}
	t.timer = time.AfterFunc(t.nextByte.Std(), func() {
		t.cancel(&ResponseTimeoutError{
			Address: address,
			After:   t.nextByte,
		})
	})
}

// stop stops the timer and cancels its context.
func (t *responseTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(nil)
}
