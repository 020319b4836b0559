package ranker_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	zones = 4
	// The first strongNodes of many nodes have a much larger capacity than the rest.
	strongNodes = 8
	strong      = uint32(800)
	weak        = uint32(40)
)

// members is a membership that counts its reads.
type members struct {
	nodes   []gossiper.Node
	version uint64
	reads   int
}

var _ ranker.Members = (*members)(nil)

func (m *members) Nodes() []gossiper.Node {
	m.reads++
	return m.nodes
}

func (m *members) Version() uint64 { return m.version }

func (m *members) set(nodes []gossiper.Node) {
	m.nodes = nodes
	m.version++
}

func node(i int, capacity uint32) gossiper.Node {
	return gossiper.Node{
		VM:       identifier.VMID(fmt.Sprintf("entry-%d", i)),
		Zone:     identifier.Zone(fmt.Sprintf("zone-%d", i%zones)),
		Capacity: capacity,
		State:    gossiper.Alive,
	}
}

func ExampleRank() {
	selected := ranker.Rank("leader", []gossiper.Node{node(0, strong), node(1, weak), node(2, strong)}, 2)
	fmt.Println(len(selected), ranker.Contains(selected, "entry-1"))
	// Output: 2 false
}

// Guards against draws that reach only the few nodes with a large capacity.
func TestDrawsReachAllNodes(t *testing.T) {
	const nodes, draws = 20, 200
	m := &members{}
	var all []gossiper.Node
	for i := range nodes {
		capacity := weak
		if i < 2 {
			capacity = strong
		}
		all = append(all, node(i, capacity))
	}
	m.set(all)
	for _, n := range all {
		r := ranker.New(ranker.Config{
			Self:    n.VM,
			Zone:    n.Zone,
			Members: m,
		})
		drawn := 0
		for i := range draws {
			if r.Drawn(fmt.Sprintf("purpose/%d", i), 2) {
				drawn++
			}
		}
		require.InDelta(t, draws*2/nodes, drawn, draws/nodes, n.VM)
	}
}

// Nodes with a large capacity must be selected first, in different zones if possible,
// and others only if there are too few of them.
func TestStrongNodesComeFirst(t *testing.T) {
	var nodes []gossiper.Node
	for i := range 60 {
		capacity := weak
		if i < strongNodes {
			capacity = strong
		}
		nodes = append(nodes, node(i, capacity))
	}
	seen := map[identifier.Zone]bool{}
	for _, n := range ranker.Rank("leader", nodes, zones) {
		require.Equal(t, strong, n.Capacity)
		seen[n.Zone] = true
	}
	require.Len(t, seen, zones)
	require.Len(t, ranker.Rank("leader", nodes, 12), 12)

	unknown := []gossiper.Node{node(0, 0), node(1, 0), node(2, 0)}
	require.Len(t, ranker.Rank("leader", unknown, 2), 2)
}

// After a node leaves or dies it must not be selected, or nodes would report to a dead
// relay. Without a change the membership must not be read again.
func TestFollowsMembershipChanges(t *testing.T) {
	var nodes []gossiper.Node
	for i := range 12 {
		nodes = append(nodes, node(i, weak))
	}
	m := &members{}
	m.set(nodes)
	r := ranker.New(ranker.Config{
		Self:    "entry-0",
		Zone:    "zone-0",
		Members: m,
	})
	relays := r.FirstInZone("zone-1", "relay", 2)
	require.Len(t, relays, 2)
	for _, n := range relays {
		require.Equal(t, identifier.Zone("zone-1"), n.Zone)
	}
	for range 100 {
		require.Equal(t, relays, r.FirstInZone("zone-1", "relay", 2))
		require.Len(t, r.Peers(), 11)
	}
	require.Equal(t, 1, m.reads)
	require.Equal(t, []identifier.VMID{"entry-4", "entry-8"}, r.Neighbours())
	require.Equal(t, []identifier.Zone{"zone-1", "zone-2", "zone-3"}, r.OtherZones())

	var remaining []gossiper.Node
	for _, n := range nodes {
		if n.VM == relays[0].VM {
			continue
		}
		if n.VM == relays[1].VM {
			n.State = gossiper.Leaving
		}
		remaining = append(remaining, n)
	}
	m.set(remaining)
	after := r.FirstInZone("zone-1", "relay", 2)
	require.Len(t, after, 1)
	require.NotContains(t, relays, after[0])
	require.Len(t, r.Peers(), 10, "a leaving node is still a peer")
	require.Equal(t, 2, m.reads)
}

// A node that is leaving or alone must still be able to select itself, to finish its
// work.
func TestSelfIsAlwaysEligible(t *testing.T) {
	self := node(0, weak)
	self.State = gossiper.Leaving
	m := &members{}
	m.set([]gossiper.Node{self})
	r := ranker.New(ranker.Config{
		Self:    self.VM,
		Zone:    self.Zone,
		Members: m,
	})
	require.True(t, r.Chosen("leader", 3))
	require.Empty(t, r.Peers())
}
