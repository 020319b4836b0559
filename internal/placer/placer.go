// Package placer chooses nodes for a purpose by rendezvous hashing: the
// holders of a request's copy, the successors of a leaving node, the nodes to
// ask for a request, the servers that a node watches.
//
// All nodes with the same view of the membership choose alike without a
// message, and where views differ by one node only the choices that fall on
// that node differ. The functions are pure.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Holders returns the nodes that may hold the copy of a request of node self,
// best first: live ones outside the zone of self, then live ones within it.
func Holders(r identifier.RequestID, nodes []gossiper.Node, self identifier.VMID) []gossiper.Node {
	home := zoneOf(nodes, self)
	return ordered(string(r), live(nodes, self), func(n gossiper.Node) int {
		return rank(n.Zone == home)
	})
}

// Successors returns the nodes that may take over a request of the leaving
// node self, best first. Nodes come last whose zone is one of avoid or has
// another leaving node: a reclaim often takes a whole zone, and the successor
// would soon have to hand the request on.
func Successors(r identifier.RequestID, nodes []gossiper.Node, self identifier.VMID, avoid map[identifier.Zone]bool) []gossiper.Node {
	leaving := map[identifier.Zone]bool{}
	for _, n := range nodes {
		if n.State == gossiper.Leaving {
			leaving[n.Zone] = true
		}
	}
	return ordered(string(r), live(nodes, self), func(n gossiper.Node) int {
		return rank(avoid[n.Zone] || leaving[n.Zone])
	})
}

// Candidates returns the nodes to ask for a request, best first. The best node
// of each zone comes first, then the second of each, and so on: the holder is
// the best node outside the zone of the request's home, so with an agreed
// membership it is one of the first two, whichever zone the home was in.
func Candidates(r identifier.RequestID, nodes []gossiper.Node) []gossiper.Node {
	return spread(ordered(string(r), nodes, func(gossiper.Node) int { return 0 }))
}

// Shard returns the size nodes that serve a client account, spread over the
// zones. Only these have to share the account's limits.
func Shard(a identifier.AccountID, nodes []gossiper.Node, size int) []gossiper.Node {
	all := spread(ordered(string(a), live(nodes, ""), func(gossiper.Node) int { return 0 }))
	return all[:min(size, len(all))]
}

// spread reorders nodes so that the first of each zone come first.
func spread(nodes []gossiper.Node) []gossiper.Node {
	seen := map[identifier.Zone]int{}
	turns := make(map[identifier.VMID]int, len(nodes))
	for _, n := range nodes {
		turns[n.VM] = seen[n.Zone]
		seen[n.Zone]++
	}
	slices.SortStableFunc(nodes, func(a, b gossiper.Node) int {
		return cmp.Compare(turns[a.VM], turns[b.VM])
	})
	return nodes
}

func live(nodes []gossiper.Node, self identifier.VMID) []gossiper.Node {
	var found []gossiper.Node
	for _, n := range nodes {
		if n.State == gossiper.Alive && n.VM != self {
			found = append(found, n)
		}
	}
	return found
}

func zoneOf(nodes []gossiper.Node, vm identifier.VMID) identifier.Zone {
	for _, n := range nodes {
		if n.VM == vm {
			return n.Zone
		}
	}
	return ""
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// ordered returns nodes by rank, and by falling rendezvous weight within it.
func ordered(key string, nodes []gossiper.Node, rank func(gossiper.Node) int) []gossiper.Node {
	sum := xxhash.Sum64String(key)
	weights := make(map[identifier.VMID]uint64, len(nodes))
	for _, n := range nodes {
		weights[n.VM] = Weight(sum, xxhash.Sum64String(string(n.VM)))
	}
	found := slices.Clone(nodes)
	slices.SortFunc(found, func(a, b gossiper.Node) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(weights[b.VM], weights[a.VM]),
			cmp.Compare(a.VM, b.VM),
		)
	})
	return found
}

// Weight mixes the hashes of a key and of what may be chosen for it: the largest
// weight is the rendezvous choice. The finalizer is that of
// SplitMix64: a plain exclusive or would order nodes alike for near keys.
func Weight(key, node uint64) uint64 {
	x := key ^ node
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
