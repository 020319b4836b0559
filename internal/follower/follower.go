// Package follower keeps track of how far a node has read one stream of the
// platform's log: which records are new to it, whether it has replayed the
// stream to its end, and whether records may have expired before it read them.
//
// Reads of a stream must be delivered in the order in which they were made;
// a read that is delivered twice, or overlaps an earlier one, does no harm.
package follower

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config sets up a Stream.
type Config struct {
	// Retention is the least time for which the log keeps a record.
	Retention timekeeper.Duration
}

// Stream is the reading position in one stream of the log.
type Stream struct {
	retention timekeeper.Duration
	started   bool
	replayed  bool
	next      identifier.Offset
	// ended is when a read last reached the end of the stream.
	ended timekeeper.Time
}

// New returns a Stream of which nothing was read yet.
func New(c Config) *Stream { return &Stream{retention: c.Retention} }

// SetRetention takes up another least time for which the log keeps a record.
func (s *Stream) SetRetention(d timekeeper.Duration) { s.retention = d }

// Batch is what one read brought.
type Batch struct {
	// Records are the records that were not read before, in log order.
	Records []messenger.Record
	// Gap tells that records before these may have expired unread.
	Gap bool
}

// Absorb takes in one read of the stream.
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
		s.ended = now
	}
	return b
}

// gap tells whether records may have expired unread.
//
// Offsets are shared by all streams, so that the oldest kept offset also
// passes this stream's position when only other streams' records expired.
// What was appended after the last read that reached the end can't have
// expired within the retention; half of it leaves room for a read that was
// absorbed late.
func (s *Stream) gap(now timekeeper.Time, read messenger.LogRead) bool {
	if !s.started || read.First <= s.next {
		return false
	}
	return !s.replayed || now.Sub(s.ended) >= s.retention/2
}

// Replayed reports whether the stream was read from its oldest kept record to
// its end, with no gap since.
func (s *Stream) Replayed() bool { return s.replayed }

// Next returns the offset after the last one that was read.
func (s *Stream) Next() identifier.Offset { return s.next }
