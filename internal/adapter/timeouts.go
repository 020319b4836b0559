package adapter

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Patience bounds how long a connection may stay silent. Zero is no bound.
type ResponseTimeouts struct {
	// First bounds the wait for the first byte of the answer, dialing and
	// queueing included.
	FirstByte timekeeper.Duration
	// Next bounds the wait between bytes.
	NextByte timekeeper.Duration
}

// watch ends a call whose connection has lost its voice. An open connection
// may be dead for good while new ones work; no error ever comes on it, so
// that only a bound on silence frees its reader.
type responseTimer struct {
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	nextByte timekeeper.Duration
}

// newWatch returns a context that ends with a *ResponseTimeoutError when a bound of p
// passes without a call of heard.
func newResponseTimer(ctx context.Context, address string, timeouts ResponseTimeouts) (context.Context, *responseTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := &responseTimer{
		cancel:   cancel,
		nextByte: timeouts.NextByte,
	}
	if timeouts.FirstByte > 0 {
		timer.timer = time.AfterFunc(timeouts.FirstByte.Std(), func() {
			cancel(&ResponseTimeoutError{
				Address: address,
				After:   timeouts.FirstByte,
			})
		})
	}
	return ctx, timer
}

// heard starts the wait for the next byte.
func (timer *responseTimer) reset(address string) {
	if timer.timer != nil {
		timer.timer.Stop()
	}
	if timer.nextByte <= 0 {
		timer.timer = nil
		return
	}
	timer.timer = time.AfterFunc(timer.nextByte.Std(), func() {
		timer.cancel(&ResponseTimeoutError{
			Address: address,
			After:   timer.nextByte,
		})
	})
}

// stop ends the watch and its context.
func (timer *responseTimer) stop() {
	if timer.timer != nil {
		timer.timer.Stop()
	}
	timer.cancel(nil)
}
