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
	// homeNodes is how many nodes share the callers of one client account.
	// They stand in as many zones as there are, so that the loss of one zone
	// leaves the others.
	homeNodes = 3
	// wholeListNodes is the size of a fleet up to which callers get all nodes:
	// a list that short costs nothing, and with it a caller can reach whatever
	// node is left.
	wholeListNodes = 12
	// shardNodes is how many nodes callers get in a larger fleet. The nodes
	// behind the first homeNodes are for when those are gone.
	shardNodes = 2 * homeNodes
)

// Addresses returns the nodes to use for the callers of an account, best
// first. The service makes no difference, since each node serves all.
func (r *Runner) Addresses(account identifier.AccountID, _ identifier.ServiceName) ([]server.NodeAddress, timekeeper.Duration) {
	var nodes []gossiper.Node
	r.ask(context.Background(), func() {
		nodes = r.config.Reducer.Addresses(r.clock.Now(), account)
	})
	return nodeAddresses(shardOf(nodes, rand.Shuffle)), reducer.AddressMaxAge
}

// shardOf returns the part of an account's nodes, best first, that its callers
// get. All nodes agree on the first homeNodes, so that an account's limits are
// used up at these few. Their order is drawn anew for each list: callers keep
// it for a while, and one order would send all callers of a large account to
// one node.
func shardOf(nodes []gossiper.Node, shuffle func(n int, swap func(i, j int))) []gossiper.Node {
	if len(nodes) > wholeListNodes {
		nodes = nodes[:shardNodes]
	}
	nodes = slices.Clone(nodes)
	homes := nodes[:min(homeNodes, len(nodes))]
	shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
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
