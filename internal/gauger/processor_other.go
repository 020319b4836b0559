//go:build !linux

package gauger

import "time"

// processorTime returns the time that has passed: an upper bound of the
// processor time, on systems without a clock for it.
func processorTime() time.Duration { return wallTime() }
