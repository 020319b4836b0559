package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against repeated reads of the lease by all nodes after they start at once: only the
// candidates may follow it.
func TestNewNodesReadLeaseOnce(t *testing.T) {
	c := newCluster(61)
	lease := []identifier.LogStream{leaser.Stream}
	for _, id := range c.ids {
		require.Equal(t, lease, c.nodes[id].Streams(), "at %s", id)
	}
	c.run(stepTime)
	for _, id := range c.ids {
		require.Equal(t, lease, c.nodes[id].Streams(), "before the store answers %s", id)
		c.apply(id, messenger.LogRead{
			Stream: leaser.Stream,
			End:    true,
		})
		require.Empty(t, c.nodes[id].Streams(), "at %s", id)
	}
	c.run(3 * timekeeper.Second)
	followers := 0
	// Only the candidates follow the lease and the usage. They read the refused requests and the
	// origins of streams once.
	for _, id := range c.ids {
		streams := c.nodes[id].Streams()
		if len(streams) == 0 {
			continue
		}
		require.Equal(t, []identifier.LogStream{leaser.Stream, accountant.Stream, quarantiner.Stream, resumer.Stream}, streams, "at %s", id)
		for _, once := range streams[2:] {
			c.apply(id, messenger.LogRead{
				Stream: once,
				End:    true,
			})
		}
		require.Equal(t, []identifier.LogStream{leaser.Stream, accountant.Stream}, c.nodes[id].Streams(), "at %s", id)
		followers++
	}
	require.Equal(t, leaderNodes, followers)
}

// Guards against nodes that know most of the listed ones but wait for settleTime, or relays that
// wait for relayWarmUp, when all nodes start at once.
func TestSimultaneousStartSettlesEarly(t *testing.T) {
	for _, nodes := range []int{61, 195} {
		c := newCluster(nodes)
		listed := c.listed()
		for _, id := range c.ids {
			c.apply(id, listed)
		}
		c.run(1400 * timekeeper.Millisecond)
		settled, candidates := 0, 0
		for _, id := range c.ids {
			require.GreaterOrEqual(t, len(c.nodes[id].members.Nodes()), nodes*9/10, "at %s", id)
			g := c.nodes[id].gateway
			if g.settled {
				settled++
			}
			if g.leaderCandidate {
				candidates++
			}
		}
		require.GreaterOrEqual(t, settled, nodes*9/10, "of %d nodes", nodes)
		require.LessOrEqual(t, candidates, 2*leaderNodes)
		c.run(400 * timekeeper.Millisecond)
		informed := 0
		for _, id := range c.ids {
			if c.nodes[id].gateway.exchanges.UsesRelayReports(c.now) {
				informed++
			}
		}
		require.GreaterOrEqual(t, informed, nodes*9/10, "of %d nodes", nodes)
	}
}

// listed returns the platform's list of all nodes.
func (c *cluster) listed() messenger.ListRead {
	out := messenger.ListRead{AsOf: c.now}
	for _, id := range c.ids {
		out.VMs = append(out.VMs, messenger.VMState{
			VM:      id,
			Address: string(id),
		})
	}
	return out
}

// countServerReaders returns the number of nodes that read the servers from the store.
func (c *cluster) countServerReaders() int {
	n := 0
	for _, id := range c.ids {
		if c.nodes[id].Following(c.now).Servers {
			n++
		}
	}
	return n
}

// Guards against an overloaded store when all nodes of a large cluster start at once.
func TestFewNodesReadAllServersAtStart(t *testing.T) {
	const tolerance = 1.4 // for the random choice of readers
	c := newCluster(bigCluster)
	listed := c.listed()
	for _, id := range c.ids {
		c.apply(id, messenger.Tick{})
	}
	require.LessOrEqual(t, float64(c.countServerReaders()), readersAtOnce*tolerance, "before the list")
	for _, id := range c.ids {
		c.apply(id, listed)
	}
	require.LessOrEqual(t, float64(c.countServerReaders()), readersAtOnce*tolerance)
	require.Positive(t, c.countServerReaders())
	c.now = c.now.Add(readersDoubleTime)
	require.LessOrEqual(t, float64(c.countServerReaders()), 2*readersAtOnce*tolerance)
	c.now = c.now.Add(5 * readersDoubleTime)
	require.Equal(t, bigCluster, c.countServerReaders(), "nodes that receive nothing read for themselves")

	small := newCluster(6)
	for _, id := range small.ids {
		small.apply(id, messenger.Tick{})
		small.apply(id, messenger.ListRead{
			AsOf: small.now,
			VMs:  listed.VMs[:6],
		})
	}
	require.Equal(t, len(small.ids), small.countServerReaders())
}

// Guards against reads by all nodes at once when the store returns from an outage.
func TestFewNodesReadStaleServers(t *testing.T) {
	c := newCluster(bigCluster)
	c.run(6 * timekeeper.Second)
	for _, id := range c.ids {
		c.apply(id, messenger.ServersPublished{
			Servers: publishedServers(bigServers, 1),
			All:     true,
		})
		c.apply(id, messenger.CatalogPublished{
			Catalog:   clusterCatalog(),
			FromStore: true,
		})
	}
	c.run(6 * timekeeper.Second)
	relays := 2 * clusterZones
	require.LessOrEqual(t, float64(c.countServerReaders()), readersAtOnce*1.4+float64(relays+serverReaders))
	for _, id := range c.ids {
		if c.nodes[id].isRelay() {
			require.True(t, c.nodes[id].Following(c.now).Servers, "relay %s", id)
		}
	}
}

// Counts of usage are sent to the candidates for the lease, and not to relays and other
// peers.
func TestUsageGoesToCandidates(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	g := c.nodes["entry-60"].gateway
	g.usage.RequestBegan(c.now, "agency")
	env := c.nodes["entry-60"].env(c.now)
	candidates := c.nodes["entry-60"].ranking.First(string(leaderLease), leaderNodes)
	sent := 0
	for range fullUpdateRounds {
		for _, e := range c.nodes["entry-60"].sendUpdates(env) {
			update, ok := e.(messenger.SendStateUpdate)
			require.True(t, ok)
			candidate := ranker.Contains(candidates, update.Peer)
			require.Equal(t, candidate, len(update.Update.Usage) > 0, "to %s", update.Peer)
			if candidate {
				sent++
			}
		}
	}
	require.GreaterOrEqual(t, sent, leaderNodes)
}

// Guards against a node that starts and sends without the limits it received first.
func TestLimitOfUnknownServerIsKept(t *testing.T) {
	c := newCluster(2)
	c.run(stepTime)
	limited := messenger.StateUpdate{
		Limits: []messenger.ServerLimit{
			{
				Server:  "reader-1",
				Limited: true,
				Rate:    1,
			},
		},
	}
	receive := func() {
		c.apply("entry-0", messenger.StateUpdateReceived{
			From:   "entry-1",
			Update: limited,
		})
	}
	receive()
	rate, known := c.nodes["entry-0"].gateway.serverLimits.Rate("reader-1")
	require.True(t, known)
	require.InDelta(t, 1, float64(rate), 0)
	c.publishAndSend()
	limited.Limits[0].Server = "reader-9"
	receive()
	_, known = c.nodes["entry-0"].gateway.serverLimits.Rate("reader-9")
	require.False(t, known, "a node that knows all servers does not keep limits of others")
}
