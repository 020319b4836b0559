package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// limit lets a server state a limit.
func (n *node) limit(server identifier.VMID, rate identifier.RequestRate) {
	n.world.Limits.Observe(n.world.Now, messenger.ServerLimitReceived{
		Server: server,
		Sent:   n.world.Now,
		Limit: messenger.StatedLimit{
			Stated: true,
			Rate:   rate,
		},
	})
}

// grantedBy lets a peer grant the permits of all servers.
func (n *node) grantedBy(peer identifier.VMID) {
	n.world.PermitAllocator = func(identifier.VMID) *dispatcher.Allocator {
		return &dispatcher.Allocator{
			Node:    peer,
			Address: "10.0.1.2:7000",
		}
	}
}

// askedPermit receives a request that needs a permit.
func (n *node) askedPermit(t *testing.T) messenger.RequestPermit {
	t.Helper()
	ask, ok := n.receive("/ping/1").(messenger.RequestPermit)
	require.True(t, ok)
	return ask
}

// All servers state a limit, so that one permit is asked for any of them.
func TestPermitOfAPeer(t *testing.T) {
	ask := func(t *testing.T) (*node, messenger.RequestPermit) {
		n := newNode(2)
		n.limit(serverID(0), 1)
		n.limit(serverID(1), 2)
		n.grantedBy("entry-2")
		asked := n.askedPermit(t)
		require.Equal(t, identifier.VMID("entry-2"), asked.Peer)
		require.Len(t, asked.Limits, 2)
		return n, asked
	}
	t.Run("granted", func(t *testing.T) {
		n, asked := ask(t)
		send, ok := n.PermitAnswered(n.world, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[1].Server,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, asked.Limits[1].Server, send.Server)
		require.True(t, send.Limited)
	})
	t.Run("none", func(t *testing.T) {
		n, asked := ask(t)
		got := refusal(t, n.PermitAnswered(n.world, messenger.PermitAnswered{
			Exchange:   asked.Exchange,
			RetryAfter: 700,
		}))
		require.Equal(t, messenger.NotRun, got.Outcome)
		require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Duration(700))
		require.Zero(t, n.InFlight())
		again := refusal(t, n.receive("/ping/2"))
		require.GreaterOrEqual(t, again.RetryAfter, timekeeper.Duration(700), "it is known when a permit is due")
		n.world.Now = n.world.Now.Add(700)
		n.askedPermit(t)
	})
	t.Run("the peer is silent, and a third server states none", func(t *testing.T) {
		n, asked := ask(t)
		n.publish(2, messenger.ServerReady)
		send, ok := n.PermitAnswered(n.world, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Unknown:  true,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, serverID(2), send.Server)
		require.False(t, send.Limited)
	})
	t.Run("the granted server left meanwhile", func(t *testing.T) {
		n, asked := ask(t)
		n.leave(asked.Limits[0].Server)
		next, ok := n.PermitAnswered(n.world, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[0].Server,
		}).(messenger.RequestPermit)
		require.True(t, ok)
		require.Equal(t, asked.Limits[1].Server, next.Limits[0].Server)
	})
	t.Run("the caller left meanwhile", func(t *testing.T) {
		n, asked := ask(t)
		n.Ended(n.world, messenger.ExchangeEnded{Exchange: asked.Exchange})
		_, ok := n.PermitAnswered(n.world, messenger.PermitAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Limits[0].Server,
		}).(messenger.EndExchange)
		require.True(t, ok)
	})
}

// A permit is asked for servers of a version that this request may not go to.
func TestPermitIsForTheRightVersion(t *testing.T) {
	n := newNode(2)
	n.world.Servers.ApplyRead(n.world.Now, []messenger.PublishedServer{
		{
			Server:  "i-new",
			Offset:  50,
			Service: "reader",
			Address: "i-new:80",
			Version: "v2",
			State:   messenger.ServerReady,
		},
	}, false)
	n.world.Versions.ApplyOrders(n.world.Now, []messenger.RolloutOrder{
		{
			Service:   "reader",
			Offset:    60,
			To:        "v2",
			TimeLimit: timekeeper.Minute,
		},
	})
	for _, server := range []identifier.VMID{serverID(0), serverID(1), "i-new"} {
		n.limit(server, 1)
	}
	n.grantedBy("entry-2")
	asked := n.askedPermit(t)
	require.Len(t, asked.Limits, 2)
	for _, l := range asked.Limits {
		require.NotEqual(t, identifier.VMID("i-new"), l.Server)
	}
	_, sent := n.PermitAnswered(n.world, messenger.PermitAnswered{
		Exchange: asked.Exchange,
		Server:   "i-new",
	}).(messenger.SendExchange)
	require.False(t, sent)
}

// A repeat goes to a server that states a limit as if it were free.
func TestRepeatNeedsPermit(t *testing.T) {
	n := newNode(2)
	first := n.sent(t, "/ping/1")
	for i := range 2 {
		n.limit(serverID(i), 1)
	}
	n.grantedBy("entry-2")
	asked, ok := n.ended(first, messenger.AttemptBroken, false).(messenger.RequestPermit)
	require.True(t, ok)
	require.Len(t, asked.Limits, 1)
	end, ok := n.PermitAnswered(n.world, messenger.PermitAnswered{
		Exchange:   asked.Exchange,
		RetryAfter: 700,
	}).(messenger.EndExchange)
	require.True(t, ok, "it may have run, so that it is not refused")
	require.Equal(t, messenger.ReasonNoServer, end.Reason)
	require.Zero(t, n.InFlight())
}

// Another server copies kept parts from one that states a limit, which is one more request to that.
func TestNoCopyFromLimitedServer(t *testing.T) {
	for _, limited := range []bool{false, true} {
		n := newCopyingNode()
		keeper := n.sentShared(t)
		if limited {
			n.limit(keeper.Server, 1)
			n.world.Limits.Pause(keeper.Server, n.world.Now.Add(timekeeper.Second))
		}
		n.leave(keeper.Server)
		send := n.sentShared(t)
		require.NotEqual(t, keeper.Server, send.Server)
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
		n.limit(l.Server, l.Rate)
	}
	none := dispatcher.GrantPermit(n.world, limits)
	require.Equal(t, messenger.PermitAnswered{RetryAfter: 500}, none, "it begins with nothing")
	n.world.Now = n.world.Now.Add(500)
	require.Equal(t, serverID(1), dispatcher.GrantPermit(n.world, limits).Server)
	require.Empty(t, dispatcher.GrantPermit(n.world, limits).Server)
	n.grantedBy("entry-2")
	require.True(t, dispatcher.GrantPermit(n.world, limits).NotGranting)
}
