package runner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// zonedNodes returns nodes distributed round-robin over four zones.
func zonedNodes(size int) []gossiper.Node {
	var out []gossiper.Node
	for i := range size {
		out = append(out, gossiper.Node{
			VM:    identifier.VMID(fmt.Sprintf("entry-%d", i)),
			Zone:  identifier.Zone(fmt.Sprintf("zone-%d", i%4)),
			State: gossiper.Alive,
		})
	}
	return out
}

// addressesFor returns the nodes that the callers of an account receive.
func addressesFor(account identifier.AccountID, nodes []gossiper.Node) []gossiper.Node {
	return shardOf(placer.Shard(account, nodes, len(nodes)), rand.Shuffle)
}

func vms(nodes []gossiper.Node) []identifier.VMID {
	var out []identifier.VMID
	for _, n := range nodes {
		out = append(out, n.VM)
	}
	slices.Sort(out)
	return out
}

// Guards against accounts concentrated on few nodes or in few zones, callers that all start at the
// same node, and nodes that return different lists for an account.
func TestAddressesAreSpread(t *testing.T) {
	const accounts = 400
	for size, listed := range map[int]int{6: 6, 9: 9, 12: 12, 13: shardNodes, 40: shardNodes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			nodes := zonedNodes(size)
			accountsPerNode := make(map[identifier.VMID]int)
			for i := range accounts {
				account := identifier.AccountID(fmt.Sprintf("account-%d", i))
				list := addressesFor(account, nodes)
				require.Len(t, list, listed)
				zones := make(map[identifier.Zone]bool)
				for _, n := range list[:affinityNodes] {
					zones[n.Zone] = true
					accountsPerNode[n.VM]++
				}
				require.Len(t, zones, affinityNodes)
				other := slices.Clone(nodes)
				slices.Reverse(other)
				require.Equal(t, vms(list[:affinityNodes]), vms(addressesFor(account, other)[:affinityNodes]))
			}
			mean := accounts * affinityNodes / size
			for _, n := range nodes {
				require.InDelta(t, mean, accountsPerNode[n.VM], 0.6*float64(mean), n.VM)
			}
			callersPerFirstNode := make(map[identifier.VMID]int)
			for range accounts {
				callersPerFirstNode[addressesFor("account-1", nodes)[0].VM]++
			}
			require.Len(t, callersPerFirstNode, affinityNodes)
			for vm, callers := range callersPerFirstNode {
				require.Greater(t, callers, accounts/(2*affinityNodes), vm)
			}
		})
	}
}

// The counterpart of TestAddressesAreSpread: without shuffling, all callers of
// an account start at the same node.
func TestUnshuffledAddressesShareOneFirstNode(t *testing.T) {
	nodes := zonedNodes(9)
	first := make(map[identifier.VMID]bool)
	for range 100 {
		list := shardOf(placer.Shard("account-1", nodes, len(nodes)), func(int, func(i, j int)) {})
		first[list[0].VM] = true
	}
	require.Len(t, first, 1)
}

// Guards against callers receiving leaving, suspected or dead nodes, whose
// addresses they would cache for seconds.
func TestAddressesExcludeUnavailableNodes(t *testing.T) {
	for _, size := range []int{9, 20} {
		nodes := zonedNodes(size)
		for i := range nodes {
			switch {
			case nodes[i].Zone == "zone-0":
				nodes[i].State = gossiper.Leaving
			case i == 1:
				nodes[i].State = gossiper.Suspect
			case i == 2:
				nodes[i].State = gossiper.Dead
			}
		}
		for i := range 100 {
			list := addressesFor(identifier.AccountID(fmt.Sprintf("account-%d", i)), nodes)
			require.NotEmpty(t, list)
			for _, n := range list {
				require.Equal(t, gossiper.Alive, n.State, n.VM)
			}
		}
	}
}
