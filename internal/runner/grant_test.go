package runner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// Guards against calls of peers that hang forever on a node that grants nothing.
func TestUnansweredGrantEndsWithItsContext(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, messenger.LimitAnswered{Unknown: true}, f.GrantLimit(ctx, "agency", 10))
		require.Equal(t, messenger.PermitAnswered{Unknown: true}, f.GrantPermit(ctx, nil))
	})
}
