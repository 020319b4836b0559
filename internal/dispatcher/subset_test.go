package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Relays must report a bounded number of servers to each node, and each server must be
// reported to several nodes. Sums over 3,000 servers would exceed the nodes' links.
func TestNodesReceiveReportsOfServerSubset(t *testing.T) {
	const (
		nodes   = 300
		servers = 3000
	)
	nodesByServer := map[int]int{}
	for n := range nodes {
		inSubset := dispatcher.SubsetFilter(identifier.VMID(fmt.Sprintf("entry-%d", n)))
		reported := 0
		for s := range servers {
			if inSubset(serverID(s), servers) {
				reported++
				nodesByServer[s]++
			}
		}
		require.InDelta(t, 200, reported, 75)
	}
	require.Len(t, nodesByServer, servers)
	for s, n := range nodesByServer {
		require.Greater(t, n, 3, "server %d", s)
	}
	all := dispatcher.SubsetFilter("entry-0")
	for s := range 200 {
		require.True(t, all(serverID(s), 200), "few servers are all reported")
	}
}

// A node must choose only from the servers that relays report to it. Any other server
// would seem idle and be sent everything.
func TestNodeChoosesFromItsSubset(t *testing.T) {
	const servers = 1000
	n := newNode(servers)
	n.env.Catalog.Accounts = nil
	inSubset := dispatcher.SubsetFilter("entry-1")
	for range 200 {
		sent := n.sendPath(t, "/report/1")
		require.True(t, inSubset(sent.Server, servers), "%s is not in the subset", sent.Server)
		require.InDelta(t, 160, sent.Inputs.Candidates, 60)
	}
}

// If all servers of its subset leave, a node must use one of the others rather than
// refuse.
func TestServersOutsideSubsetAreLastResort(t *testing.T) {
	const servers = 400
	n := newNode(servers)
	inSubset := dispatcher.SubsetFilter("entry-1")
	for s := range servers {
		if inSubset(serverID(s), servers) {
			n.publish(s, messenger.ServerLeaving)
		}
	}
	sent := n.sendPath(t, "/report/1")
	require.False(t, inSubset(sent.Server, servers))
}
