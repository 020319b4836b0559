package follower

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func read(first identifier.Offset, end bool, offsets ...identifier.Offset) messenger.LogRead {
	r := messenger.LogRead{
		First: first,
		End:   end,
	}
	for _, o := range offsets {
		r.Records = append(r.Records, messenger.Record{Offset: o})
	}
	return r
}

// Guards against records that were deleted unread within the retention: a lease that another node
// holds would be taken for free.
func TestLostRecordsAreAGap(t *testing.T) {
	s := New(Config{Retention: timekeeper.Minute})
	s.ApplyRecords(0, read(10, true, 12))
	lost := read(15, true, 15)
	lost.Lost = true
	require.True(t, s.ApplyRecords(400, lost).Gap)
}

// Guards against gaps reported for an idle stream, whose position is passed by the oldest retained
// offset of the log, and against records returned twice.
func TestStream(t *testing.T) {
	s := New(Config{Retention: timekeeper.Minute})
	for _, step := range []struct {
		name   string
		now    timekeeper.Time
		read   messenger.LogRead
		fresh  int
		gap    bool
		replay bool
	}{
		{
			name:  "a first read that does not reach the end",
			now:   0,
			read:  read(10, false, 12, 15),
			fresh: 2,
		},
		{
			name:   "an overlap that reaches the end",
			now:    1,
			read:   read(10, true, 15, 17),
			fresh:  1,
			replay: true,
		},
		{
			name:   "the same read again",
			now:    2,
			read:   read(10, true, 15, 17),
			replay: true,
		},
		{
			name:   "an idle stream, passed by the oldest retained offset",
			now:    29_000,
			read:   read(40, true),
			replay: true,
		},
		{
			name:   "a record after an idle time within the limit",
			now:    58_000,
			read:   read(60, false, 61),
			fresh:  1,
			replay: true,
		},
		{
			name:  "a record after a longer idle time",
			now:   59_001,
			read:  read(70, false, 71),
			fresh: 1,
			gap:   true,
		},
		{
			name:   "the end again",
			now:    59_002,
			read:   read(72, true),
			replay: true,
		},
	} {
		b := s.ApplyRecords(step.now, step.read)
		require.Len(t, b.Records, step.fresh, step.name)
		require.Equal(t, step.gap, b.Gap, step.name)
		require.Equal(t, step.replay, s.Replayed(), step.name)
	}
	require.Equal(t, identifier.Offset(72), s.Next())
}
