package timekeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a lease that appears valid after a suspension. A test can't suspend the VM, so it
// compares System with the clock that includes suspensions.
func TestSystemIncludesSuspendedTime(t *testing.T) {
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

// System must start from the wall clock, even though it ignores later changes.
func TestSystemStartsFromTheWallClock(t *testing.T) {
	require.InDelta(t, time.Now().UnixMilli(), int64(System{}.Now()), float64(time.Minute.Milliseconds()))
}
