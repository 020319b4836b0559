//go:build !linux

package gauger

import "time"

// processorTime returns the elapsed time, an upper bound of the thread's
// processor time.
func processorTime() time.Duration { return wallTime() }
