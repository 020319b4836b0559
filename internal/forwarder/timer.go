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

// attemptTimer cancels an attempt at the deadline of the exchange, or if the server does not send
// its next event in time: once another server takes over, or if the request was not sent yet.
type attemptTimer struct {
	cancel       context.CancelFunc
	connection   *connection
	expired      atomic.Bool
	stopDeadline func() bool
	// decide asks whether another server takes over because of the result that the attempt has
	// so far.
	decide func(s stall) messenger.Effect
	// check finds out whether the server's process runs.
	check func() messenger.ServerActivity
	// abandoned reports that the attempt was cancelled because another server takes over, or
	// before the request was sent.
	abandoned atomic.Bool
	clock     timekeeper.Clock
	running   *runningAttempts

	mu         sync.Mutex
	eventTimer *time.Timer
	timeout    timekeeper.Duration
	// events counts the calls of eventReceived.
	events int
	// streaming reports that a part of the answer was sent to the caller, or is about to be.
	streaming bool
	// stopped reports that no further decision is asked for. deciding is closed when the
	// one in progress is made; it is nil if there is none.
	stopped  bool
	deciding chan struct{}
	next     takeover
}

func (x *exchange) startTimer(ctx context.Context, s messenger.SendExchange, c *connection) (context.Context, *attemptTimer) {
	attempt, cancel := context.WithCancel(ctx)
	t := &attemptTimer{
		cancel:     cancel,
		connection: c,
		running:    &x.forwarder.running,
		clock:      x.forwarder.config.Clock,
		timeout:    s.FirstEventTimeout,
		streaming:  x.headSent,
		decide: func(stalled stall) messenger.Effect {
			return x.askForTakeover(ctx, s, stalled)
		},
		check: func() messenger.ServerActivity {
			if !x.mustRelease(s) {
				return ""
			}
			return x.forwarder.checkServer(attempt, s, c)
		},
	}
	remaining := max(s.Deadline.Sub(t.clock.Now()), 0)
	t.stopDeadline = time.AfterFunc(remaining.Std(), t.expire).Stop
	x.forwarder.running.add(t)
	if s.FirstEventTimeout > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.eventTimer = time.AfterFunc(s.FirstEventTimeout.Std(), t.stalled)
	}
	return attempt, t
}

// stall is the result that an attempt has so far, and what its server was found to do.
type stall struct {
	result    messenger.AttemptResult
	activity  messenger.ServerActivity
	streaming bool
}

// askForTakeover asks whether another server takes over from that of an attempt.
func (x *exchange) askForTakeover(ctx context.Context, s messenger.SendExchange, stalled stall) messenger.Effect {
	f := x.forwarder
	effect := f.config.Decider.Stalled(ctx, messenger.ExchangeStalled{
		Exchange:  x.id,
		Attempt:   s.Attempt,
		Result:    stalled.result,
		Streaming: stalled.streaming,
		Activity:  stalled.activity,
	})
	_, takesOver := effect.(messenger.SendExchange)
	f.config.Metrics.attemptStalled(takesOver)
	f.config.Logger.Info("attempt stalled",
		"request", x.head.Request,
		"attempt", s.Attempt,
		"server", s.Server,
		"result", stalled.result,
		"streaming", stalled.streaming,
		"activity", stalled.activity,
		"replaced", takesOver,
	)
	return effect
}

// stalled handles the silence of the server. An attempt that has sent nothing is given up at
// once: no answer is lost with it, and it counts as no attempt.
func (t *attemptTimer) stalled() {
	if !t.connection.written.Load() {
		t.abandoned.Store(true)
		t.cancel()
		return
	}
	t.mu.Lock()
	before := t.events
	t.mu.Unlock()
	activity := t.check()
	t.mu.Lock()
	continued := t.events != before
	t.mu.Unlock()
	if !continued {
		t.replace(stall{
			result:   messenger.AttemptTimedOut,
			activity: activity,
		})
	}
}

// replace cancels the attempt and returns true if another server takes over from one that stalls.
// The attempt goes on until that is decided, and also afterwards if there is no such server.
func (t *attemptTimer) replace(stalled stall) bool {
	decided := make(chan struct{})
	defer close(decided)
	streaming, ok := t.begin(decided)
	if !ok {
		return false
	}
	stalled.streaming = streaming
	asked := t.clock.Now()
	send, ok := t.decide(stalled).(messenger.SendExchange)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deciding = nil
	if !ok {
		if !t.stopped && t.eventTimer != nil {
			t.eventTimer.Reset(t.timeout.Std())
		}
		return false
	}
	t.next = takeover{
		send:  send,
		asked: asked,
	}
	t.abandoned.Store(true)
	t.cancel()
	return true
}

// begin reports whether a decision is to be asked for, which closes decided, and whether the
// answer counts as begun.
func (t *attemptTimer) begin(decided chan struct{}) (streaming, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.deciding != nil || t.next.decided() {
		return false, false
	}
	t.deciding = decided
	return t.streaming, true
}

// mayStream reports whether the answer's first event may be passed on: no other server takes
// over. It waits for a decision in progress, which takes the answer for one that has not begun.
func (t *attemptTimer) mayStream() bool {
	for {
		t.mu.Lock()
		deciding := t.deciding
		replaced := t.next.decided()
		t.streaming = t.streaming || deciding == nil && !replaced
		t.mu.Unlock()
		if deciding == nil {
			return !replaced
		}
		<-deciding
	}
}

// eventReceived starts the timeout for the next event; zero stops it.
func (t *attemptTimer) eventReceived(next timekeeper.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events++
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

// expire ends the attempt, and the exchange with it.
func (t *attemptTimer) expire() {
	t.expired.Store(true)
	t.cancel()
}

func (t *attemptTimer) release() {
	t.running.remove(t)
	t.stopDeadline()
	t.mu.Lock()
	t.stop()
	t.mu.Unlock()
	t.cancel()
}
