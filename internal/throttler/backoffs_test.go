package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// A backoff must last as long as the server asked for, and end then.
func TestBackoffs(t *testing.T) {
	b := throttler.NewBackoffs()
	require.Zero(t, b.Until(start, "i-1"))
	b.Record(start, "i-1", 3000)
	b.Record(start.Add(10), "i-1", 1000)
	b.Record(start, "i-2", 0)
	require.Equal(t, start.Add(3000), b.Until(start.Add(2999), "i-1"))
	require.Zero(t, b.Until(start.Add(3000), "i-1"))
	require.Zero(t, b.Until(start, "i-2"))
	b.Record(start.Add(2000), "i-1", 3000)
	b.Tick(start.Add(4000))
	require.Equal(t, start.Add(5000), b.Until(start.Add(4000), "i-1"))
	b.Forget("i-1")
	require.Zero(t, b.Until(start.Add(4000), "i-1"))
}

// Guards against an endless backoff that a long stated time overflows to.
func TestLongBackoffEnds(t *testing.T) {
	b := throttler.NewBackoffs()
	b.Record(start, "i-1", 24*timekeeper.Hour)
	require.NotZero(t, b.Until(start.Add(timekeeper.Hour), "i-1"))
	require.Zero(t, b.Until(start.Add(25*timekeeper.Hour), "i-1"))
}

// Guards against a server that stays in reserve although it serves again.
func TestRecoveringServer(t *testing.T) {
	b := throttler.NewBackoffs()
	b.Record(start, "i-1", 3000)
	require.True(t, b.Recovering(start.Add(5999), "i-1"))
	require.False(t, b.Recovering(start.Add(6000), "i-1"))
	b.Served("i-1", start.Add(2999))
	require.True(t, b.Recovering(start.Add(4000), "i-1"), "a request that was sent before")
	b.Served("i-1", start.Add(3000))
	require.False(t, b.Recovering(start.Add(4000), "i-1"))
}
