package placer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// cluster returns n live nodes spread over the zones.
func cluster(n, zones int) []gossiper.Node {
	nodes := make([]gossiper.Node, 0, n)
	for i := range n {
		nodes = append(nodes, gossiper.Node{
			VM:    identifier.VMID(fmt.Sprintf("entry-%03d", i)),
			Zone:  identifier.Zone(fmt.Sprintf("zone-%d", i%zones)),
			State: gossiper.Alive,
		})
	}
	return nodes
}

func TestHoldersPreferOtherZones(t *testing.T) {
	nodes := cluster(9, 4)
	nodes[1].State = gossiper.Leaving
	nodes[2].State = gossiper.Suspect
	holders := placer.Holders("r1", nodes, "entry-000")
	require.Len(t, holders, 6, "self, leaving and suspect nodes are excluded")
	for i, n := range holders {
		require.Equal(t, i >= 4, n.Zone == "zone-0", "own zone last: %v", holders)
	}
}

func TestSuccessorsAvoidLeavingZones(t *testing.T) {
	nodes := cluster(9, 4)
	nodes[0].State = gossiper.Leaving
	avoid := map[identifier.Zone]bool{"zone-1": true}
	successors := placer.Successors("r1", nodes, "entry-000", avoid)
	require.Len(t, successors, 8)
	for i, n := range successors {
		require.Equal(t, i >= 4, n.Zone == "zone-0" || n.Zone == "zone-1", "%v", successors)
	}
}

// Guards against lost requests of a failed node: other nodes query the first candidates, so the
// holder must be one of the first two, whichever node accepted the request.
func TestHolderIsAmongFirstTwoCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := cluster(rapid.IntRange(2, 40).Draw(t, "nodes"), rapid.IntRange(2, 4).Draw(t, "zones"))
		request := identifier.RequestID(rapid.StringN(1, 20, 20).Draw(t, "request"))
		entry := rapid.IntRange(0, len(nodes)-1).Draw(t, "entry")
		holder := placer.Holders(request, nodes, nodes[entry].VM)[0]
		first := placer.Candidates(request, nodes)[:2]
		require.Contains(t, first, holder)
	})
}

func TestChoiceIsStable(t *testing.T) {
	nodes := cluster(9, 4)
	changed := 0
	for i := range 1000 {
		r := identifier.RequestID(fmt.Sprintf("r%d", i))
		before := placer.Candidates(r, nodes)[0].VM
		after := placer.Candidates(r, nodes[:8])[0].VM
		if before != after {
			require.Equal(t, nodes[8].VM, before)
			changed++
		}
	}
	require.InDelta(t, 1000/9, changed, 50)
}

func TestShardSpreadsOverZones(t *testing.T) {
	shard := placer.Shard("quillmark", cluster(12, 4), 4)
	zones := map[identifier.Zone]bool{}
	for _, n := range shard {
		zones[n.Zone] = true
	}
	require.Len(t, zones, 4)
}

func TestWatchedServers(t *testing.T) {
	tests := []struct {
		nodes, servers, k, watchers int
	}{
		{
			nodes:    9,
			servers:  14,
			k:        40,
			watchers: 9,
		},
		{
			nodes:    400,
			servers:  600,
			k:        40,
			watchers: 27,
		},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d nodes", test.nodes), func(t *testing.T) {
			nodes := cluster(test.nodes, 4)
			servers := make([]identifier.VMID, test.servers)
			for i := range servers {
				servers[i] = identifier.VMID(fmt.Sprintf("engine-%03d", i))
			}
			watchers := map[identifier.VMID]int{}
			for _, n := range nodes {
				watched := placer.WatchedServers(n.VM, nodes, servers, test.k)
				require.GreaterOrEqual(t, len(watched), min(test.k, test.servers)/3, n.VM)
				for _, s := range watched {
					watchers[s]++
				}
			}
			for _, s := range servers {
				require.Equal(t, test.watchers, watchers[s], s)
			}
		})
	}
}
