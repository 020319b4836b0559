package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// stall reports that the server of an attempt sends nothing.
func (n *node) stall(s messenger.SendExchange, streaming bool) messenger.Effect {
	return n.Stalled(n.env, messenger.ExchangeStalled{
		Exchange:  s.Exchange,
		Attempt:   s.Attempt,
		Result:    messenger.AttemptTimedOut,
		Streaming: streaming,
	})
}

// Guards against running answers that are given up although nothing can take their place.
func TestStalledAttemptGoesOnWithoutReplacement(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		begun   bool
		prepare func(*node, messenger.SendExchange)
	}{
		{
			name: "only server",
			path: "/report/",
			prepare: func(n *node, s messenger.SendExchange) {
				n.publishServer(other(s.Server), messenger.ServerRemoved)
			},
		},
		{
			name:  "stream at the only server",
			path:  "/report/",
			begun: true,
			prepare: func(n *node, s messenger.SendExchange) {
				n.publishServer(other(s.Server), messenger.ServerLeaving)
			},
		},
		{
			name:  "stream at the only server of its version",
			path:  "/report/",
			begun: true,
			prepare: func(n *node, s messenger.SendExchange) {
				n.publishServer(other(s.Server), messenger.ServerRemoved)
				n.publishVersion("v2", 4)
			},
		},
		{
			name:  "retries are used up",
			path:  "/report/",
			begun: true,
			prepare: func(n *node, _ messenger.SendExchange) {
				for n.env.Retries.Spend(n.env.Now, "reader") {
				}
			},
		},
		{
			name: "other server is suspected",
			path: "/ping/",
			prepare: func(n *node, s messenger.SendExchange) {
				for !n.env.Suspicions.Suspect(n.env.Now, other(s.Server)) {
					n.env.Suspicions.Observe(n.env.Now, other(s.Server), detector.Observation{Kind: detector.Broken})
				}
			},
		},
		{
			name:    "request runs at most once",
			path:    "/book/",
			prepare: func(*node, messenger.SendExchange) {},
		},
		{
			name:    "stream that has begun runs at most once",
			path:    "/draft/",
			begun:   true,
			prepare: func(*node, messenger.SendExchange) {},
		},
		{
			name: "deadline is near",
			path: "/ping/",
			prepare: func(n *node, s messenger.SendExchange) {
				n.env.Now = s.Deadline.Add(-1)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(2)
			send := n.sendPath(t, test.path)
			if test.begun {
				n.begin(send)
			}
			test.prepare(n, send)
			require.Equal(t, messenger.KeepWaiting{Exchange: send.Exchange}, n.stall(send, test.begun))
			require.Equal(t, 1, n.InFlight())
			n.Ended(n.env, messenger.ExchangeEnded{
				Exchange: send.Exchange,
				Attempt:  send.Attempt,
				Result:   messenger.AttemptComplete,
			})
			require.Zero(t, n.InFlight())
		})
	}
}

// other returns the other one of two servers.
func other(server identifier.VMID) identifier.VMID {
	if server == serverID(0) {
		return serverID(1)
	}
	return serverID(0)
}

// Guards against streams that are cut because all servers are silent and retries are few.
func TestSilenceOfAllServersCutsNoStream(t *testing.T) {
	const streams = 40
	n := newNode(8)
	var running []messenger.SendExchange
	for range streams {
		send := n.sendPath(t, "/report/1")
		n.begin(send)
		running = append(running, send)
	}
	n.env.Now = n.env.Now.Add(running[0].NextEventTimeout)
	moved := 0
	for i, send := range running {
		switch e := n.stall(send, true).(type) {
		case messenger.SendExchange:
			require.NotEqual(t, send.Server, e.Server)
			moved++
			running[i] = e
		case messenger.KeepWaiting:
		default:
			require.Fail(t, "stream is cut", "%#v", e)
		}
	}
	require.LessOrEqual(t, moved, 9, "three retries in addition to 15 % of the requests")
	for _, send := range running {
		n.Ended(n.env, messenger.ExchangeEnded{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
			Result:   messenger.AttemptComplete,
		})
	}
	require.Zero(t, n.InFlight())
}

// Guards against the loss of a stalled server's answer that ends before its replacement is sent.
func TestStalledAttemptEndsBeforeReplacement(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	second, ok := n.stall(first, false).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, first.Attempt+1, second.Attempt)
	n.Ended(n.env, messenger.ExchangeEnded{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
		Result:   messenger.AttemptComplete,
	})
	require.Zero(t, n.InFlight())
	running, _ := n.OwnLoad(n.env.Now)
	for server, load := range running {
		require.Zero(t, load.Running, server)
	}
}

