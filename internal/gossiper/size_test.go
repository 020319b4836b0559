package gossiper

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxBytesPerSecond is the maximum gossip traffic that one node may send.
const maxBytesPerSecond = 23_000

var sizes = []struct{ nodes, servers int }{
	{
		nodes:   9,
		servers: 14,
	},
	{
		nodes:   400,
		servers: 600,
	},
}

// setRandomDemand sets a new random demand for five client accounts.
func setRandomDemand(m *Members, rng *rand.Rand) {
	demand := map[identifier.AccountID]Demand{}
	for i := range 5 {
		demand[identifier.AccountID(fmt.Sprintf("account-%03d", i))] = Demand{
			Requests: rng.Float64() * 100,
			Tokens:   rng.Float64() * 10000,
		}
	}
	m.SetStatus(Status{
		Revision: 12345,
		Demand:   demand,
	})
}

// Guards against false suspicion and excessive gossip traffic at 400 nodes with a tenth of the
// messages lost, and against slow spreading of notices with a third lost.
func TestLargeCluster(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			c := newCluster(t, size.nodes, size.servers)
			c.loss = 0.1
			c.sent, c.bytes = 0, 0
			c.changes = map[identifier.VMID][]Change{}
			const seconds = 5
			var oldest timekeeper.Duration
			for range seconds {
				for _, m := range c.members {
					setRandomDemand(m, c.rng)
				}
				c.run(timekeeper.Second)
				oldest = max(oldest, c.oldestHeartbeat())
			}
			perSecond := c.bytes / seconds / size.nodes
			t.Logf("%d bytes/s and %.1f messages/s per node, oldest heartbeat %v, suspect after %v",
				perSecond, float64(c.sent)/seconds/float64(size.nodes), oldest, c.members[0].suspectAfter())
			require.Less(t, perSecond, maxBytesPerSecond)
			changeCount := 0
			for _, changes := range c.changes {
				changeCount += len(changes)
			}
			require.Zero(t, changeCount, "no node may become suspect")

			c.loss = 0.3
			longest := longestSpread(c, 5)
			t.Logf("longest time until a leaving server was known everywhere, a third of messages lost: %v", longest)
			require.LessOrEqual(t, longest, 1500*timekeeper.Millisecond)
		})
	}
}

func (c *cluster) oldestHeartbeat() timekeeper.Duration {
	var oldest timekeeper.Duration
	for _, m := range c.members {
		for _, n := range m.Nodes() {
			oldest = max(oldest, c.now.Sub(n.LastSeen))
		}
	}
	return oldest
}

func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_nodes", size.nodes), func(b *testing.B) {
			m := newCluster(b, size.nodes, size.servers).members[0]
			rng := rand.New(rand.NewPCG(testSeed, 1))
			now := m.lastNow
			sent, bytes := 0, 0
			for b.Loop() {
				now++
				for _, r := range m.nodes.values() {
					r.LastSeen = now
					r.heartbeatSent = false
				}
				m.nextRound = now
				messages, _ := m.Tick(now, rng)
				for _, message := range messages {
					sent++
					bytes += len(message.Data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(sent), "bytes/message")
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_nodes", size.nodes), func(b *testing.B) {
			c := newCluster(b, size.nodes, size.servers)
			c.step()
			f := slices.MaxFunc(c.inFlight, func(a, b packet) int { return cmp.Compare(len(a.data), len(b.data)) })
			to := c.byVM[f.to]
			for b.Loop() {
				if _, err := to.Receive(c.now, f.from, f.data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(f.data)), "bytes/message")
		})
	}
}

// Guards against rounds whose peers are chosen from all nodes: most have no connection, and opening
// one costs both ends more processor time than the message.
func TestRoundsUseFewPeers(t *testing.T) {
	const nodes = 195
	c := newCluster(t, nodes, 0)
	c.run(2 * timekeeper.Second)
	m := c.members[7]
	const rounds = 10 * 5
	targets := map[identifier.VMID]bool{}
	for range rounds {
		for _, to := range m.targets(c.rng, false) {
			targets[to.vm] = true
		}
	}
	require.LessOrEqual(t, len(targets), maxPartners+rounds/roundsPerPartner+1)
	require.GreaterOrEqual(t, len(targets), maxPartners)
	urgent := map[identifier.VMID]bool{}
	for range rounds {
		for _, to := range m.targets(c.rng, true) {
			urgent[to.vm] = true
		}
	}
	require.Greater(t, len(urgent), 2*maxPartners, "notices must not be limited to the partners")
}
