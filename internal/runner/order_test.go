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

// delayingCloud executes orders unless their fence is below one that it has
// seen. If lose is set, it executes them after a delay and returns no answer.
type delayingCloud struct {
	mu       sync.Mutex
	maxFence identifier.Fence
	servers  int
	lose     bool
}

var _ LeaderTasks = (*delayingCloud)(nil)

func (c *delayingCloud) ReportUsage(context.Context, messenger.ReportUsage) messenger.LeaderTaskResult {
	return messenger.LeaderTaskDone
}

func (c *delayingCloud) OrderServers(ctx context.Context, e messenger.OrderServers) messenger.LeaderTaskResult {
	c.mu.Lock()
	lose := c.lose
	c.mu.Unlock()
	if lose {
		time.AfterFunc(12*time.Second, func() { c.execute(e) })
		<-ctx.Done()
		return messenger.LeaderTaskUnknown
	}
	return c.execute(e)
}

func (c *delayingCloud) execute(e messenger.OrderServers) messenger.LeaderTaskResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Fence < c.maxFence {
		return messenger.LeaderTaskFenced
	}
	c.maxFence = e.Fence
	c.servers = e.Order.Count
	return messenger.LeaderTaskDone
}

func (c *delayingCloud) setLoseAnswers(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

// Guards against a delayed order that overrides a newer one and removes
// servers.
func TestLateOrderDoesNotOverrideNewerOne(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		cloud := &delayingCloud{}
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
		cloud.setLoseAnswers(true)
		f.runEffects(order(23))
		<-time.After(2 * time.Second)
		cloud.setLoseAnswers(false)
		f.runEffects(order(40))
		<-time.After(20 * time.Second)
		cloud.mu.Lock()
		defer cloud.mu.Unlock()
		require.Equal(t, 40, cloud.servers)
	})
}
