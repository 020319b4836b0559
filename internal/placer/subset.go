package placer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// WatchedServers returns the servers that node self watches and routes to,
// about k of them, sorted. With up to k servers these are all of them, at every
// node. With more, each server is given to the same number of nodes, so that
// the load of being polled does not grow with the number of nodes and no server
// is left without work.
//
// Give it the servers of one pool at a time, so that each pool is covered.
func WatchedServers(self identifier.VMID, nodes []gossiper.Node, servers []identifier.VMID, k int) []identifier.VMID {
	if len(servers) <= k {
		return slices.Sorted(slices.Values(servers))
	}
	sums := sumsOfOthers(self, nodes)
	watchers := (k*(len(sums)+1) + len(servers) - 1) / len(servers)
	own := xxhash.Sum64String(string(self))
	var watched []identifier.VMID
	for _, s := range servers {
		if watches(xxhash.Sum64String(string(s)), own, sums, watchers) {
			watched = append(watched, s)
		}
	}
	slices.Sort(watched)
	return watched
}

// watches reports whether own is among the first n nodes of the server.
func watches(server, own uint64, others []uint64, n int) bool {
	mine := Weight(server, own)
	ahead := 0
	for _, other := range others {
		if Weight(server, other) <= mine {
			continue
		}
		ahead++
		if ahead == n {
			return false
		}
	}
	return true
}

func sumsOfOthers(self identifier.VMID, nodes []gossiper.Node) []uint64 {
	var sums []uint64
	for _, n := range nodes {
		if n.VM != self && (n.State == gossiper.Alive || n.State == gossiper.Suspect) {
			sums = append(sums, xxhash.Sum64String(string(n.VM)))
		}
	}
	return sums
}
