package reducer

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const benchmarkServers = 84

// costCase is a state of the cluster whose cost is measured.
type costCase struct {
	name    string
	prepare func(c *cluster)
	// step runs before each measured second.
	step func(c *cluster, second int)
}

// BenchmarkNodeCost measures the time and the allocations of one node's reducer per
// second, by the number of nodes. HTTP, encoding and logs are not included.
func BenchmarkNodeCost(b *testing.B) {
	for _, tc := range []costCase{
		{
			name:    "idle",
			prepare: func(c *cluster) { c.run(8 * timekeeper.Second) },
		},
		{
			name:    "start",
			prepare: func(*cluster) {},
		},
		{
			name: "changes",
			prepare: func(c *cluster) {
				c.run(6 * timekeeper.Second)
				c.publishAndSend()
				c.run(2 * timekeeper.Second)
			},
			step: func(c *cluster, second int) { c.publishServers(benchmarkServers, second) },
		},
		{
			name: "requests",
			prepare: func(c *cluster) {
				c.run(6 * timekeeper.Second)
				c.publishAndSend()
				c.publishServers(benchmarkServers, 0)
				c.run(2 * timekeeper.Second)
			},
			step: func(c *cluster, second int) { c.sendRequests(4, second) },
		},
	} {
		for _, nodes := range []int{9, 61, 195, 400} {
			b.Run(fmt.Sprintf("%s/nodes=%d", tc.name, nodes), func(b *testing.B) { benchmarkCost(b, tc, nodes) })
		}
	}
}

func benchmarkCost(b *testing.B, tc costCase, nodes int) {
	c := newCluster(nodes)
	tc.prepare(c)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for second := range b.N {
		if tc.step != nil {
			tc.step(c, second+1)
		}
		c.run(timekeeper.Second)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	nodeSeconds := float64(b.N * nodes)
	b.ReportMetric(b.Elapsed().Seconds()*1e3/nodeSeconds, "ms/node-s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1e3/nodeSeconds, "kB/node-s")
	b.ReportMetric(0, "ns/op")
}

// publishServers publishes new entries of all servers to two nodes. If change is not
// zero, every other server leaves.
func (c *cluster) publishServers(servers, change int) {
	var entries []messenger.PublishedServer
	for i := range servers {
		state := messenger.ServerReady
		if change > 0 && i%2 == 0 {
			state = messenger.ServerLeaving
		}
		entries = append(entries, messenger.PublishedServer{
			Server:  identifier.VMID(fmt.Sprintf("reader-%d-%d", change, i)),
			Offset:  identifier.Offset(10 + change*servers + i),
			Service: "reader",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%clusterZones)),
			Slots:   32,
			State:   state,
		})
	}
	for _, id := range c.ids[:2] {
		c.apply(id, messenger.ServersPublished{
			Servers: entries,
			All:     change == 0,
		})
	}
}

// sendRequests sends each node requests that complete at once.
func (c *cluster) sendRequests(requests, second int) {
	for _, id := range c.ids {
		for n := range requests {
			exchange := identifier.ExchangeID(1_000_000 + second*requests + n)
			c.apply(id, messenger.ExchangeReceived{
				Spec: messenger.ExchangeSpec{
					Exchange:     exchange,
					Request:      identifier.RequestID(fmt.Sprintf("%s-%d", id, exchange)),
					Host:         "api.example",
					Path:         "/report/",
					Received:     c.now,
					PromptTokens: 2000,
				},
			})
			c.apply(id, messenger.ExchangeBegan{
				Exchange: exchange,
				Attempt:  1,
			})
			c.apply(id, messenger.ExchangeEnded{
				Exchange: exchange,
				Result:   messenger.AttemptComplete,
			})
		}
	}
}
