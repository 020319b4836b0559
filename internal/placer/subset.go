package placer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// WatchedServers returns the servers that node self watches and routes to, sorted: all
// servers if there are at most size, otherwise about size of them. Then each server is
// watched by the same number of nodes, so that the load of polling does not grow with
// the number of nodes and no server is left without work.
//
// Callers pass the servers of one pool at a time, so that each pool is covered.
func WatchedServers(self identifier.VMID, nodes []gossiper.Node, servers []identifier.VMID, size int) []identifier.VMID {
	if len(servers) <= size {
		return slices.Sorted(slices.Values(servers))
	}
	others := otherHashes(self, nodes)
	watchers := (size*(len(others)+1) + len(servers) - 1) / len(servers)
	selfHash := xxhash.Sum64String(string(self))
	var watched []identifier.VMID
	for _, s := range servers {
		if watches(xxhash.Sum64String(string(s)), selfHash, others, watchers) {
			watched = append(watched, s)
		}
	}
	slices.Sort(watched)
	return watched
}

// watches reports whether self is among the first n nodes of the server.
func watches(server, self uint64, others []uint64, n int) bool {
	ownWeight := Weight(server, self)
	ahead := 0
	for _, other := range others {
		if Weight(server, other) <= ownWeight {
			continue
		}
		ahead++
		if ahead == n {
			return false
		}
	}
	return true
}

func otherHashes(self identifier.VMID, nodes []gossiper.Node) []uint64 {
	var hashes []uint64
	for _, n := range nodes {
		if n.VM != self && (n.State == gossiper.Alive || n.State == gossiper.Suspect) {
			hashes = append(hashes, xxhash.Sum64String(string(n.VM)))
		}
	}
	return hashes
}
