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

func probed(server identifier.VMID, result messenger.ConnectResult) messenger.ServerProbed {
	return messenger.ServerProbed{
		Server: server,
		Result: result,
	}
}

// ready returns a function that returns the ready servers.
func ready(servers ...identifier.VMID) func() []identifier.VMID {
	return func() []identifier.VMID { return servers }
}

// A server that is down for peers too must not be taken for a partition of this node.
func TestServerThatPeersDoNotReachIsNoPartition(t *testing.T) {
	f := newFinder(newPeers(5))
	for i := range 4 {
		f.Tried(start, tried(identifier.VMID(fmt.Sprintf("i-%d", i)), messenger.ConnectRefused, messenger.ConnectRefused))
	}
	require.Empty(t, f.Probes(start.Add(timekeeper.Second), ready("i-9")))
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

	require.Equal(t, []identifier.VMID{"i-0"}, f.Probes(start.Add(2), nil))
	require.Empty(t, f.Probes(start.Add(3), nil), "a probe is in flight")
	f.Probed(start.Add(4), probed("i-0", messenger.Connected))
	require.False(t, f.To(start.Add(5), "i-0", "a").Broken)
}

// A node that hears from other servers must not refuse tunnels to its peers.
func TestNodeThatLacksSomeServersIsNotIsolated(t *testing.T) {
	f := newFinder(newPeers(5))
	f.Answered(start, "i-9", start)
	for i := range 3 {
		f.Tried(start.Add(100), tried(identifier.VMID(fmt.Sprintf("i-%d", i)), messenger.ConnectUnreachable, messenger.Connected))
	}
	require.Equal(t, []identifier.VMID{"i-0"}, f.Probes(start.Add(150), ready("i-7", "i-8")), "only its path is broken")
	require.ElementsMatch(t, []identifier.VMID{"i-7", "i-8"}, f.Probes(start.Add(600), ready("i-0", "i-7", "i-8")),
		"no server has answered for longer")
	f.Probed(start.Add(600), probed("i-7", messenger.ConnectUnreachable))
	require.False(t, f.Isolated(), "another probe is in flight")
	f.Probed(start.Add(600), probed("i-8", messenger.ConnectUnreachable))
	require.True(t, f.Isolated())
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
	require.Empty(t, f.Probes(start, ready("i-0", "i-1")), "no other server is left")
	require.True(t, f.Isolated())
	later := start.Add(600)
	require.False(t, f.NoPath(later), "the third peer may connect")
	peers.isolated["entry-2"] = true
	require.True(t, f.NoPath(later))
	require.False(t, f.NoPath(start.Add(2*timekeeper.Second)), "peers that declined are asked again")

	require.Equal(t, []identifier.VMID{"i-5"}, f.Probes(later, ready("i-5")), "those that failed may have ended")
	f.Probed(later, probed("i-5", messenger.Connected))
	require.False(t, f.NoPath(later))
}

// Guards against nodes that take servers that ended together for a partition.
func TestOneProbeThatConnectsEndsTheSuspicion(t *testing.T) {
	f := newFinder(newPeers(5))
	f.Tried(start, tried("i-0", messenger.ConnectRefused))
	f.Tried(start, tried("i-1", messenger.ConnectRefused))
	require.ElementsMatch(t, []identifier.VMID{"i-2", "i-3", "i-4"}, f.Probes(start, ready("i-0", "i-1", "i-2", "i-3", "i-4")))
	f.Probed(start, probed("i-2", messenger.ConnectRefused))
	f.Probed(start, probed("i-3", messenger.Connected))
	f.Probed(start, probed("i-4", messenger.ConnectRefused))
	require.False(t, f.Isolated())
	require.Empty(t, f.Probes(start.Add(timekeeper.Second), ready("i-5")))
}

// Guards against a suspicion that never ends because results of its probes are lost.
func TestSuspicionOutlivesLostProbes(t *testing.T) {
	f := newFinder(newPeers(5))
	f.Tried(start, tried("i-0", messenger.ConnectUnreachable))
	f.Tried(start, tried("i-1", messenger.ConnectUnreachable))
	require.Equal(t, []identifier.VMID{"i-2"}, f.Probes(start, ready("i-2")))
	require.Empty(t, f.Probes(start.Add(timekeeper.Second), ready("i-2")))
	later := start.Add(2 * timekeeper.Second)
	require.Equal(t, []identifier.VMID{"i-2"}, f.Probes(later, ready("i-2")))
	f.Probed(later, probed("i-2", messenger.ConnectUnreachable))
	require.True(t, f.Isolated())
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
