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

// fleet returns nodes that stand in four zones in turn.
func fleet(size int) []gossiper.Node {
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

// listFor returns what the callers of an account get in a fleet.
func listFor(account identifier.AccountID, nodes []gossiper.Node) []gossiper.Node {
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

// Callers of many accounts ask for addresses, at different nodes. Each account
// has its few home nodes, the same at every node that is asked and in three
// zones; over the accounts these are spread over all nodes; and over an
// account's callers the first one is spread over its home nodes.
func TestAddressesAreSpread(t *testing.T) {
	const accounts = 400
	for size, listed := range map[int]int{6: 6, 9: 9, 12: 12, 13: shardNodes, 40: shardNodes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			nodes := fleet(size)
			homes := make(map[identifier.VMID]int)
			for i := range accounts {
				account := identifier.AccountID(fmt.Sprintf("account-%d", i))
				list := listFor(account, nodes)
				require.Len(t, list, listed)
				zones := make(map[identifier.Zone]bool)
				for _, n := range list[:homeNodes] {
					zones[n.Zone] = true
					homes[n.VM]++
				}
				require.Len(t, zones, homeNodes)
				other := slices.Clone(nodes)
				slices.Reverse(other)
				require.Equal(t, vms(list[:homeNodes]), vms(listFor(account, other)[:homeNodes]))
			}
			mean := accounts * homeNodes / size
			for _, n := range nodes {
				require.InDelta(t, mean, homes[n.VM], 0.6*float64(mean), n.VM)
			}
			first := make(map[identifier.VMID]int)
			for range accounts {
				first[listFor("account-1", nodes)[0].VM]++
			}
			require.Len(t, first, homeNodes)
			for vm, callers := range first {
				require.Greater(t, callers, accounts/(2*homeNodes), vm)
			}
		})
	}
}

// The control of the drawn order: without it, all callers of an account begin
// at one node.
func TestAddressesInOneOrder(t *testing.T) {
	nodes := fleet(9)
	first := make(map[identifier.VMID]bool)
	for range 100 {
		list := shardOf(placer.Shard("account-1", nodes, len(nodes)), func(int, func(i, j int)) {})
		first[list[0].VM] = true
	}
	require.Len(t, first, 1)
}

// A whole zone is leaving, and a node elsewhere is suspected. No caller may
// get these, whatever its account: it would keep the address for seconds.
func TestAddressesLeaveOutNodesThatGo(t *testing.T) {
	for _, size := range []int{9, 20} {
		nodes := fleet(size)
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
			list := listFor(identifier.AccountID(fmt.Sprintf("account-%d", i)), nodes)
			require.NotEmpty(t, list)
			for _, n := range list {
				require.Equal(t, gossiper.Alive, n.State, n.VM)
			}
		}
	}
}
