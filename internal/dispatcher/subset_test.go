package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// 300 nodes stand before 3,000 servers. A relay told each node of all of them, 75 KB
// four times a second, which is more than its link has. Told of some 200 each, no
// message grows with the servers, and still each server is known to several nodes.
func TestNodesAreToldOfSomeServers(t *testing.T) {
	const (
		nodes   = 300
		servers = 3000
	)
	known := map[int]int{}
	for n := range nodes {
		tells := dispatcher.SubsetFilter(identifier.VMID(fmt.Sprintf("entry-%d", n)))
		told := 0
		for s := range servers {
			if tells(serverID(s), servers) {
				told++
				known[s]++
			}
		}
		require.InDelta(t, 200, told, 75)
	}
	require.Len(t, known, servers)
	for s, n := range known {
		require.Greater(t, n, 3, "server %d", s)
	}
	all := dispatcher.SubsetFilter("entry-0")
	for s := range 200 {
		require.True(t, all(serverID(s), 200), "where they are few a node hears of all")
	}
}

// A node chooses from the servers that its relays tell it of. One that it is told
// nothing of would look idle, and be sent everything.
func TestNodeChoosesFromWhatItIsToldOf(t *testing.T) {
	const servers = 1000
	n := newNode(servers)
	n.world.Catalog.Accounts = nil
	tells := dispatcher.SubsetFilter("entry-1")
	for range 200 {
		sent := n.sent(t, "/report/1")
		require.True(t, tells(sent.Server, servers), "sent to %s", sent.Server)
		require.InDelta(t, 160, sent.Inputs.Candidates, 60)
	}
}

// All servers that a node chooses from leave at once. It takes one of the others, of
// which it knows no load, before it refuses.
func TestOtherServersBeforeNone(t *testing.T) {
	const servers = 400
	n := newNode(servers)
	tells := dispatcher.SubsetFilter("entry-1")
	for s := range servers {
		if tells(serverID(s), servers) {
			n.publish(s, messenger.ServerLeaving)
		}
	}
	sent := n.sent(t, "/report/1")
	require.False(t, tells(sent.Server, servers))
}
