package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against data that becomes newer by reports while no node reads the store.
func TestReportsDoNotRenewOneAnother(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	c.publishAndSend()
	readAt := c.now
	c.run(10 * timekeeper.Second)
	// A read reaches all nodes over four hops.
	const hops = 4
	for _, id := range c.ids {
		g := c.nodes[id].gateway
		require.LessOrEqual(t, g.servers.AsOf(), readAt.Add(hops*stepTime), "servers at %s", id)
		require.LessOrEqual(t, g.configRead.asOf, readAt.Add(hops*stepTime), "configuration at %s", id)
	}
}

func TestFreshness(t *testing.T) {
	observation := func(node identifier.VMID, start identifier.Incarnation, number uint64) messenger.Observation {
		return messenger.Observation{
			Node:        node,
			Incarnation: start,
			Number:      number,
		}
	}
	var f freshness
	require.True(t, f.merge(1000, 200, observation("a", 1, 5)))
	require.False(t, f.merge(1100, 100, observation("a", 1, 5)), "the same observation")
	require.False(t, f.merge(1100, 100, observation("a", 1, 4)), "an earlier observation")
	require.False(t, f.merge(1100, 400, observation("b", 1, 1)), "older data")
	require.Equal(t, timekeeper.Time(800), f.asOf)
	require.True(t, f.merge(1200, 100, observation("a", 2, 1)), "after a restart of the observer")
	require.Equal(t, timekeeper.Time(1100), f.asOf)
	f.observe(1300, "self", 9)
	require.Equal(t, observation("self", 9, 1), f.basis)
	require.False(t, f.merge(2000, 0, observation("self", 9, 1)), "the own observation")
	f.observe(1400, "self", 9)
	require.Equal(t, observation("self", 9, 2), f.basis)
	require.False(t, f.merge(1500, 2000, messenger.Observation{}), "older by age")
	require.True(t, f.merge(1500, -50, messenger.Observation{}), "an age below zero counts as zero")
	require.Equal(t, timekeeper.Time(1500), f.asOf)
}
