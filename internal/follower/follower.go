// Package follower tracks a node's reading position in one stream of the
// platform's log: which records are new, whether the stream has been replayed
// to its end, and whether records may have expired before they were read.
//
// Reads of a stream must be applied in the order in which they were made.
// Applying a read twice, or overlapping reads, has no effect beyond the
// first.
package follower

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config configures a Stream.
type Config struct {
	// Retention is the minimum time for which the log retains a record.
	Retention timekeeper.Duration
}

// Stream is the reading position in one stream of the log.
type Stream struct {
	retention timekeeper.Duration
	started   bool
	replayed  bool
	next      identifier.Offset
	// endReached is the time at which a read last reached the end of the
	// stream.
	endReached timekeeper.Time
}

// New returns a Stream at the position before the first read.
func New(c Config) *Stream { return &Stream{retention: c.Retention} }

// SetRetention changes the minimum time for which the log retains a record.
func (s *Stream) SetRetention(d timekeeper.Duration) { s.retention = d }

// Batch is the result of one read.
type Batch struct {
	// Records are the new records, in log order.
	Records []messenger.Record
	// Gap reports whether records before these may have expired unread.
	Gap bool
}

// ApplyRecords applies one read of the stream.
func (s *Stream) ApplyRecords(now timekeeper.Time, read messenger.LogRead) Batch {
	b := Batch{
		Records: nil,
		Gap:     s.gap(now, read),
	}
	if !s.started || b.Gap {
		s.started = true
		s.replayed = false
		s.next = max(s.next, read.First)
	}
	for _, r := range read.Records {
		if r.Offset < s.next {
			continue
		}
		b.Records = append(b.Records, r)
		s.next = r.Offset + 1
	}
	if read.End {
		s.replayed = true
		s.endReached = now
	}
	return b
}

// gap reports whether records may have expired unread.
//
// Offsets are shared by all streams, so the oldest retained offset also
// passes this stream's position if only records of other streams expired.
// Records appended after the last read that reached the end cannot have
// expired within the retention; half of it is subtracted for reads that are
// applied late.
func (s *Stream) gap(now timekeeper.Time, read messenger.LogRead) bool {
	if !s.started || read.First <= s.next {
		return false
	}
	return read.Lost || !s.replayed || now.Sub(s.endReached) >= s.retention/2
}

// Replayed reports whether the stream was read from its oldest retained
// record to its end, with no gap since.
func (s *Stream) Replayed() bool { return s.replayed }

// Next returns the offset after the last record that was read.
func (s *Stream) Next() identifier.Offset { return s.next }
