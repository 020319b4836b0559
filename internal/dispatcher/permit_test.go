package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func (n *node) stateLimit(server identifier.VMID, rate identifier.RequestRate) {
	n.env.Limits.Observe(n.env.Now, messenger.ServerLimitReceived{
		Server: server,
		Sent:   n.env.Now,
		Limit: messenger.StatedLimit{
			Stated: true,
			Rate:   rate,
		},
	})
}

// allocatePermitsAt makes a peer the permit allocator of all servers.
func (n *node) allocatePermitsAt(peer identifier.VMID) {
	n.env.PermitAllocator = func(identifier.VMID) *dispatcher.Allocator {
		return &dispatcher.Allocator{
			Node:    peer,
			Address: "10.0.1.2:7000",
		}
	}
}

// requestPermit receives a request and requires that a permit is requested.
func (n *node) requestPermit(t *testing.T) messenger.RequestPermit {
	t.Helper()
	ask, ok := n.receive("/ping/1").(messenger.RequestPermit)
	require.True(t, ok)
	return ask
}

// If all servers state a limit, one permit is requested for any of them.
func TestPermitFromPeer(t *testing.T) {
	requestPermit := func(t *testing.T) (*node, messenger.RequestPermit) {
		n := newNode(2)
		n.stateLimit(serverID(0), 1)
		n.stateLimit(serverID(1), 2)
		n.allocatePermitsAt("entry-2")
		asked := n.requestPermit(t)
		require.Equal(t, identifier.VMID("entry-2"), asked.Peer)
		require.Len(t, asked.Limits, 2)
		return n, asked
	}
	t.Run("granted", func(t *testing.T) {
		n, asked := requestPermit(t)
		send, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[1].Server,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, asked.Limits[1].Server, send.Server)
		require.True(t, send.Limited)
	})
	t.Run("no permit", func(t *testing.T) {
		n, asked := requestPermit(t)
		got := refusal(t, n.PermitAnswered(n.env, messenger.PermitAnswered{
			Exchange:   asked.Exchange,
			RetryAfter: 700,
		}))
		require.Equal(t, messenger.NotRun, got.Outcome)
		require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Duration(700))
		require.Zero(t, n.InFlight())
		again := refusal(t, n.receive("/ping/2"))
		require.GreaterOrEqual(t, again.RetryAfter, timekeeper.Duration(700), "refused until the next permit is due")
		n.env.Now = n.env.Now.Add(700)
		n.requestPermit(t)
	})
	t.Run("allocator unreachable, another server without a limit", func(t *testing.T) {
		n, asked := requestPermit(t)
		n.publish(2, messenger.ServerReady)
		send, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Unknown:  true,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, serverID(2), send.Server)
		require.False(t, send.Limited)
	})
	t.Run("granted server is leaving", func(t *testing.T) {
		n, asked := requestPermit(t)
		n.announceLeaving(asked.Limits[0].Server)
		next, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[0].Server,
		}).(messenger.RequestPermit)
		require.True(t, ok)
		require.Equal(t, asked.Limits[1].Server, next.Limits[0].Server)
	})
	t.Run("caller disconnected", func(t *testing.T) {
		n, asked := requestPermit(t)
		n.Ended(n.env, messenger.ExchangeEnded{Exchange: asked.Exchange})
		_, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[0].Server,
		}).(messenger.EndExchange)
		require.True(t, ok)
	})
}

// A permit must not be requested or used for a server of a version that the request may
// not use.
func TestPermitIsForRequestedVersion(t *testing.T) {
	n := newNode(2)
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{
		{
			Server:  "i-new",
			Offset:  50,
			Service: "reader",
			Address: "i-new:80",
			Version: "v2",
			State:   messenger.ServerReady,
		},
	}})
	n.env.Versions.ApplyOrders(n.env.Now, []messenger.RolloutOrder{
		{
			Service:   "reader",
			Offset:    60,
			To:        "v2",
			TimeLimit: timekeeper.Minute,
		},
	})
	for _, server := range []identifier.VMID{serverID(0), serverID(1), "i-new"} {
		n.stateLimit(server, 1)
	}
	n.allocatePermitsAt("entry-2")
	asked := n.requestPermit(t)
	require.Len(t, asked.Limits, 2)
	for _, l := range asked.Limits {
		require.NotEqual(t, identifier.VMID("i-new"), l.Server)
	}
	_, sent := n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange: asked.Exchange,
		Server:   "i-new",
	}).(messenger.SendExchange)
	require.False(t, sent)
}

// A retry to a server that states a limit needs a permit as well.
func TestRetryNeedsPermit(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/ping/1")
	for i := range 2 {
		n.stateLimit(serverID(i), 1)
	}
	n.allocatePermitsAt("entry-2")
	asked, ok := n.endAttempt(first, messenger.AttemptBroken, false).(messenger.RequestPermit)
	require.True(t, ok)
	require.Len(t, asked.Limits, 1)
	end, ok := n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange:   asked.Exchange,
		RetryAfter: 700,
	}).(messenger.EndExchange)
	require.True(t, ok, "the request may have run")
	require.Equal(t, messenger.ReasonNoServer, end.Reason)
	require.Zero(t, n.InFlight())
}

// A copy counts as a request at its source, so that a server that states a limit is not
// copied from.
func TestNoCopyFromLimitedServer(t *testing.T) {
	for _, limited := range []bool{false, true} {
		n := newCopyingNode()
		holder := n.sendShared(t)
		if limited {
			n.stateLimit(holder.Server, 1)
			n.env.Limits.Pause(holder.Server, n.env.Now.Add(timekeeper.Second))
		}
		n.announceLeaving(holder.Server)
		send := n.sendShared(t)
		require.NotEqual(t, holder.Server, send.Server)
		require.Equal(t, limited, send.CopyFrom == "", "limited: %t", limited)
	}
}

func TestGrantPermit(t *testing.T) {
	n := newNode(2)
	limits := []messenger.ServerLimit{
		{
			Server:  serverID(0),
			Limited: true,
			Rate:    1,
		},
		{
			Server:  serverID(1),
			Limited: true,
			Rate:    2,
		},
	}
	for _, l := range limits {
		n.stateLimit(l.Server, l.Rate)
	}
	none := dispatcher.GrantPermit(n.env, limits)
	require.Equal(t, messenger.PermitAnswered{RetryAfter: 500}, none, "no permit is granted at first")
	n.env.Now = n.env.Now.Add(500)
	require.Equal(t, serverID(1), dispatcher.GrantPermit(n.env, limits).Server)
	require.Empty(t, dispatcher.GrantPermit(n.env, limits).Server)
	n.allocatePermitsAt("entry-2")
	require.True(t, dispatcher.GrantPermit(n.env, limits).NotGranting)
}
