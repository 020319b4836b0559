package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against refusing nearly all limited requests while there is no allocator.
func TestStandbyGrantsWhileAllocatorIsLost(t *testing.T) {
	const (
		limit   = 680_000
		prompt  = identifier.Tokens(17_000)
		seconds = 5
	)
	c, allocator := newLimitedCluster(t, limit)
	c.down[allocator] = true
	c.run(3 * timekeeper.Second)
	c.exchangesSent = 0
	c.sendLimitedFor(seconds, prompt)
	granted := identifier.Tokens(c.exchangesSent) * prompt
	require.GreaterOrEqual(t, granted, identifier.Tokens(limit*seconds/2))
	require.LessOrEqual(t, granted, identifier.Tokens(limit*(seconds+1)))
}

// newLimitedCluster returns a cluster whose account has a limit, and its allocator.
func newLimitedCluster(t *testing.T, limit float64) (*cluster, identifier.VMID) {
	c := newCluster(195)
	limited := limitedCatalog(t, limit)
	c.run(6 * timekeeper.Second)
	c.publishAndSend()
	allocator := c.nodes[c.ids[0]].ranking.First(string(leaderLease), leaderNodes)[0].VM
	for _, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: limited})
		c.nodes[id].gateway.mergeLeader(c.now, messenger.StateUpdate{
			Leader: allocator,
			Fence:  testFence,
		})
	}
	c.run(timekeeper.Second)
	return c, allocator
}

// sendLimitedFor sends each running node a request of the limited account in each second.
func (c *cluster) sendLimitedFor(seconds int, prompt identifier.Tokens) {
	for second := range seconds {
		for part := range 10 {
			for i, id := range c.ids {
				if i%10 == part && !c.down[id] {
					c.sendLimited(id, second, prompt)
				}
			}
			c.run(100 * timekeeper.Millisecond)
		}
	}
}

// Guards against refusing limited requests for a second after the allocator's process ended.
func TestStandbyGrantsSoonAfterAllocatorEnded(t *testing.T) {
	const (
		limit   = 680_000
		prompt  = identifier.Tokens(17_000)
		seconds = 2
	)
	c, allocator := newLimitedCluster(t, limit)
	c.down[allocator] = true
	c.ended[allocator] = true
	c.exchangesSent = 0
	c.sendLimitedFor(seconds, prompt)
	granted := identifier.Tokens(c.exchangesSent) * prompt
	t.Logf("%d of %d tokens granted", granted, limit*seconds)
	require.GreaterOrEqual(t, granted, identifier.Tokens(limit*seconds/2))
	require.LessOrEqual(t, granted, identifier.Tokens(limit*(seconds+1)))
}

// sendLimited sends a node a request of the limited account.
func (c *cluster) sendLimited(id identifier.VMID, number int, tokens identifier.Tokens) {
	exchange := identifier.ExchangeID(100_000 + number)
	c.apply(id, messenger.ExchangeReceived{
		Spec: messenger.ExchangeSpec{
			Exchange:     exchange,
			Request:      identifier.RequestID(fmt.Sprintf("%s-%d", id, exchange)),
			Host:         "api.example",
			Path:         "/report/",
			Key:          "secret",
			Received:     c.now,
			PromptTokens: tokens,
		},
	})
}

// Guards against a standby that grants for nodes that still request from the allocator.
func TestStandbyGrantsForNodesThatNameIt(t *testing.T) {
	var g grantor
	for n := range 10 {
		named := identifier.VMID("allocator")
		if n < 4 {
			named = "standby"
		}
		g.record(1000, identifier.VMID(fmt.Sprint("entry-", n)), named)
	}
	naming := func(vm identifier.VMID) bool { return vm == "standby" }
	require.Equal(t, 4, g.count(1000, naming))
	g.record(1500, "entry-0", "allocator")
	require.Equal(t, 3, g.count(1500, naming))
	require.Zero(t, g.count(timekeeper.Time(1001).Add(deductionTimeout), naming), "nodes that no longer report")
}
