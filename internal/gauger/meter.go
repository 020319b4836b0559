package gauger

import (
	"runtime"
	"time"
)

// cost is what a piece of work took.
type cost struct {
	processor time.Duration
	allocated uint64
	objects   uint64
}

// per returns the processor time of one of n runs in microseconds.
func (c cost) per(n int) float64 {
	return float64(c.processor) / float64(time.Microsecond) / float64(max(n, 1))
}

// metered runs work on one thread and returns what it took. The collector's
// own threads are not counted; the objects are, which is what feeds it.
func metered(work func()) cost {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := processorTime()
	work()
	took := processorTime() - began
	runtime.ReadMemStats(&after)
	return cost{
		processor: took,
		allocated: after.TotalAlloc - before.TotalAlloc,
		objects:   after.Mallocs - before.Mallocs,
	}
}

// retained returns by how much the live heap grows while what build returns
// is kept.
func retained(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	// The second collection frees what finalizers of the first let go.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
