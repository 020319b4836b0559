package leaser

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Each call number exceeds all earlier ones, within a tenure and across tenures.
func TestCallNumbersIncrease(t *testing.T) {
	var (
		c    CallSequence
		last identifier.Fence
	)
	for _, fence := range []identifier.Fence{3, 3, 4, 40, 40, identifier.OffsetAt(1, 2), identifier.OffsetAt(2, 0)} {
		n, ok := c.Next(fence)
		require.True(t, ok)
		require.Greater(t, n, last)
		last = n
	}
	_, ok := c.Next(4)
	require.False(t, ok)
}
