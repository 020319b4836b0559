package gauger

import (
	"runtime"
	"time"
)

// cost holds processor time, allocated bytes and allocated objects.
type cost struct {
	processorTime time.Duration
	allocated     uint64
	objects       uint64
}

// microsecondsPer returns the mean processor time of n runs in microseconds.
func (c cost) microsecondsPer(n int) float64 {
	return float64(c.processorTime) / float64(time.Microsecond) / float64(max(n, 1))
}

// measure runs work on one thread and returns its cost. Processor time excludes
// the garbage collector's threads; the allocations indicate their load.
func measure(work func()) cost {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := processorTime()
	work()
	elapsed := processorTime() - start
	runtime.ReadMemStats(&after)
	return cost{
		processorTime: elapsed,
		allocated:     after.TotalAlloc - before.TotalAlloc,
		objects:       after.Mallocs - before.Mallocs,
	}
}

// retainedBytes returns the growth of the live heap due to the value that build
// returns.
func retainedBytes(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	// The second collection frees objects that the first only finalized.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
