package gauger

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWatchReadsThisProcess(t *testing.T) {
	got, err := Watcher{Root: "/proc"}.Watch(context.Background(), []int{os.Getpid()}, time.Millisecond)
	require.NoError(t, err)
	require.Len(t, got, 1)
	require.Positive(t, got[0].ResidentBytes)
	require.GreaterOrEqual(t, got[0].PeakBytes, got[0].ResidentBytes)
	require.GreaterOrEqual(t, got[0].Threads, 1.0)

	_, err = Watcher{Root: t.TempDir()}.Watch(context.Background(), []int{1}, 0)
	require.ErrorIs(t, err, os.ErrNotExist)
}
