// Package placer chooses nodes for a purpose by rendezvous hashing: the holders of a
// request's copy, the successors of a leaving node, the nodes to query for a request,
// the servers that a node watches.
//
// All nodes with the same view of the membership choose the same nodes without
// communication. If two views differ by one node, only the choices of that node differ.
// The functions are pure.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Holders returns the nodes that may hold the copy of a request that node self
// accepted, best first: live nodes in other zones, then live nodes in the zone of self.
func Holders(r identifier.RequestID, nodes []gossiper.Node, self identifier.VMID) []gossiper.Node {
	selfZone := zoneOf(nodes, self)
	return sortByWeight(string(r), alive(nodes, self), func(n gossiper.Node) int {
		return rank(n.Zone == selfZone)
	})
}

// Successors returns the nodes that may take over a request of the leaving node self,
// best first. Nodes in a zone that is listed in avoid or has another leaving node come
// last: a reclaim often affects a whole zone, and such a successor might soon have to
// hand the request over again.
func Successors(r identifier.RequestID, nodes []gossiper.Node, self identifier.VMID, avoid map[identifier.Zone]bool) []gossiper.Node {
	leaving := map[identifier.Zone]bool{}
	for _, n := range nodes {
		if n.State == gossiper.Leaving {
			leaving[n.Zone] = true
		}
	}
	return sortByWeight(string(r), alive(nodes, self), func(n gossiper.Node) int {
		return rank(avoid[n.Zone] || leaving[n.Zone])
	})
}

// Candidates returns the nodes to query for a request, best first: the best node of
// each zone, then the second of each, and so on. The holder is the best node outside
// the entry node's zone, so that with an agreed membership it is one of the first two,
// whichever zone the entry node was in.
func Candidates(r identifier.RequestID, nodes []gossiper.Node) []gossiper.Node {
	return interleaveZones(sortByWeight(string(r), nodes, func(gossiper.Node) int { return 0 }))
}

// Shard returns the size nodes that serve a client account, spread over the zones. Only
// these nodes share the account's limits.
func Shard(a identifier.AccountID, nodes []gossiper.Node, size int) []gossiper.Node {
	all := interleaveZones(sortByWeight(string(a), alive(nodes, ""), func(gossiper.Node) int { return 0 }))
	return all[:min(size, len(all))]
}

// interleaveZones reorders nodes in place: the first node of each zone, then the second
// of each, and so on.
func interleaveZones(nodes []gossiper.Node) []gossiper.Node {
	zoneCounts := map[identifier.Zone]int{}
	indexInZone := make(map[identifier.VMID]int, len(nodes))
	for _, n := range nodes {
		indexInZone[n.VM] = zoneCounts[n.Zone]
		zoneCounts[n.Zone]++
	}
	slices.SortStableFunc(nodes, func(a, b gossiper.Node) int {
		return cmp.Compare(indexInZone[a.VM], indexInZone[b.VM])
	})
	return nodes
}

func alive(nodes []gossiper.Node, self identifier.VMID) []gossiper.Node {
	var out []gossiper.Node
	for _, n := range nodes {
		if n.State == gossiper.Alive && n.VM != self {
			out = append(out, n)
		}
	}
	return out
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

// sortByWeight returns nodes sorted by rank, then by descending rendezvous weight.
func sortByWeight(key string, nodes []gossiper.Node, rank func(gossiper.Node) int) []gossiper.Node {
	keyHash := xxhash.Sum64String(key)
	weights := make(map[identifier.VMID]uint64, len(nodes))
	for _, n := range nodes {
		weights[n.VM] = Weight(keyHash, xxhash.Sum64String(string(n.VM)))
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b gossiper.Node) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(weights[b.VM], weights[a.VM]),
			cmp.Compare(a.VM, b.VM),
		)
	})
	return sorted
}

// Fraction maps a text to [0, 1). The same text always has the same value.
func Fraction(text string) float64 {
	const bits = 53 // the precision of a float64
	return float64(xxhash.Sum64String(text)>>(64-bits)) / (1 << bits)
}

// Weight returns the rendezvous weight for the hashes of a key and of a node; the node
// with the largest weight is chosen. It applies the finalizer of SplitMix64, because a
// plain exclusive or would order the nodes in the same way for similar keys.
func Weight(key, node uint64) uint64 {
	x := key ^ node
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
