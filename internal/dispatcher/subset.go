package dispatcher

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Where a service has very many servers a node chooses from some of them, and relays
// tell it of these alone. A sum over all would be 75 KB at 3,000 servers, four times
// a second to each node, and each request would look at all of them.
const (
	// chosenServers is about how many servers of a service a node chooses from. A
	// draw from so many is as good as one from all: a third of them may be busy or
	// leaving, and a zone of six gone.
	chosenServers = 160
	// toldServers is about how many of them a relay tells a node of: more than that
	// chooses from, as the two may know of a few servers more or less. 27 bytes each,
	// four times a second, are 22 KB/s, which a node may spend on control.
	toldServers = 200
)

// subset is the servers of a service that one node chooses from, as a part of their
// hashes: whether a server is in it hangs on no other server.
type subset struct{ node uint64 }

func subsetOf(node identifier.VMID) subset { return subset{node: xxhash.Sum64String(string(node))} }

// has reports whether a server is one of about so many out of all that are chosen.
func (s subset) has(server identifier.VMID, chosen, all int) bool {
	if all <= chosen {
		return true
	}
	weight := placer.Weight(s.node, xxhash.Sum64String(string(server)))
	return float64(weight) < math.MaxUint64*(float64(chosen)/float64(all))
}

// SubsetFilter returns whether a relay tells a node of a server, one of so many of its
// service. It is asked of each server of each node's sum.
func SubsetFilter(node identifier.VMID) func(server identifier.VMID, all int) bool {
	s := subsetOf(node)
	return func(server identifier.VMID, all int) bool { return s.has(server, toldServers, all) }
}
