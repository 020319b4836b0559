package adapter

import (
	"context"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// manualTimers runs timers when advance is called.
type manualTimers struct {
	now    timekeeper.Time
	timers []*manualTimer
}

type manualTimer struct {
	due     timekeeper.Time
	expired func()
}

func (m *manualTimers) after(d timekeeper.Duration, expired func()) (stop func() bool) {
	timer := &manualTimer{
		due:     m.now.Add(d),
		expired: expired,
	}
	m.timers = append(m.timers, timer)
	return func() bool {
		pending := timer.expired != nil
		timer.expired = nil
		return pending
	}
}

// advance moves the clock at once, as after a pause of the process, and then runs the timers
// that were due.
func (m *manualTimers) advance(d timekeeper.Duration) {
	m.now = m.now.Add(d)
	for _, timer := range m.timers {
		if expired := timer.expired; expired != nil && !timer.due.After(m.now) {
			timer.expired = nil
			expired()
		}
	}
}

const (
	testFirstByte = 2 * timekeeper.Second
	testNextByte  = 1 * timekeeper.Second
)

func newManualResponseTimer(t *testing.T) (context.Context, *responseTimer, *manualTimers) {
	t.Helper()
	timers := &manualTimers{}
	ctx, timer := newResponseTimer(t.Context(), "10.0.0.1:80", ResponseTimeouts{
		FirstByte: testFirstByte,
		NextByte:  testNextByte,
	}, timers.after)
	t.Cleanup(timer.stop)
	return ctx, timer, timers
}

// Guards against answers that arrived while the node paused and are taken for silence.
func TestDataThatArrivedDuringPauseIsRead(t *testing.T) {
	ctx, timer, timers := newManualResponseTimer(t)
	timers.advance(testFirstByte + timekeeper.Second)
	require.NoError(t, ctx.Err())
	timer.reset()
	timers.advance(testNextByte + timekeeper.Second)
	require.NoError(t, ctx.Err())
	timer.reset()
	timers.advance(testNextByte - readGrace)
	timers.advance(readGrace - 1)
	require.NoError(t, ctx.Err())
}

// Silence of a server must end the call at the timeout, also after a pause.
func TestSilenceEndsCall(t *testing.T) {
	ctx, _, timers := newManualResponseTimer(t)
	for range testFirstByte - 1 {
		timers.advance(1)
	}
	require.NoError(t, ctx.Err())
	timers.advance(1)
	var timeout *ResponseTimeoutError
	require.ErrorAs(t, context.Cause(ctx), &timeout)
	require.Equal(t, testFirstByte, timeout.After)

	ctx, _, timers = newManualResponseTimer(t)
	timers.advance(testFirstByte + timekeeper.Second)
	timers.advance(readGrace)
	require.ErrorAs(t, context.Cause(ctx), &timeout)
}

// Guards against a slow connection and a silent server that logs can't tell apart.
func TestTimeoutStatesConnectTime(t *testing.T) {
	const connectTime = 300 * timekeeper.Millisecond
	ctx, timer, timers := newManualResponseTimer(t)
	timer.startedAt = time.Now().Add(-connectTime.Std())
	timer.connected(httptrace.GotConnInfo{})
	timers.advance(testFirstByte)
	timers.advance(readGrace)
	var timeout *ResponseTimeoutError
	require.ErrorAs(t, context.Cause(ctx), &timeout)
	require.GreaterOrEqual(t, timeout.ConnectTime, connectTime)
}
