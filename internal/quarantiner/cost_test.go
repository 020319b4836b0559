package quarantiner_test

import (
	"runtime"
	"testing"

	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// fullTable returns a table with the maximum number of requests, each with eight ended
// servers.
func fullTable() *quarantiner.Quarantine {
	q := quarantiner.New()
	for r := range 1024 {
		for s := range 8 {
			q.ServerEnded(start.Add(timekeeper.Duration(s)), identifier.Fingerprint(r+1), server(s+8*(r%100)))
		}
	}
	return q
}

// BenchmarkFullTable measures the memory of a full table, and the time of an update of
// the verdicts and of an update to peers.
func BenchmarkFullTable(b *testing.B) {
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			q := fullTable()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/table")
			runtime.KeepAlive(q)
		}
	})
	b.Run("verdicts", func(b *testing.B) {
		q := fullTable()
		now := start.Add(timekeeper.Second)
		q.Refuses(now, 1)
		for i := 0; b.Loop(); i++ {
			now = now.Add(1)
			q.ServerEnded(now, identifier.Fingerprint(i%1024+1), server(10_000+i))
			q.Refuses(now, 1)
		}
	})
	b.Run("updates", func(b *testing.B) {
		q := fullTable()
		now := start.Add(timekeeper.Minute)
		for b.Loop() {
			now = now.Add(500)
			q.Updates(now, true)
		}
	})
}
