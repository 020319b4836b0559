package runner

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// affinityNodes is the number of nodes that share the callers of one client
	// account. They are spread over as many zones as possible, so that the loss
	// of a zone leaves some.
	affinityNodes = 3
	// fullListNodes is the largest number of nodes at which callers receive all
	// of them. A list that short is cheap and lets callers reach any remaining
	// node.
	fullListNodes = 12
	// shardNodes is the number of nodes that callers receive in a larger
	// deployment. Those after the first affinityNodes are fallbacks.
	shardNodes = 2 * affinityNodes
)

// Addresses returns the nodes for the callers of an account, best first. It
// ignores the service, since each node serves all of them.
func (r *Runner) Addresses(account identifier.AccountID, _ identifier.ServiceName) ([]server.NodeAddress, timekeeper.Duration) {
	var nodes []gossiper.Node
	r.runInLoop(context.Background(), func() {
		nodes = r.config.Reducer.Addresses(r.clock.Now(), account)
	})
	return nodeAddresses(shardOf(nodes, rand.Shuffle)), reducer.AddressMaxAge
}

// shardOf returns the prefix of an account's ranked nodes that its callers
// receive. All nodes agree on the first affinityNodes, so that an account's
// limits are consumed on few nodes. Their order is shuffled for each list:
// callers cache the list, and a fixed order would send all callers of a large
// account to one node.
func shardOf(nodes []gossiper.Node, shuffle func(n int, swap func(i, j int))) []gossiper.Node {
	if len(nodes) > fullListNodes {
		nodes = nodes[:shardNodes]
	}
	nodes = slices.Clone(nodes)
	affinity := nodes[:min(affinityNodes, len(nodes))]
	shuffle(len(affinity), func(i, j int) { affinity[i], affinity[j] = affinity[j], affinity[i] })
	return nodes
}

func nodeAddresses(nodes []gossiper.Node) []server.NodeAddress {
	var out []server.NodeAddress
	for _, n := range nodes {
		out = append(out, server.NodeAddress{
			Node:    n.VM,
			Zone:    n.Zone,
			Address: n.CallerAddress,
		})
	}
	return out
}
