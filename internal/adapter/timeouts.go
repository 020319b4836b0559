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
type watch struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	next   timekeeper.Duration
}

// newWatch returns a context that ends with a *ResponseTimeoutError when a bound of p
// passes without a call of heard.
func newWatch(ctx context.Context, address string, p ResponseTimeouts) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{
		cancel: cancel,
		next:   p.NextByte,
	}
	if p.FirstByte > 0 {
		w.timer = time.AfterFunc(p.FirstByte.Std(), func() {
			cancel(&ResponseTimeoutError{
				Address: address,
				After:   p.FirstByte,
			})
		})
	}
	return ctx, w
}

// heard starts the wait for the next byte.
func (w *watch) heard(address string) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.next <= 0 {
		w.timer = nil
		return
	}
	w.timer = time.AfterFunc(w.next.Std(), func() {
		w.cancel(&ResponseTimeoutError{
			Address: address,
			After:   w.next,
		})
	})
}

// stop ends the watch and its context.
func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
