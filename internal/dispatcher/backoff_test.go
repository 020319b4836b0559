package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// rejectAttempt ends an attempt whose server asks for a pause.
func (n *node) rejectAttempt(s messenger.SendExchange, backoff timekeeper.Duration) messenger.Effect {
	return n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:   s.Exchange,
		Attempt:    s.Attempt,
		Server:     s.Server,
		Result:     messenger.AttemptRefused,
		RetryAfter: backoff,
		Backoff:    backoff,
	})
}

// A server that asked for a pause must not be chosen, although it has nothing to do.
func TestServerIsNotUsedDuringBackoff(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	second, ok := n.rejectAttempt(first, 3000).(messenger.SendExchange)
	require.True(t, ok)
	require.NotEqual(t, first.Server, second.Server)
	for range 10 {
		require.Equal(t, second.Server, n.sendPath(t, "/ping/1").Server)
	}
	refused := refusal(t, n.rejectAttempt(second, 2000))
	require.GreaterOrEqual(t, refused.RetryAfter, timekeeper.Duration(2000), "both servers ask for a pause")

	n.env.Now = n.env.Now.Add(1999)
	refused = refusal(t, n.receive("/ping/1"))
	require.Equal(t, messenger.ReasonNoServer, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	n.env.Now = n.env.Now.Add(1)
	require.Equal(t, second.Server, n.sendPath(t, "/ping/1").Server)
}

// Guards against sending all requests to a server whose pause has just ended, since it looks idle.
func TestServerIsUsedLastAfterBackoff(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	second, ok := n.rejectAttempt(first, 3000).(messenger.SendExchange)
	require.True(t, ok)
	n.env.Now = n.env.Now.Add(3000)
	for range serverSlots - 1 {
		require.Equal(t, second.Server, n.sendPath(t, "/ping/1").Server, "it has free slots")
	}
	require.Equal(t, first.Server, n.sendPath(t, "/ping/1").Server)
}

// Guards against losing the pause that a server asks for in answer to an ended exchange.
func TestBackoffIsRecordedForEndedExchange(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	n.Ended(n.env, messenger.ExchangeEnded{Exchange: first.Exchange})
	n.rejectAttempt(first, 3000)
	for range 10 {
		require.NotEqual(t, first.Server, n.sendPath(t, "/ping/1").Server)
	}
}

// Guards against callers that wait for servers in a pause while others are free.
func TestCallerIsNotToldToWaitWhileServersAreFree(t *testing.T) {
	n := newNode(4)
	first := n.sendPath(t, "/ping/1")
	second, ok := n.rejectAttempt(first, 30_000).(messenger.SendExchange)
	require.True(t, ok)
	refused := refusal(t, n.rejectAttempt(second, 30_000))
	require.Positive(t, refused.RetryAfter)
	require.Less(t, refused.RetryAfter, timekeeper.Second)
}

// A cached prefix must not be copied from a server that asked for a pause.
func TestNoCopyFromServerDuringBackoff(t *testing.T) {
	n := newCopyingNode()
	holder := n.sendShared(t).Server
	n.env.Backoffs.Record(n.env.Now, holder, 3000)
	send := n.sendShared(t)
	require.NotEqual(t, holder, send.Server)
	require.Empty(t, send.CopyFrom)
}
