package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// The log is out and comes back, and nobody appends anything. The node must
// learn so from its next read, within the pause between reads that fail: until
// it does, it refuses each rejection email. A read that waits for the next
// record would tell only after its wait. So would the first read of a node
// that has just started.
func TestQuietStreamIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.reducer.streams = []identifier.LogStream{"claims-0"}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		reads := func() int {
			synctest.Wait()
			return len(eventsOf[messenger.LogRead](f.reducer))
		}
		require.Equal(t, 1, reads(), "the first read does not wait")

		f.log.out.Store(true)
		wait(t, readWait.Std()+time.Second) // The read under way ends.
		require.NotEmpty(t, eventsOf[messenger.LogUnavailable](f.reducer))
		before := reads()
		wait(t, time.Minute)
		require.Equal(t, before, reads(), "nothing can be read")

		f.log.out.Store(false)
		wait(t, retryMost)
		require.Equal(t, before+1, reads())
		wait(t, readWait.Std()-retryMost-time.Second)
		require.Equal(t, before+1, reads(), "from then on reads wait")
		cancel()
		<-f.stopped
	})
}

// The connection on which a node reads the stream of leases goes silent, right
// after a renewal was read. The node appends its next renewal a second later,
// but does not read it back while the read hangs. It must read again before its
// lease of three seconds lapses; with the wait of other streams it lost the
// lease, and nobody granted accounts their limits until it had it again.
func TestSilentReadOfPromptStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.reducer.streams = []identifier.LogStream{"leases"}
		f.config.LowLatencyStreams = f.reducer.streams
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		wait(t, 10*time.Millisecond)
		f.log.mute.Store(true)
		wait(t, promptWait.Std())
		f.log.mute.Store(false)
		before := len(eventsOf[messenger.LogRead](f.reducer))
		const leaseLeft = 2500 * time.Millisecond
		wait(t, leaseLeft)
		require.Greater(t, len(eventsOf[messenger.LogRead](f.reducer)), before)
		cancel()
		<-f.stopped
	})
}

// wait lets the bubble's time pass.
func wait(t *testing.T, d time.Duration) {
	t.Helper()
	sleep(t.Context(), d)
}
