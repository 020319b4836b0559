package gauger

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that the calling thread has used.
func processorTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return wallTime()
	}
	return time.Duration(ts.Nano())
}
