package reducer

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// costServers is how many servers the fleets below stand before.
const costServers = 84

// costLine is a state of the fleet whose cost is measured.
type costLine struct {
	name string
	// before brings the fleet into that state.
	before func(f *fleet)
	// step happens before each second that is measured.
	step func(f *fleet, second int)
}

// BenchmarkNodeCost gives what one node spends a second, by the number of nodes:
// the time of its reducer, and what it allocates. HTTP, encoding and logs are not
// in it. Milliseconds a node and second at 9, 61, 195 and 400 nodes, one run on a
// machine of 8 cores:
//
//	          before                     with rankings kept
//	rest      0.41  3.9  12.3  25.3      0.08  0.20  0.36  0.58
//	start     0.13  1.4   2.2   1.8      0.07  0.45  0.71  0.52
//	news      0.92  5.0  13.6  28.4      0.44  1.2   1.7   2.6
//	requests  1.4   5.4  13.1     -      0.80  1.4   1.5   2.2
func BenchmarkNodeCost(b *testing.B) {
	for _, line := range []costLine{
		{
			name:   "rest",
			before: func(f *fleet) { f.run(8 * timekeeper.Second) },
		},
		{
			name:   "start",
			before: func(*fleet) {},
		},
		{
			name: "news",
			before: func(f *fleet) {
				f.run(6 * timekeeper.Second)
				f.serve()
				f.run(2 * timekeeper.Second)
			},
			step: func(f *fleet, second int) { f.publishServers(costServers, second) },
		},
		{
			name: "requests",
			before: func(f *fleet) {
				f.run(6 * timekeeper.Second)
				f.serve()
				f.publishServers(costServers, 0)
				f.run(2 * timekeeper.Second)
			},
			step: func(f *fleet, second int) { f.ask(4, second) },
		},
	} {
		for _, nodes := range []int{9, 61, 195, 400} {
			b.Run(fmt.Sprintf("%s/nodes=%d", line.name, nodes), func(b *testing.B) { benchmarkCost(b, line, nodes) })
		}
	}
}

func benchmarkCost(b *testing.B, line costLine, nodes int) {
	f := newFleet(nodes)
	line.before(f)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for second := range b.N {
		if line.step != nil {
			line.step(f, second+1)
		}
		f.run(timekeeper.Second)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	nodeSeconds := float64(b.N * nodes)
	b.ReportMetric(b.Elapsed().Seconds()*1e3/nodeSeconds, "ms/node-s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1e3/nodeSeconds, "kB/node-s")
	b.ReportMetric(0, "ns/op")
}

// publishServers tells two of the nodes of servers whose entries all changed, and
// every other of which leaves.
func (f *fleet) publishServers(servers, change int) {
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
			Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%fleetZones)),
			Slots:   32,
			State:   state,
		})
	}
	for _, id := range f.ids[:2] {
		f.apply(id, messenger.ServersPublished{
			Servers: entries,
			All:     change == 0,
		})
	}
}

// ask sends every node requests, each of which ends at once.
func (f *fleet) ask(requests, second int) {
	for _, id := range f.ids {
		for n := range requests {
			exchange := identifier.ExchangeID(1_000_000 + second*requests + n)
			f.apply(id, messenger.ExchangeReceived{
				Spec: messenger.ExchangeSpec{
					Exchange:     exchange,
					Request:      identifier.RequestID(fmt.Sprintf("%s-%d", id, exchange)),
					Host:         "api.example",
					Path:         "/report/",
					Received:     f.now,
					PromptTokens: 2000,
				},
			})
			f.apply(id, messenger.ExchangeBegan{
				Exchange: exchange,
				Attempt:  1,
			})
			f.apply(id, messenger.ExchangeEnded{
				Exchange: exchange,
				Result:   messenger.AttemptComplete,
			})
		}
	}
}
