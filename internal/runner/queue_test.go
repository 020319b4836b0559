package runner

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func updateOf(servers int) messenger.StateUpdate {
	return messenger.StateUpdate{Servers: make([]messenger.PublishedServer, servers)}
}

// whileLoopIsBlocked runs f while the loop applies no events.
func (f *fixture) whileLoopIsBlocked(run func()) {
	f.t.Helper()
	blocked, release, ended := make(chan struct{}), make(chan struct{}), make(chan bool)
	go func() {
		ended <- f.runInLoop(f.t.Context(), func() {
			close(blocked)
			<-release
		})
	}()
	<-blocked
	run()
	close(release)
	require.True(f.t, <-ended)
	synctest.Wait()
}

// received returns the number of entries of each applied state update.
func (f *fixture) received() []int {
	var entries []int
	for _, e := range eventsOf[messenger.StateUpdateReceived](f.reducer) {
		entries = append(entries, len(e.Update.Servers))
	}
	return entries
}

// Guards against exhausted memory by the tables of many peers that are queued at once.
func TestQueuedUpdatesAreBoundedByEntries(t *testing.T) {
	const (
		peers   = 300
		servers = 3000
	)
	inBubble(t, func(t *testing.T, f *fixture) {
		f.whileLoopIsBlocked(func() {
			for i := range peers {
				f.ReceiveStateUpdate(identifier.VMID(fmt.Sprintf("entry-%d", i)), updateOf(servers))
			}
			f.ReceiveStateUpdate("entry-2", updateOf(1))
		})
		received := f.received()
		total := 0
		for _, n := range received {
			total += n
		}
		require.LessOrEqual(t, total, maxQueuedEntries)
		require.Greater(t, total, maxQueuedEntries-servers)
		require.True(t, slices.Contains(received, 1), "a small update fits in")
		require.Zero(t, f.queuedEntries.Load())
	})
}

// Guards against updates that are dropped forever, as they exceed the bound or dropped ones count.
func TestUpdatesAreReceivedAfterQueueWasFull(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.whileLoopIsBlocked(func() {
			f.ReceiveStateUpdate("entry-2", updateOf(2*maxQueuedEntries))
			f.ReceiveStateUpdate("entry-3", updateOf(1))
			for range maxQueuedEvents {
				f.ReceiveStateUpdate("entry-4", updateOf(0))
			}
		})
		require.Equal(t, 2*maxQueuedEntries, f.received()[0])
		before := len(f.received())
		f.ReceiveStateUpdate("entry-3", updateOf(maxQueuedEntries))
		synctest.Wait()
		require.Len(t, f.received(), before+1)
		require.Zero(t, f.queuedEntries.Load())
	})
}
