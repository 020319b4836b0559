package reducer

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var maxBenchmarkNodes = flag.Int("nodes", 300, "largest cluster of BenchmarkBusiestNode")

// traffic is what one node sent or received of one kind of message.
type traffic struct {
	messages int
	bytes    identifier.Bytes
}

// nodeLoad is the load of one node.
type nodeLoad struct {
	processor time.Duration
	sent      map[string]traffic
	received  map[string]traffic
}

// loadMeter measures the nodes of a cluster.
type loadMeter struct{ loads map[identifier.VMID]*nodeLoad }

func newLoadMeter(c *cluster) *loadMeter {
	m := &loadMeter{loads: map[identifier.VMID]*nodeLoad{}}
	for _, id := range c.ids {
		m.loads[id] = &nodeLoad{
			sent:     map[string]traffic{},
			received: map[string]traffic{},
		}
	}
	c.meter = m
	return m
}

func (m *loadMeter) applied(id identifier.VMID, took time.Duration) { m.loads[id].processor += took }

func (m *loadMeter) message(from, to identifier.VMID, kind string, size identifier.Bytes) {
	for _, counted := range []map[string]traffic{m.loads[from].sent, m.loads[to].received} {
		t := counted[kind]
		t.messages++
		t.bytes += size
		counted[kind] = t
	}
}

// updateKind returns the kind of a state update.
func updateKind(s messenger.StateUpdate) string {
	switch {
	case s.AllServers:
		return "all servers"
	case s.Scope == messenger.ScopeZone:
		return "zone sum"
	case s.Scope == messenger.ScopeOthers:
		return "node sum"
	}
	return "own update"
}

func (l *nodeLoad) bytes() identifier.Bytes {
	sum := identifier.Bytes(0)
	for _, counted := range []map[string]traffic{l.sent, l.received} {
		for _, t := range counted {
			sum += t.bytes
		}
	}
	return sum
}

// BenchmarkBusiestNode measures the middle and the busiest node of clusters with three
// servers a node, by the number of nodes: the processor time of the reducer, and the
// bytes of each kind of message. HTTP is not included. Run it with -nodes 2000
// -benchtime 1x.
func BenchmarkBusiestNode(b *testing.B) {
	for _, nodes := range []int{9, 61, 195, 300, 984, 2000} {
		if nodes > *maxBenchmarkNodes {
			continue
		}
		for _, load := range []string{"requests", "half of the servers leave"} {
			b.Run(fmt.Sprintf("%s/nodes=%d", load, nodes), func(b *testing.B) {
				for range b.N {
					measureBusiestNode(b, nodes, load != "requests")
				}
			})
		}
	}
}

func measureBusiestNode(b *testing.B, nodes int, leave bool) {
	const seconds = 2
	c := newCluster(nodes)
	for _, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: clusterCatalog()})
		c.apply(id, messenger.ServersPublished{
			Servers: publishedServers(3*nodes, 1),
			All:     true,
		})
	}
	c.run(6 * timekeeper.Second)
	m := newLoadMeter(c)
	if leave {
		left := publishedServers(3*nodes, identifier.Offset(10*nodes))
		for i := range left {
			left[i].State = messenger.ServerLeaving
		}
		c.apply(c.ids[0], messenger.ServersPublished{Servers: left[:len(left)/2]})
	}
	for second := range seconds {
		c.sendRequests(1, second)
		for range 2 {
			c.apply(c.ids[0], messenger.ServersPublished{})
			c.run(timekeeper.Second / 2)
		}
	}
	ids := slices.SortedFunc(maps.Keys(m.loads), func(x, y identifier.VMID) int {
		return int(m.loads[x].bytes() - m.loads[y].bytes())
	})
	middle, busiest := m.loads[ids[len(ids)/2]], m.loads[ids[len(ids)-1]]
	perSecond := func(d time.Duration) float64 { return d.Seconds() * 1e3 / seconds }
	b.ReportMetric(perSecond(middle.processor), "middle-ms/s")
	b.ReportMetric(perSecond(busiest.processor), "busiest-ms/s")
	b.ReportMetric(float64(middle.bytes())/1e3/seconds, "middle-kB/s")
	b.ReportMetric(float64(busiest.bytes())/1e3/seconds, "busiest-kB/s")
	for _, kind := range slices.Sorted(maps.Keys(busiest.sent)) {
		t := busiest.sent[kind]
		b.Logf("busiest of %d sends %s: %d messages, %.1f kB a second", nodes, kind, t.messages/seconds, float64(t.bytes)/1e3/seconds)
	}
	for _, kind := range slices.Sorted(maps.Keys(busiest.received)) {
		t := busiest.received[kind]
		b.Logf("busiest of %d receives %s: %d messages, %.1f kB a second", nodes, kind, t.messages/seconds, float64(t.bytes)/1e3/seconds)
	}
}