// Guards against ending a request because the server that was to take over grants no permit.
func TestStalledAttemptGoesOnWithoutPermit(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	n.env.Limits.Observe(n.env.Now, messenger.ServerLimitReceived{
		Server: other(first.Server),
		Limit: messenger.StatedLimit{
			Stated: true,
			Rate:   5,
		},
	})
	n.env.PermitAllocator = func(identifier.VMID) *dispatcher.Allocator {
		return &dispatcher.Allocator{
			Node:    "entry-2",
			Address: "entry-2:7600",
		}
	}
	asked, ok := n.stall(first, false).(messenger.RequestPermit)
	require.True(t, ok)
	require.Equal(t, messenger.KeepWaiting{Exchange: first.Exchange}, n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange:   asked.Exchange,
		RetryAfter: timekeeper.Second,
	}))
	n.env.Now = n.env.Now.Add(2 * timekeeper.Second)
	asked, ok = n.stall(first, false).(messenger.RequestPermit)
	require.True(t, ok)
	second, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange: asked.Exchange,
		Server:   other(first.Server),
	}).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, other(first.Server), second.Server)
}

// Guards against cutting a stream whose memory is late and that no other server can continue.
func TestStoppedStreamWaitsForMemoryWithoutReplacement(t *testing.T) {
	n := newMovingNode(2)
	s, call := n.stopped(t, "/report/1")
	for n.env.Retries.Spend(n.env.Now, "reader") {
	}
	n.env.Now = n.env.Now.Add(2 * timekeeper.Second)
	n.MoveStreams(n.env)
	require.Empty(t, effectsOf[messenger.EndExchange](n.MoveEffects()), "the stream is cut")
	moved := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveCopied, "h-1"))
	require.Len(t, moved, 1)
	require.NotEqual(t, s.Server, moved[0].Server)
}

// Guards against destinations that keep the memory of streams that others have taken over.
func TestTakeoverAbandonsMove(t *testing.T) {
	n := newMovingNode(4)
	s := n.beginFramed(t, "/report/1")
	calls := n.leave(s.Server)
	require.Len(t, calls, 1)
	next, ok := n.stall(s, true).(messenger.SendExchange)
	require.True(t, ok)
	require.NotEqual(t, s.Server, next.Server)
	records := effectsOf[messenger.RecordMove](n.MoveEffects())
	require.Len(t, records, 1)
	require.Equal(t, messenger.MoveLost, records[0].Outcome)
	freed := effectsOf[messenger.FreeMemory](n.answer(calls[0], messenger.MoveCopied, "h-1"))
	require.Len(t, freed, 1)
	n.begin(next)
	n.Ended(n.env, messenger.ExchangeEnded{
		Exchange: next.Exchange,
		Attempt:  next.Attempt,
		Result:   messenger.AttemptComplete,
	})
	require.Zero(t, n.InFlight())
}

// Guards against streams that run at two servers, as the first one is paused when its connection is closed.
func TestPausedServerIsNotReplaced(t *testing.T) {
	n := newNode(2)
	send := n.sendPath(t, "/report/1")
	stalled := messenger.ExchangeStalled{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
		Result:   messenger.AttemptTimedOut,
		Activity: messenger.ServerUnresponsive,
	}
	require.Equal(t, messenger.KeepWaiting{Exchange: send.Exchange}, n.Stalled(n.env, stalled))
	n.publishServer(send.Server, messenger.ServerRemoved)
	second, replaced := n.Stalled(n.env, stalled).(messenger.SendExchange)
	require.True(t, replaced, "a server that hangs is replaced once its entry has expired")
	require.Equal(t, other(send.Server), second.Server)
}

// Guards against streams that wait for servers which no longer work on them.
func TestServerThatIsNotPausedIsReplaced(t *testing.T) {
	for _, activity := range []messenger.ServerActivity{
		messenger.ServerResponds,
		messenger.ServerUnreachable,
		messenger.ServerRefuses,
		"",
	} {
		n := newNode(2)
		send := n.sendPath(t, "/report/1")
		_, replaced := n.Stalled(n.env, messenger.ExchangeStalled{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
			Result:   messenger.AttemptTimedOut,
			Activity: activity,
		}).(messenger.SendExchange)
		require.True(t, replaced, activity)
	}
}
