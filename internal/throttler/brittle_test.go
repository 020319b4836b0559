package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func stated(sent timekeeper.Time, rejections int) messenger.ServerBrittleReceived {
	return messenger.ServerBrittleReceived{
		Server: "i-1",
		Sent:   sent,
		Brittle: messenger.StatedBrittle{
			Stated:     rejections > 0,
			Rejections: rejections,
		},
	}
}

// A late answer from before the statement must not end it, and silence must.
func TestBrittleServiceEnds(t *testing.T) {
	const begin timekeeper.Time = 1_000_000
	b := throttler.NewBrittle()
	require.False(t, b.Observe(begin, "reader", stated(begin, 0)))
	require.True(t, b.Observe(begin, "reader", stated(begin, 5)))
	require.False(t, b.Observe(begin.Add(1), "reader", stated(begin.Add(1), 5)))
	require.True(t, b.Service("reader"))
	require.False(t, b.Service("writer"))
	require.False(t, b.Observe(begin.Add(3), "reader", stated(begin, 0)), "sent before")
	require.True(t, b.Service("reader"))
	require.True(t, b.Observe(begin.Add(4), "reader", stated(begin.Add(3), 0)))
	require.False(t, b.Service("reader"))

	b.Observe(begin, "reader", stated(begin, 5))
	require.Empty(t, b.Tick(begin.Add(timekeeper.Second)))
	require.Equal(t, []identifier.ServiceName{"reader"}, b.Tick(begin.Add(6*timekeeper.Second)))
	require.False(t, b.Service("reader"))
}

// Guards against nodes that each learn by themselves that a brittle server has no room.
func TestRoomOfBrittleServers(t *testing.T) {
	const begin timekeeper.Time = 1_000_000
	b := throttler.NewBrittle()
	b.SetNodes(20)
	b.Observe(begin, "reader", stated(begin, 5))
	require.True(t, b.HasRoom(begin, "i-1", 8, 7))
	require.False(t, b.HasRoom(begin, "i-1", 8, 8), "it would wait")
	require.True(t, b.HasRoom(begin, "i-1", 0, 100), "the number of slots is not known")
	b.Rejected(begin, "reader", "i-1", 6)
	require.False(t, b.HasRoom(begin.Add(3900), "i-1", 8, 0), "20 nodes share 5 rejections a second")
	require.True(t, b.HasRoom(begin.Add(4100), "i-1", 8, 4))
	require.False(t, b.HasRoom(begin.Add(4100), "i-1", 8, 5))
	require.True(t, b.HasRoom(begin.Add(9*timekeeper.Second), "i-1", 8, 7))
	require.True(t, b.HasRoom(begin, "i-2", 8, 7))
}
