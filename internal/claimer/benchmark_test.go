package claimer

import (
	"math"
	"runtime"
	"testing"
)

const benchmarkClaims = 1000

func BenchmarkApplyRecords(b *testing.B) {
	log := fakeLog{now: 1}
	for i := range benchmarkClaims {
		log.append(foreignClaim(i))
	}
	read := log.read(0, math.MaxInt)
	b.ReportAllocs()
	for b.Loop() {
		newTestTable("vm-a").ApplyRecords(1, read)
	}
}

func BenchmarkTableMemory(b *testing.B) {
	const entries = 20 * benchmarkClaims
	log := fakeLog{now: 1}
	for i := range entries {
		log.append(foreignClaim(i))
	}
	read := log.read(0, math.MaxInt)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newTestTable("vm-a")
		table.ApplyRecords(1, read)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "bytes/entry")
}
