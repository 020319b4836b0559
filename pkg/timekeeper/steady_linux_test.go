package timekeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A lease holder's VM is suspended and resumed after its lease has lapsed. The
// holder must see the lapse at its next look at the clock, or it gives orders
// beside the new holder. A test can't suspend the VM; it pins down that
// the clock read is the one that goes on meanwhile.
func TestSystemFollowsTheClockThatCountsSuspensions(t *testing.T) {
	before := boottime(t)
	read := steady()
	after := boottime(t)
	require.GreaterOrEqual(t, read, before)
	require.LessOrEqual(t, read, after)

	early := System{}.Now()
	elapsed := boottime(t) - steadyStart
	late := System{}.Now()
	require.LessOrEqual(t, early, FromStd(processStart.Add(elapsed)))
	require.GreaterOrEqual(t, late, FromStd(processStart.Add(elapsed)))
}

func boottime(t *testing.T) time.Duration {
	var ts unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
	return time.Duration(ts.Nano())
}

func TestSystemNeverGoesBack(t *testing.T) {
	last := System{}.Now()
	for range 10_000 {
		now := System{}.Now()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}

// The wall clock may be set while the process runs; instants of the process
// still start from the wall clock at its start.
func TestSystemStartsFromTheWallClock(t *testing.T) {
	require.InDelta(t, time.Now().UnixMilli(), int64(System{}.Now()), float64(time.Minute.Milliseconds()))
}
