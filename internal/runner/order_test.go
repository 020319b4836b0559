package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// lateCloud carries an order out, late where its answer is lost, if its fence is not below
// one that it has seen.
type lateCloud struct {
	mu      sync.Mutex
	seen    identifier.Fence
	servers int
	lose    bool
}

var _ LeaderTasks = (*lateCloud)(nil)

func (c *lateCloud) ReportUsage(context.Context, messenger.ReportUsage) messenger.LeaderTaskResult {
	return messenger.LeaderTaskDone
}

func (c *lateCloud) OrderServers(ctx context.Context, e messenger.OrderServers) messenger.LeaderTaskResult {
	c.mu.Lock()
	lose := c.lose
	c.mu.Unlock()
	if lose {
		time.AfterFunc(12*time.Second, func() { c.carryOut(e) })
		<-ctx.Done()
		return messenger.LeaderTaskUnknown
	}
	return c.carryOut(e)
}

func (c *lateCloud) carryOut(e messenger.OrderServers) messenger.LeaderTaskResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Fence < c.seen {
		return messenger.LeaderTaskFenced
	}
	c.seen = e.Fence
	c.servers = e.Order.Count
	return messenger.LeaderTaskDone
}

// loses lets the cloud lose its answers, or no longer.
func (c *lateCloud) loses(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

// Callers of a zone came in crowds, and it was to have 40 servers. An order for 23 from
// before, whose answer had been lost, came into force twelve seconds later, and 17 of the
// 40 went at once; the same crowd was served well on days on which another call was lost.
// What was ordered before a newer order may not undo it.
func TestLateOrderDoesNotUndoANewerOne(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		cloud := &lateCloud{}
		f.config.LeaderTasks = cloud
		order := func(count int) messenger.OrderServers {
			return messenger.OrderServers{
				Order: messenger.ServerOrder{
					Service: "reader",
					Zone:    "boston-a",
					Market:  catalog.Reclaimable,
					Count:   count,
				},
				Fence:    7,
				NotAfter: timekeeper.FromStd(time.Now().Add(time.Minute)),
			}
		}
		cloud.loses(true)
		f.do(order(23))
		<-time.After(2 * time.Second)
		cloud.loses(false)
		f.do(order(40))
		<-time.After(20 * time.Second)
		cloud.mu.Lock()
		defer cloud.mu.Unlock()
		require.Equal(t, 40, cloud.servers)
	})
}
