package planner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// If the shares of the nodes overlapped, one slot could be assigned to two
// streams.
func TestNodeSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []identifier.VMID
		for i := range rapid.IntRange(1, 9).Draw(t, "nodes") {
			nodes = append(nodes, identifier.VMID(fmt.Sprintf("n-%d", i)))
		}
		whole := Headroom{
			Server:   identifier.VMID(rapid.String().Draw(t, "server")),
			Slots:    rapid.IntRange(0, 40).Draw(t, "slots"),
			KVTokens: 100_000,
		}
		slots, tokens := 0, identifier.Tokens(0)
		for _, self := range nodes {
			for _, r := range (NodeShare{
				Self:  self,
				Nodes: nodes,
			}).Headroom([]Headroom{whole}) {
				slots += r.Slots
				tokens += r.KVTokens
			}
		}
		require.Equal(t, whole.Slots, slots)
		require.LessOrEqual(t, tokens, whole.KVTokens)
	})
	require.InDelta(t, 0.5, NodeShare{
		OwnStreams:   1,
		TotalStreams: 8,
	}.LinkShare(), 0)
	require.InDelta(t, 1, NodeShare{
		OwnStreams:   2,
		TotalStreams: 1,
	}.LinkShare(), 0)
}
