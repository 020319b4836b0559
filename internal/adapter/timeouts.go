package adapter

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// readGrace is the end of each timeout, which starts only when the process runs. After a
// pause of the process the timers may run before the readers, although data has arrived.
const readGrace = 100 * timekeeper.Millisecond

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
	address  string
	cancel   context.CancelCauseFunc
	after    afterFunc
	nextByte timekeeper.Duration

	mu sync.Mutex
	// wait is the current timeout; it is nil if there is none.
	wait *responseWait
	// startedAt is when the call started, and connectTime the time to its connection.
	startedAt   time.Time
	connectTime timekeeper.Duration
}

// responseWait is a wait for data. stop stops the timer that is running.
type responseWait struct {
	timeout timekeeper.Duration
	stop    func() bool
}

// afterFunc calls a function after a time unless it is stopped.
type afterFunc func(d timekeeper.Duration, expired func()) (stop func() bool)

func systemAfter(d timekeeper.Duration, expired func()) (stop func() bool) {
	return time.AfterFunc(d.Std(), expired).Stop
}

// newResponseTimer returns a context that is cancelled with a *ResponseTimeoutError if
// a timeout passes without a call of reset.
func newResponseTimer(ctx context.Context, address string, timeouts ResponseTimeouts, after afterFunc) (context.Context, *responseTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &responseTimer{
		address:   address,
		cancel:    cancel,
		after:     after,
		nextByte:  timeouts.NextByte,
		startedAt: time.Now(),
	}
	t.start(timeouts.FirstByte)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.connected}), t
}

func (t *responseTimer) connected(httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connectTime = timekeeper.DurationOf(time.Since(t.startedAt))
}

// start replaces the current timeout; zero means none.
func (t *responseTimer) start(timeout timekeeper.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wait != nil {
		t.wait.stop()
		t.wait = nil
	}
	if timeout <= 0 {
		return
	}
	w := &responseWait{timeout: timeout}
	t.wait = w
	w.stop = t.after(max(timeout-readGrace, 0), func() { t.startGrace(w) })
}

func (t *responseTimer) startGrace(w *responseWait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wait == w {
		w.stop = t.after(min(readGrace, w.timeout), func() { t.expire(w) })
	}
}

func (t *responseTimer) expire(w *responseWait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wait == w {
		t.cancel(&ResponseTimeoutError{
			Address:     t.address,
			After:       w.timeout,
			ConnectTime: t.connectTime,
		})
	}
}

// reset starts the timeout for the next byte.
func (t *responseTimer) reset() { t.start(t.nextByte) }

// stop stops the timer and cancels its context.
func (t *responseTimer) stop() {
	t.start(0)
	t.cancel(nil)
}
