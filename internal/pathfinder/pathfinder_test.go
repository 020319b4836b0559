package pathfinder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

// fakePeers is a cluster in which every second peer is in zone "b".
type fakePeers struct {
	nodes    []gossiper.Node
	isolated map[identifier.VMID]bool
}

func newPeers(n int) *fakePeers {
	p := &fakePeers{isolated: map[identifier.VMID]bool{}}
	for i := range n {
		zone := identifier.Zone("a")
		if i%2 == 1 {
			zone = "b"
		}
		vm := identifier.VMID(fmt.Sprintf("entry-%d", i))
		p.nodes = append(p.nodes, gossiper.Node{
			VM:          vm,
			Zone:        zone,
			PeerAddress: string(vm),
			State:       gossiper.Alive,
		})
	}
	return p
}

func (p *fakePeers) Peers() []gossiper.Node           { return p.nodes }
func (p *fakePeers) Isolated(vm identifier.VMID) bool { return p.isolated[vm] }

func newFinder(p *fakePeers) *pathfinder.Finder {
	return pathfinder.New(pathfinder.Config{
		Zone:  "a",
		Peers: p,
		Rand:  rand.New(rand.NewPCG(1, 2)),
	})
}

// tried returns the result of a direct connection, and of one through each of the first peers.
func tried(server identifier.VMID, direct messenger.ConnectResult, peers ...messenger.ConnectResult) messenger.PathTried {
	e := messenger.PathTried{
		Server: server,
		Direct: direct,
	}
	for i, result := range peers {
		e.Peers = append(e.Peers, messenger.PeerConnect{
			Node:   identifier.VMID(fmt.Sprintf("entry-%d", i)),
			Result: result,
		})
	}
	return e
}

// A server that is down for peers too must not be taken for a partition of this node.
func TestServerThatPeersDoNotReachIsNoPartition(t *testing.T) {
	f := newFinder(newPeers(5))
	for i := range 4 {
		f.Tried(start, tried(identifier.VMID(fmt.Sprintf("i-%d", i)), messenger.ConnectRefused, messenger.ConnectRefused))
	}
	f.Tick(start.Add(timekeeper.Second))
	require.False(t, f.Isolated())
	require.False(t, f.To(start, "i-0", "a").Broken)
}

// Guards against attempts that wait for a direct path that is known to be broken.
func TestPathIsBrokenIfOnlyPeersReachTheServer(t *testing.T) {
	f := newFinder(newPeers(5))
	f.Answered(start, "i-1", start)
	f.Tried(start.Add(1), tried("i-0", messenger.ConnectUnreachable, messenger.Connected))
	require.True(t, f.To(start.Add(2), "i-0", "a").Broken)
	require.False(t, f.To(start.Add(2), "i-1", "a").Broken)
	require.False(t, f.Isolated(), "one server may fail by itself")

	server, ok := f.Probe(start.Add(2), nil)
	require.True(t, ok)
	require.Equal(t, identifier.VMID("i-0"), server)
	_, again := f.Probe(start.Add(3), nil)
	require.False(t, again, "a probe is in flight")
	f.Probed(start.Add(4), messenger.ServerProbed{
		Server: "i-0",
		Result: messenger.Connected,
	})
	require.False(t, f.To(start.Add(5), "i-0", "a").Broken)
}

// A node that hears from other servers must not refuse tunnels to its peers.
func TestNodeThatLacksSomeServersIsNotIsolated(t *testing.T) {
	f := newFinder(newPeers(5))
	f.Answered(start, "i-9", start)
	for i := range 3 {
		f.Tried(start.Add(100), tried(identifier.VMID(fmt.Sprintf("i-%d", i)), messenger.ConnectUnreachable, messenger.Connected))
	}
	f.Tick(start.Add(150))
	require.False(t, f.Isolated())
	f.Tick(start.Add(600))
	require.True(t, f.Isolated(), "no server has answered for longer")
	require.True(t, f.To(start.Add(600), "i-9", "a").Broken)
	f.Answered(start.Add(700), "i-9", start.Add(600))
	require.False(t, f.Isolated())
}

// Requests of a node without any path must be refused, and served again when a probe connects.
func TestNoPathWithoutUsablePeers(t *testing.T) {
	peers := newPeers(3)
	f := newFinder(peers)
	f.Tried(start, tried("i-0", messenger.ConnectUnreachable, messenger.ConnectUnavailable))
	f.Tried(start, tried("i-1", messenger.ConnectUnreachable, messenger.ConnectUnavailable, messenger.ConnectUnavailable))
	require.True(t, f.Isolated())
	later := start.Add(600)
	require.False(t, f.NoPath(later), "the third peer may connect")
	peers.isolated["entry-2"] = true
	require.True(t, f.NoPath(later))
	require.False(t, f.NoPath(start.Add(2*timekeeper.Second)), "peers that declined are asked again")

	ready := func() []identifier.VMID { return []identifier.VMID{"i-5"} }
	server, ok := f.Probe(later, ready)
	require.True(t, ok)
	require.Equal(t, identifier.VMID("i-5"), server, "those that failed may have ended")
	f.Probed(later, messenger.ServerProbed{
		Server: "i-5",
		Result: messenger.Connected,
	})
	require.False(t, f.NoPath(later))
}

// Guards against tunnels through nodes that can't open them.
func TestPeersOfAPath(t *testing.T) {
	peers := newPeers(8)
	peers.nodes[0].State = gossiper.Leaving
	peers.nodes[1].State = gossiper.Suspect
	peers.isolated["entry-2"] = true
	f := newFinder(peers)
	f.Tried(start, tried("i-0", messenger.ConnectUnreachable, messenger.ConnectUnavailable, messenger.ConnectUnavailable,
		messenger.ConnectUnavailable, messenger.ConnectUnavailable, messenger.Connected))
	for range 50 {
		path := f.To(start, "i-0", "a")
		require.True(t, path.Broken)
		require.Len(t, path.Peers, 2)
		for _, p := range path.Peers {
			require.Contains(t, []identifier.VMID{"entry-4", "entry-6"}, p.Node, "usable peers of the zone come first")
		}
	}
	f.Tried(start, messenger.PathTried{
		Server: "i-1",
		Direct: messenger.ConnectUnreachable,
		Peers: []messenger.PeerConnect{
			{
				Node:   "entry-4",
				Result: messenger.ConnectUnreachable,
			},
		},
	})
	for range 50 {
		path := f.To(start, "i-0", "a")
		require.Equal(t, identifier.VMID("entry-6"), path.Peers[0].Node)
		require.NotEqual(t, identifier.VMID("entry-4"), path.Peers[1].Node, "it did not reach a server lately")
	}
}
