package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against sending to a server whose leaving a node has missed.
func TestNodeThatMissedChangesCatchesUp(t *testing.T) {
	for _, nodes := range []int{6, 61} {
		c := newCluster(nodes)
		c.run(6 * timekeeper.Second)
		c.publishAndSend()
		c.run(2 * timekeeper.Second)
		cutOff := c.ids[nodes-1]
		reader := c.ids[0]
		read := func(servers ...messenger.PublishedServer) {
			c.apply(reader, messenger.ServersPublished{Servers: servers})
		}
		c.down[cutOff] = true
		read(messenger.PublishedServer{
			Server:  "reader-1",
			Offset:  2,
			Service: "reader",
			Address: "reader-1",
			Zone:    "zone-0",
			State:   messenger.ServerLeaving,
		})
		for range 8 {
			c.run(400 * timekeeper.Millisecond)
			read()
		}
		c.down[cutOff] = false
		g := c.nodes[cutOff].gateway
		for range 12 {
			c.run(400 * timekeeper.Millisecond)
			read()
			s, known := g.servers.Server("reader-1")
			require.True(t, known)
			stale := c.nodes[cutOff].Following(c.now).Servers
			require.True(t, stale || s.State == messenger.ServerLeaving, "%d nodes: neither told nor reading", nodes)
		}
		if nodes > maxDirectPeers {
			s, _ := g.servers.Server("reader-1")
			require.Equal(t, messenger.ServerLeaving, s.State, "%d nodes", nodes)
		}
	}
}

func TestContinuity(t *testing.T) {
	round := func(incarnation identifier.Incarnation, number uint64, all bool) messenger.StateUpdate {
		return messenger.StateUpdate{
			Incarnation: incarnation,
			Round:       number,
			AllServers:  all,
			ServersSpan: timekeeper.Minute,
			ServersRead: messenger.Observation{Node: "a"},
		}
	}
	var c continuity
	require.False(t, c.receive(1000, 900, "a", round(1, 10, false), true), "the first round of a relay")
	require.True(t, c.receive(1100, 1050, "a", round(1, 11, false), true), "known up to a time after the first round")
	require.Equal(t, timekeeper.Time(1100), c.acceptedAt)
	require.True(t, c.receive(1200, 1050, "a", round(1, 13, false), true), "one round lost")
	require.True(t, c.receive(1210, 1050, "a", round(1, 12, false), true), "overtaken")
	require.False(t, c.receive(1300, 1050, "a", round(1, 16, false), true), "two rounds lost")
	require.True(t, c.receive(1400, 1050, "a", round(1, 17, true), true), "all servers")
	require.True(t, c.receive(1500, 1050, "a", round(1, 18, false), true))
	require.False(t, c.receive(1600, 1550, "a", round(2, 19, false), true), "another incarnation")

	span := messenger.StateUpdate{ServersSpan: 2000}
	require.True(t, c.receive(5000, 3000, "b", span, true))
	require.False(t, c.receive(5001, 3000, "b", span, true))
	require.Equal(t, timekeeper.Time(1500), c.acceptedAt, "updates without a read of the store keep no node up to date")

	started := round(3, 1, true)
	started.ServersSpan = 100
	require.False(t, c.receive(6000, 5800, "c", started, false), "the relay started after the receiver's data")
	require.True(t, c.receive(6000, 5950, "c", started, false))
	next := started
	next.AllServers = false
	next.Round = 2
	require.False(t, c.receive(6100, 5800, "c", next, false))
	next.Round = 3
	next.AllServers = true
	require.True(t, c.receive(6200, 5800, "c", next, true), "the relay knows all servers of the receiver")
	next.Round = 4
	next.AllServers = false
	require.True(t, c.receive(6300, 5800, "c", next, false))
	next.Round = 9
	require.False(t, c.receive(6400, 5800, "c", next, false), "rounds lost")
	started.Round = 0
	require.False(t, c.receive(6000, 5800, "d", started, false))
}
