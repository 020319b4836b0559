package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// takeover is the decision that another server takes over from a stalled attempt.
type takeover struct {
	send messenger.SendExchange
	// asked is when the decision was asked for.
	asked timekeeper.Time
}

func (t takeover) decided() bool { return t.asked != 0 }

// attemptTimer cancels an attempt at the deadline of the exchange, or once another server takes
// over because this one does not send its next event in time.
type attemptTimer struct {
	cancel       context.CancelFunc
	expired      atomic.Bool
	stopDeadline func() bool
	// stalled asks for a decision on the attempt. It is nil if no other server can take over.
	stalled func() messenger.Effect
	// replaced reports that the attempt was cancelled because another server takes over.
	replaced atomic.Bool
	clock    timekeeper.Clock

	mu         sync.Mutex
	eventTimer *time.Timer
	timeout    timekeeper.Duration
	// stopped reports that no further decision is asked for. deciding is closed when the
	// one in progress is there; it is nil if there is none.
	stopped  bool
	deciding chan struct{}
	next     takeover
}

func (x *exchange) startTimer(ctx context.Context, s messenger.SendExchange) (context.Context, *attemptTimer) {
	attempt, cancel := context.WithCancel(ctx)
	t := &attemptTimer{
		cancel:  cancel,
		clock:   x.forwarder.config.Clock,
		timeout: s.FirstEventTimeout,
	}
	remaining := max(s.Deadline.Sub(t.clock.Now()), 0)
	deadline := time.AfterFunc(remaining.Std(), func() {
		t.expired.Store(true)
		cancel()
	})
	t.stopDeadline = deadline.Stop
	if s.FirstEventTimeout > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.stalled = func() messenger.Effect { return x.stalled(ctx, s) }
		t.eventTimer = time.AfterFunc(s.FirstEventTimeout.Std(), t.ask)
	}
	return attempt, t
}

// stalled asks whether another server takes over from that of an attempt.
func (x *exchange) stalled(ctx context.Context, s messenger.SendExchange) messenger.Effect {
	f := x.forwarder
	streaming := x.streaming.Load()
	effect := f.config.Decider.Stalled(ctx, messenger.ExchangeStalled{
		Exchange:  x.id,
		Attempt:   s.Attempt,
		Streaming: streaming,
	})
	_, takesOver := effect.(messenger.SendExchange)
	f.config.Metrics.attemptStalled(takesOver)
	f.config.Logger.Info("attempt stalled",
		"request", x.head.Request,
		"attempt", s.Attempt,
		"server", s.Server,
		"streaming", streaming,
		"replaced", takesOver,
	)
	return effect
}

// ask asks for a decision on a stalled attempt. The attempt goes on meanwhile, and also afterwards
// unless another server takes over.
func (t *attemptTimer) ask() {
	decided := make(chan struct{})
	defer close(decided)
	if !t.begin(decided) {
		return
	}
	asked := t.clock.Now()
	send, ok := t.stalled().(messenger.SendExchange)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deciding = nil
	switch {
	case ok:
		t.next = takeover{
			send:  send,
			asked: asked,
		}
		t.replaced.Store(true)
		t.cancel()
	case !t.stopped:
		t.eventTimer.Reset(t.timeout.Std())
	}
}

// begin reports whether a decision is to be asked for, which closes decided.
func (t *attemptTimer) begin(decided chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.deciding != nil {
		return false
	}
	t.deciding = decided
	return true
}

// eventReceived starts the timeout for the next event; zero stops it.
func (t *attemptTimer) eventReceived(next timekeeper.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.eventTimer == nil {
		return
	}
	if next <= 0 {
		t.stop()
		return
	}
	t.timeout = next
	t.eventTimer.Reset(next.Std())
}

// takeover returns what was decided on the attempt, which has ended. It waits for a decision that
// is in progress, as only one can be asked for at a time.
func (t *attemptTimer) takeover() takeover {
	t.mu.Lock()
	t.stop()
	deciding := t.deciding
	t.mu.Unlock()
	if deciding != nil {
		<-deciding
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// stop ends the decisions. The caller holds the lock.
func (t *attemptTimer) stop() {
	t.stopped = true
	if t.eventTimer != nil {
		t.eventTimer.Stop()
	}
}

func (t *attemptTimer) release() {
	t.stopDeadline()
	t.mu.Lock()
	t.stop()
	t.mu.Unlock()
	t.cancel()
}
