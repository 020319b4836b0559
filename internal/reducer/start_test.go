package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// bigCluster and bigServers are the sizes for which the product is specified.
	bigCluster = 300
	bigServers = 3000
	// maxEntryRate is the maximum rate of server entries, of some 110 bytes each, that
	// a node may send or receive per second: half of the bandwidth of the smallest VM.
	maxEntryRate = 6000
)

// publishedServers returns server entries as read from the store.
func publishedServers(servers int, offset identifier.Offset) []messenger.PublishedServer {
	out := make([]messenger.PublishedServer, 0, servers)
	for i := range servers {
		out = append(out, messenger.PublishedServer{
			Server:  identifier.VMID(fmt.Sprintf("i-%05d", i)),
			Offset:  offset + identifier.Offset(i),
			Service: "reader",
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%clusterZones)),
			Slots:   32,
			State:   messenger.ServerReady,
		})
	}
	return out
}

// maxEntryRates runs a cluster and returns the highest rates of entries per second that
// any node sent and received.
func maxEntryRates(c *cluster, span timekeeper.Duration) (sent, received int) {
	c.entriesSent = map[identifier.VMID]int{}
	c.entriesReceived = map[identifier.VMID]int{}
	c.run(span)
	seconds := int(span / timekeeper.Second)
	for _, id := range c.ids {
		sent = max(sent, c.entriesSent[id]/seconds)
		received = max(received, c.entriesReceived[id]/seconds)
	}
	return sent, received
}

// Guards against overloaded links when all nodes start at once and send all servers to their peers
// as changes, or to each peer as a new one.
func TestSimultaneousStartSendsFewEntries(t *testing.T) {
	c := newCluster(bigCluster)
	entries := publishedServers(bigServers, 1)
	for _, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: clusterCatalog()})
		c.apply(id, messenger.ServersPublished{
			Servers: entries,
			All:     true,
		})
	}
	sent, received := maxEntryRates(c, 2*timekeeper.Second)
	t.Logf("the busiest node sent %d entries a second and got %d", sent, received)
	require.LessOrEqual(t, sent, maxEntryRate)
	require.LessOrEqual(t, received, maxEntryRate)
}

// A node that can't read the store when it starts receives all servers from a relay on
// request.
func TestNodeWithoutStoreReceivesAllServers(t *testing.T) {
	c := newCluster(61)
	for _, id := range c.ids[1:] {
		c.apply(id, messenger.ServersPublished{
			Servers: publishedServers(84, 1),
			All:     true,
		})
	}
	c.run(3 * timekeeper.Second)
	require.Len(t, c.nodes[c.ids[0]].gateway.servers.ServersOf("reader"), 84)
}
