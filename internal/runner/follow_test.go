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

// Guards against a node that refuses requests for the duration of a long poll after its start or
// after the log becomes available again.
func TestFirstReadOfIdleStreamDoesNotWait(t *testing.T) {
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

		f.log.unavailable.Store(true)
		passTime(t, readWait.Std()+time.Second) // The pending read ends.
		require.NotEmpty(t, eventsOf[messenger.LogUnavailable](f.reducer))
		readsBefore := reads()
		passTime(t, time.Minute)
		require.Equal(t, readsBefore, reads(), "reads fail")

		f.log.unavailable.Store(false)
		passTime(t, maxRetryBackoff)
		require.Equal(t, readsBefore+1, reads())
		passTime(t, readWait.Std()-maxRetryBackoff-time.Second)
		require.Equal(t, readsBefore+1, reads(), "later reads wait")
		cancel()
		<-f.stopped
	})
}

// Guards against the loss of a lease while a read of the lease stream hangs:
// the node must read its renewal before the lease of three seconds expires.
func TestHangingReadOfLowLatencyStreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.reducer.streams = []identifier.LogStream{"leases"}
		f.config.LowLatencyStreams = f.reducer.streams
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		passTime(t, 10*time.Millisecond)
		f.log.hanging.Store(true)
		passTime(t, lowLatencyWait.Std())
		f.log.hanging.Store(false)
		before := len(eventsOf[messenger.LogRead](f.reducer))
		const leaseLeft = 2500 * time.Millisecond
		passTime(t, leaseLeft)
		require.Greater(t, len(eventsOf[messenger.LogRead](f.reducer)), before)
		cancel()
		<-f.stopped
	})
}

// passTime advances the fake clock by d.
func passTime(t *testing.T, d time.Duration) {
	t.Helper()
	sleep(t.Context(), d)
}
