package claimer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	testRetention = 60 * timekeeper.Second
	testWindow    = 40 * timekeeper.Second
)

// fakeLog is a log of one stream that keeps records for testRetention.
type fakeLog struct {
	now     timekeeper.Time
	records []messenger.Record
}

func (l *fakeLog) append(data []byte) {
	l.records = append(l.records, messenger.Record{
		Offset:   identifier.Offset(len(l.records) + 1),
		Appended: l.now,
		Data:     data,
	})
}

func (l *fakeLog) read(from identifier.Offset, limit int) messenger.LogRead {
	out := messenger.LogRead{
		Stream: partition(0),
		First:  identifier.Offset(len(l.records) + 1),
		End:    true,
	}
	for _, r := range l.records {
		if l.now.Sub(r.Appended) >= testRetention {
			continue
		}
		out.First = min(out.First, r.Offset)
		if r.Offset < from {
			continue
		}
		if len(out.Records) == limit {
			out.End = false
			break
		}
		out.Records = append(out.Records, r)
	}
	return out
}

func newTestTable(self identifier.VMID) *Table {
	return New(Config{
		Self:       self,
		Partitions: 1,
		Retention:  testRetention,
	})
}
