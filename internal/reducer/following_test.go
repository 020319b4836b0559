package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// All of 61 nodes start at once. Each reads the lease once, so that the time that
// its last holder has left is counted from then; until they had heard of their
// peers all of them read on, five calls to the store each. Afterwards the few that
// may hold the lease follow it, and the usage that its holder reports.
func TestStartReadsTheLeaseOnce(t *testing.T) {
	f := newFleet(61)
	lease := []identifier.LogStream{leaser.Stream}
	for _, id := range f.ids {
		require.Equal(t, lease, f.nodes[id].Streams(), "at %s", id)
	}
	f.run(fleetStep)
	for _, id := range f.ids {
		require.Equal(t, lease, f.nodes[id].Streams(), "the store has not answered %s yet", id)
		f.apply(id, messenger.LogRead{
			Stream: leaser.Stream,
			End:    true,
		})
		require.Empty(t, f.nodes[id].Streams(), "at %s", id)
	}
	f.run(3 * timekeeper.Second)
	following := 0
	for _, id := range f.ids {
		streams := f.nodes[id].Streams()
		if len(streams) == 0 {
			continue
		}
		require.Equal(t, []identifier.LogStream{leaser.Stream, accountant.Stream}, streams, "at %s", id)
		following++
	}
	require.Equal(t, dutyNodes, following)
}
