package runner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
)

// Guards against calls of peers that hang forever on a node that grants nothing.
func TestUnansweredGrantEndsWithItsContext(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, messenger.LimitAnswered{Unknown: true}, f.GrantLimit(ctx, "agency", 10))
		require.Equal(t, messenger.PermitAnswered{Unknown: true}, f.GrantPermit(ctx, nil))
		require.Equal(t, messenger.SlotAnswered{Unknown: true}, f.GrantSlot(ctx, messenger.SlotReport{}))
	})
}

// Guards against asking an allocator whose process has ended until its reports are old.
func TestEndedAllocatorDoesNotGrant(t *testing.T) {
	for _, test := range []struct {
		reach       relayer.Reach
		notGranting bool
	}{
		{
			reach:       relayer.Refused,
			notGranting: true,
		},
		{
			reach: relayer.NotReached,
		},
		{
			reach: relayer.Ambiguous,
		},
	} {
		t.Run(string(test.reach), func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.peers.grant = func() error { return &relayer.PeerError{Reach: test.reach} }
				f.runEffects(messenger.RequestLimit{Peer: "entry-2"}, messenger.RequestPermit{Peer: "entry-2"})
				limits := eventsOf[messenger.LimitAnswered](f.reducer)
				require.Len(t, limits, 1)
				require.True(t, limits[0].Unknown)
				require.Equal(t, test.notGranting, limits[0].NotGranting)
				permits := eventsOf[messenger.PermitAnswered](f.reducer)
				require.Len(t, permits, 1)
				require.True(t, permits[0].Unknown)
				require.Equal(t, test.notGranting, permits[0].NotGranting)
			})
		})
	}
}
