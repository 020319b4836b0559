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

// Offsets are shared by all streams: a quiet stream is passed by the oldest
// kept offset all the time, which is a gap only if its end was not seen for
// long. A read that comes twice brings nothing.
func TestStream(t *testing.T) {
	s := New(Config{Retention: timekeeper.Minute})
	for _, step := range []struct {
		now    timekeeper.Time
		read   messenger.LogRead
		fresh  int
		gap    bool
		replay bool
	}{
		{now: 0, read: read(10, false, 12, 15), fresh: 2},
		{now: 1, read: read(10, true, 15, 17), fresh: 1, replay: true},
		{now: 2, read: read(10, true, 15, 17), replay: true},
		{now: 29_000, read: read(40, true), replay: true},
		{now: 58_000, read: read(60, false, 61), fresh: 1, replay: true},
		{now: 59_001, read: read(70, false, 71), fresh: 1, gap: true},
		{now: 59_002, read: read(72, true), replay: true},
	} {
		b := s.Absorb(step.now, step.read)
		require.Len(t, b.Records, step.fresh, "at %v", step.now)
		require.Equal(t, step.gap, b.Gap, "at %v", step.now)
		require.Equal(t, step.replay, s.Replayed(), "at %v", step.now)
	}
	require.Equal(t, identifier.Offset(72), s.Next())
}
