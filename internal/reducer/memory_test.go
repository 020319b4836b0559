package reducer

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var memoryNodes = flag.Int("memory-nodes", 300, "number of nodes of BenchmarkNodeMemory")

// newClusterBefore returns a cluster whose nodes have read all of the servers.
func newClusterBefore(nodes int, servers []messenger.PublishedServer) *cluster {
	c := newCluster(nodes)
	for _, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: clusterCatalog()})
		c.apply(id, messenger.ServersPublished{
			Servers: slices.Clone(servers),
			All:     true,
		})
	}
	return c
}

func liveHeap() identifier.Bytes {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return identifier.Bytes(m.HeapAlloc)
}

// BenchmarkNodeMemory measures the memory of single nodes' state after a start of all nodes,
// by the number of servers. Messages in transit are not included. Run it with -benchtime 1x.
func BenchmarkNodeMemory(b *testing.B) {
	for _, servers := range []int{3000, 6000} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", *memoryNodes, servers), func(b *testing.B) {
			for range b.N {
				measureNodeMemory(b, *memoryNodes, servers)
			}
		})
	}
}

func measureNodeMemory(b *testing.B, nodes, servers int) {
	// The first nodes have the highest capacity, so that the relays are among them.
	const measured = 20
	c := newClusterBefore(nodes, publishedServers(servers, 1))
	c.sendRequests(1, 1)
	c.run(2500 * timekeeper.Millisecond)
	c.inFlight = nil
	before := liveHeap()
	var sum, busiest identifier.Bytes
	for _, id := range c.ids[:measured] {
		c.nodes[id] = nil
		after := liveHeap()
		sum += before - after
		busiest = max(busiest, before-after)
		before = after
	}
	b.ReportMetric(float64(sum)/measured/1e6, "mean-MB")
	b.ReportMetric(float64(busiest)/1e6, "busiest-MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkEntriesAfterOutage measures how many server entries the busiest node receives as
// the entries of all servers lapse in an outage and return within two seconds. Run it with
// -benchtime 1x.
func BenchmarkEntriesAfterOutage(b *testing.B) {
	for range b.N {
		measureEntriesAfterOutage(b, *memoryNodes, 3000)
	}
}

func measureEntriesAfterOutage(b *testing.B, nodes, servers int) {
	const (
		readSteps = int(readInterval / stepTime)
		reads     = 8
		// returnedPerRead is the part of the servers that return between two reads.
		returnedPerRead = 5
	)
	entries := publishedServers(servers, 1)
	c := newClusterBefore(nodes, entries)
	for range 15 {
		c.run(readInterval)
		c.readServers(c.ids[:2])
	}
	c.run(5 * timekeeper.Second)
	lapsed, returned := slices.Clone(entries), slices.Clone(entries)
	for i := range entries {
		lapsed[i] = withState(entries[i], identifier.Offset(2*servers+i), messenger.ServerRemoved)
		returned[i] = withState(entries[i], identifier.Offset(4*servers+i), messenger.ServerReady)
	}
	readers, busiestStep := 0, 0
	c.entriesReceived = map[identifier.VMID]int{}
	for step := range reads * readSteps {
		if step%readSteps == 0 {
			due := slices.DeleteFunc(slices.Clone(c.ids), func(id identifier.VMID) bool {
				return !c.nodes[id].Following(c.now).Servers
			})
			readers = max(readers, len(due))
			read := lapsed
			if n := step / readSteps; n > 0 {
				read = returned[:min(n*servers/returnedPerRead, servers)]
			}
			c.readServers(due, read...)
		}
		before := c.entriesReceived
		c.entriesReceived = map[identifier.VMID]int{}
		c.run(stepTime)
		for id, n := range c.entriesReceived {
			busiestStep = max(busiestStep, n)
			before[id] += n
		}
		c.entriesReceived = before
	}
	total := 0
	for _, n := range c.entriesReceived {
		total = max(total, n)
	}
	b.ReportMetric(float64(readers), "readers")
	b.ReportMetric(float64(busiestStep), "entries/step")
	b.ReportMetric(float64(total), "entries")
	b.ReportMetric(0, "ns/op")
}
