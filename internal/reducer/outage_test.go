package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const readInterval = 400 * timekeeper.Millisecond

// readServers has some nodes read changed entries from the store.
func (c *cluster) readServers(readers []identifier.VMID, servers ...messenger.PublishedServer) {
	for _, id := range readers {
		c.apply(id, messenger.ServersPublished{Servers: servers})
	}
}

// withState returns a server's entry, later than its first one, with a state.
func withState(s messenger.PublishedServer, offset identifier.Offset, state messenger.ServerState) messenger.PublishedServer {
	s.Offset = offset
	s.State = state
	return s
}

// newReadingCluster returns a cluster in which each node has read one server, and whose readers
// have read the store until now.
func newReadingCluster(nodes int) (c *cluster, readers []identifier.VMID, server messenger.PublishedServer) {
	c = newCluster(nodes)
	server = publishedServers(1, 1)[0]
	for _, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: clusterCatalog()})
		c.apply(id, messenger.ServersPublished{
			Servers: []messenger.PublishedServer{server},
			All:     true,
		})
	}
	readers = c.ids[:2]
	for range 15 {
		c.run(readInterval)
		c.readServers(readers)
	}
	return c, readers, server
}

// countUsing returns the number of nodes that may send requests to a server.
func (c *cluster) countUsing(server identifier.VMID) int {
	n := 0
	for _, id := range c.ids {
		if s, known := c.nodes[id].gateway.servers.Server(server); known && s.State == messenger.ServerReady {
			n++
		}
	}
	return n
}

// Guards against a second reader that removes, for all nodes, servers whose entries lapsed in an
// outage, as it learned of the store's return from the first.
func TestAllReadersDeferRemovalsAfterOutage(t *testing.T) {
	for _, nodes := range []int{6, 61} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			c, readers, server := newReadingCluster(nodes)
			c.run(5 * timekeeper.Second)
			c.readServers(readers[:1])
			c.run(600)
			lapsed := withState(server, 2, messenger.ServerRemoved)
			c.readServers(readers[1:], lapsed)
			c.readServers(readers[:1], lapsed)
			c.run(1000)
			require.Equal(t, nodes, c.countUsing(server.Server))
			c.readServers(readers, withState(server, 3, messenger.ServerReady))
			c.run(2 * timekeeper.Second)
			require.Equal(t, nodes, c.countUsing(server.Server))
		})
	}
}

// Guards against a server that is used after its removal, as a node that alone was cut off reports
// an outage.
func TestNodeThatWasCutOffDefersNoRemovalsOfOthers(t *testing.T) {
	for _, nodes := range []int{6, 61} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			c, readers, server := newReadingCluster(nodes)
			cutOff := c.ids[nodes-1]
			c.down[cutOff] = true
			for range 12 {
				c.run(readInterval)
				c.readServers(readers)
			}
			c.down[cutOff] = false
			c.readServers([]identifier.VMID{cutOff})
			c.run(600)
			c.readServers(readers, withState(server, 2, messenger.ServerRemoved))
			c.run(1000)
			require.LessOrEqual(t, c.countUsing(server.Server), 1)
		})
	}
}

// Guards against a rollout that goes on although the store deleted the record of its withdrawal.
func TestWithdrawalDeletedUnreadEndsRollout(t *testing.T) {
	c := newCluster(1)
	node := c.ids[0]
	read := messenger.CatalogPublished{
		Catalog:   clusterCatalog(),
		FromStore: true,
		Orders: []messenger.RolloutOrder{
			{
				Service:   "reader",
				Offset:    2,
				To:        "v2",
				TimeLimit: timekeeper.Minute,
			},
		},
		All:             true,
		OrderedServices: []identifier.ServiceName{"reader"},
		End:             3,
	}
	c.apply(node, read)
	require.Equal(t, "v2", c.nodes[node].Rollouts(c.now)[0].To)
	read.Orders = nil
	read.OrderedServices = nil
	read.End = 5
	c.apply(node, read)
	require.Empty(t, c.nodes[node].Rollouts(c.now)[0].To)
}
