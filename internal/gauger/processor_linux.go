package gauger

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time of the calling thread, or the elapsed
// time if the clock cannot be read.
func processorTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return wallTime()
	}
	return time.Duration(ts.Nano())
}
