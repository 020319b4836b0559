package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxPropagationTime is the time within which all nodes have to know of a third server
// that ended under a request.
const maxPropagationTime = 3 * timekeeper.Second

const query identifier.Fingerprint = 7

// countRefusing returns the number of nodes that refuse a request.
func (c *cluster) countRefusing(request identifier.Fingerprint) int {
	n := 0
	for _, id := range c.ids {
		if _, refused := c.nodes[id].quarantine.Refuses(c.now, request); refused {
			n++
		}
	}
	return n
}

// Three servers end under a request, each at another node. All nodes have to refuse it
// within maxPropagationTime, including a partitioned one once it is back.
func TestServerEndsReachAllNodes(t *testing.T) {
	for _, nodes := range []int{6, 17, 61, 195} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(nodes)
			c.run(6 * timekeeper.Second)
			partitioned := c.ids[nodes-1]
			c.down[partitioned] = true
			for i := range 3 {
				c.nodes[c.ids[i]].quarantine.ServerEnded(c.now, query, identifier.VMID(fmt.Sprintf("i-%d", i)))
			}
			c.run(maxPropagationTime)
			require.Equal(t, nodes-1, c.countRefusing(query))
			c.run(3 * timekeeper.Second)
			c.down[partitioned] = false
			c.run(maxPropagationTime)
			require.Equal(t, nodes, c.countRefusing(query))
		})
	}
}

// Guards against large updates, or updates that each relay forwards repeatedly, after all servers
// of a zone end at once with sixty requests each.
func TestServerEndUpdatesAreBounded(t *testing.T) {
	const nodes = 61
	c := newCluster(nodes)
	c.run(6 * timekeeper.Second)
	for server := range 20 {
		for request := range 60 {
			n := c.nodes[c.ids[request%nodes]]
			n.quarantine.ServerEnded(c.now, identifier.Fingerprint(1000+60*server+request), identifier.VMID(fmt.Sprintf("i-%d", server)))
		}
	}
	maxPerUpdate, sent := 0, 0
	const span = 5 * timekeeper.Second
	for range span / stepTime {
		c.run(stepTime)
		for _, m := range c.inFlight {
			if s, ok := m.body.(messenger.StateUpdateReceived); ok {
				maxPerUpdate = max(maxPerUpdate, len(s.Update.Suspects))
				sent += len(s.Update.Suspects)
			}
		}
	}
	require.Positive(t, maxPerUpdate)
	require.LessOrEqual(t, maxPerUpdate, 34)
	// At 40 bytes each, a third of a node's budget of 23 KB/s.
	require.LessOrEqual(t, sent*40/nodes/int(span/timekeeper.Second), 23_000/3)
	c.run(3 * timekeeper.Second)
	for _, m := range c.inFlight {
		if s, ok := m.body.(messenger.StateUpdateReceived); ok {
			require.Empty(t, s.Update.Suspects, "single ends are reported for two seconds only")
		}
	}
}
