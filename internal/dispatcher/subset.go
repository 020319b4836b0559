package dispatcher

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// If a service has very many servers, a node chooses from a subset of them, and relays
// report only these to it. A sum over 3,000 servers would be 75 KB, sent to each node
// four times a second, and each request would consider all of them.
const (
	// candidateServers is the approximate size of the subset from which a node chooses.
	// It is large enough for a good choice if a third of the servers are busy or
	// leaving and one zone of six is lost.
	candidateServers = 160
	// reportedServers is the approximate number of servers that a relay reports to a
	// node. It exceeds candidateServers because the node and the relay may disagree on
	// a few servers. At 27 bytes each, four times a second, they take 22 KB/s of the
	// node's control traffic.
	reportedServers = 200
)

// subset selects the servers that one node uses, by hash. Whether it contains a server
// does not depend on the other servers.
type subset struct{ node uint64 }

func subsetOf(node identifier.VMID) subset { return subset{node: xxhash.Sum64String(string(node))} }

// contains reports whether the server is in a subset of about size of total servers.
func (s subset) contains(server identifier.VMID, size, total int) bool {
	if total <= size {
		return true
	}
	weight := placer.Weight(s.node, xxhash.Sum64String(string(server)))
	return float64(weight) < math.MaxUint64*(float64(size)/float64(total))
}

// SubsetFilter returns a function that reports whether relays report a server, one of
// total of its service, to the node.
func SubsetFilter(node identifier.VMID) func(server identifier.VMID, total int) bool {
	s := subsetOf(node)
	return func(server identifier.VMID, total int) bool { return s.contains(server, reportedServers, total) }
}
