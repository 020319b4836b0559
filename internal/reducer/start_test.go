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
	// bigFleet and bigServices are the size at which every rule has to hold.
	bigFleet   = 300
	bigServers = 3000
	// mostEntries is how many entries of servers a node may send or get a second,
	// some 110 bytes each: half of what the smallest VM's link carries.
	mostEntries = 6000
)

// entriesOf are servers as the store has them after some changes.
func entriesOf(servers int, offset identifier.Offset) []messenger.PublishedServer {
	out := make([]messenger.PublishedServer, 0, servers)
	for i := range servers {
		out = append(out, messenger.PublishedServer{
			Server:  identifier.VMID(fmt.Sprintf("i-%05d", i)),
			Offset:  offset + identifier.Offset(i),
			Service: "reader",
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%fleetZones)),
			Slots:   32,
			State:   messenger.ServerReady,
		})
	}
	return out
}

// busiest runs a fleet and returns the most entries that one node sent, or got, in a
// second.
func busiest(f *fleet, span timekeeper.Duration) (sent, got int) {
	f.sent = map[identifier.VMID]int{}
	f.got = map[identifier.VMID]int{}
	f.run(span)
	seconds := int(span / timekeeper.Second)
	for _, id := range f.ids {
		sent = max(sent, f.sent[id]/seconds)
		got = max(got, f.got[id]/seconds)
	}
	return sent, got
}

// All of 300 nodes start at once. Each reads from the store which servers there are, and
// then told its peers of all 3,000 as news, several times; the relays told each node of
// their zone all of them again, four times a second, as it had just joined. Links were
// full for seconds, so that a configuration came seven seconds late, and VMs ran out of
// memory for the messages. What a node reads at its start its peers read as well.
func TestStartOfAllIsNoNews(t *testing.T) {
	f := newFleet(bigFleet)
	entries := entriesOf(bigServers, 1)
	for _, id := range f.ids {
		f.apply(id, messenger.CatalogPublished{Catalog: fleetCatalog()})
		f.apply(id, messenger.ServersPublished{
			Servers: entries,
			All:     true,
		})
	}
	sent, got := busiest(f, 2*timekeeper.Second)
	t.Logf("the busiest node sent %d entries a second and got %d", sent, got)
	require.LessOrEqual(t, sent, mostEntries)
	require.LessOrEqual(t, got, mostEntries)
}

// One of the nodes can't reach the store when it starts. It knows no server until a
// relay tells it of all, which it asks for.
func TestNodeThatTheStoreTurnsAwayHearsOfAllServers(t *testing.T) {
	f := newFleet(61)
	for _, id := range f.ids[1:] {
		f.apply(id, messenger.ServersPublished{
			Servers: entriesOf(84, 1),
			All:     true,
		})
	}
	f.run(3 * timekeeper.Second)
	require.Len(t, f.nodes[f.ids[0]].gateway.servers.ServersOf("reader"), 84)
}
