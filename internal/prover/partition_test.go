package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// Some nodes are partitioned from all servers between these times. Callers, peers and
	// the store reach them.
	partitionFrom  = 7 * timekeeper.Second
	partitionUntil = 17 * timekeeper.Second
	// partitionGrace is the time for which the partitioned nodes may fail.
	partitionGrace = 3 * timekeeper.Second
	// Of the requests that partitioned nodes receive, minServedRatio times the share that
	// the others serve must be served, unless no more than maxFailures and one in
	// failuresPerRequest of all requests fail there.
	minServedRatio     = 2.0 / 3
	maxFailures        = 10
	failuresPerRequest = 50
	// partitionRecovery is the time after which requests are sent directly again, and
	// maxRefusalTime that within which what can't be served is refused.
	partitionRecovery = 1500 * timekeeper.Millisecond
	maxRefusalTime    = 50 * timekeeper.Millisecond
	// openChannelTime is the time since a channel's last use for which it stays open.
	openChannelTime = 2 * timekeeper.Second
	// The times after which connecting to a server is given up: directly, directly while
	// peers may connect instead, through a peer, and by the peer.
	connectTimeout    = 400 * timekeeper.Millisecond
	directTimeout     = 150 * timekeeper.Millisecond
	tunnelTimeout     = 250 * timekeeper.Millisecond
	tunnelDialTimeout = 150 * timekeeper.Millisecond
)

// partitionKind is what happens to the channels of partitioned nodes.
type partitionKind string

const (
	channelsHang    partitionKind = "channels hang"
	channelsRefused partitionKind = "channels are refused"
	// openChannelsLive: open channels work and new ones are refused.
	openChannelsLive partitionKind = "open channels live on"
)

// partition cuts nodes off from all servers.
type partition struct {
	kind  partitionKind
	nodes map[identifier.VMID]bool
	// channels holds the last use of the channels between nodes and servers.
	channels map[channel]timekeeper.Time
	// receivers are the nodes that received the counted requests, and served the
	// exchanges that were answered.
	receivers map[identifier.ExchangeID]identifier.VMID
	served    map[identifier.ExchangeID]bool
	// refusedAfter holds the times after which exchanges were refused.
	refusedAfter map[identifier.ExchangeID]timekeeper.Duration
	// tunnels counts the connections through peers, lateTunnels those that were opened
	// partitionRecovery after the partition or later, and failedTunnels by peer those that
	// reached no server.
	tunnels       int
	lateTunnels   int
	failedTunnels map[identifier.VMID]int
	// lost counts the times at which a node took itself for partitioned from all servers.
	lost int
}

type channel struct {
	node   identifier.VMID
	server identifier.VMID
}

func newPartition() partition {
	return partition{
		nodes:     map[identifier.VMID]bool{},
		channels:  map[channel]timekeeper.Time{},
		receivers: map[identifier.ExchangeID]identifier.VMID{},
		served:    map[identifier.ExchangeID]bool{},

		refusedAfter:  map[identifier.ExchangeID]timekeeper.Duration{},
		failedTunnels: map[identifier.VMID]int{},
	}
}

// partitionNodes partitions the first count nodes from all servers.
func (cl *exchangeCluster) partitionNodes(count int, kind partitionKind) {
	cl.at(partitionFrom, func() {
		cl.partition.kind = kind
		for i := range count {
			cl.partition.nodes[exchangeNode(i)] = true
		}
	})
	cl.at(partitionUntil, func() { clear(cl.partition.nodes) })
}

// dial returns the result of a direct connection from a node to a server, and the time that
// it takes.
func (cl *exchangeCluster) dial(node, server identifier.VMID, timeout timekeeper.Duration) (messenger.ConnectResult, timekeeper.Duration) {
	p := &cl.partition
	used, open := p.channels[channel{node, server}]
	live := p.kind == openChannelsLive && open && cl.now.Sub(used) < openChannelTime
	switch {
	case cl.ended[server]:
		return messenger.ConnectRefused, 1
	case !p.nodes[node] || live:
		p.channels[channel{node, server}] = cl.now
		return messenger.Connected, 0
	case p.kind == channelsHang:
		return messenger.ConnectUnreachable, timeout
	}
	return messenger.ConnectRefused, 1
}

// dialThrough returns the result of a connection through a peer, and the time that it takes.
func (cl *exchangeCluster) dialThrough(n *gatewayNode, peer messenger.PathPeer, e messenger.SendExchange) (messenger.ConnectResult, timekeeper.Duration) {
	to := cl.nodes[peer.Node]
	if to == nil || n.cutFromPeers || to.cutFromPeers || cl.now.Before(to.frozenUntil) {
		return messenger.ConnectUnavailable, tunnelTimeout
	}
	if !to.alive {
		return messenger.ConnectUnavailable, 1
	}
	refusal := messenger.TunnelRefusal("")
	for _, effect := range to.r.Apply(messenger.Event{
		At: cl.now,
		Body: messenger.TunnelRequested{
			From:    n.vm,
			Host:    string(n.vm),
			Address: e.Address,
		},
	}) {
		if a, ok := effect.(messenger.AnswerTunnel); ok {
			refusal = a.Answer.Refusal
		}
	}
	if refusal != "" {
		return messenger.ConnectUnavailable, 1
	}
	cl.after(cl.serviceTime, func() { cl.apply(to, messenger.TunnelEnded{}) })
	result, took := cl.dial(to.vm, e.Server, tunnelDialTimeout)
	if to.vm == n.vm {
		cl.violatef("%s connects to %s through itself", n.vm, e.Server)
	}
	p := &cl.partition
	p.tunnels++
	if cl.now.Sub(exchangeStart) > partitionUntil+partitionRecovery {
		p.lateTunnels++
	}
	if result != messenger.Connected {
		p.failedTunnels[to.vm]++
	}
	cl.apply(to, messenger.PathTried{
		Server: e.Server,
		Direct: result,
	})
	return result, took + 1
}

// connect simulates how an attempt connects to its server, directly or through a peer, and
// calls serve with the peer if a connection is opened.
func (cl *exchangeCluster) connect(n *gatewayNode, e messenger.SendExchange, serve func(peer identifier.VMID)) {
	tried := messenger.PathTried{Server: e.Server}
	took := timekeeper.Duration(0)
	direct := func() bool {
		timeout := connectTimeout
		if len(e.Path.Peers) > 0 {
			timeout = directTimeout
		}
		var d timekeeper.Duration
		tried.Direct, d = cl.dial(n.vm, e.Server, timeout)
		took += d
		return tried.Direct == messenger.Connected
	}
	peer := identifier.VMID("")
	through := func() bool {
		for _, p := range e.Path.Peers {
			result, d := cl.dialThrough(n, p, e)
			took += d
			tried.Peers = append(tried.Peers, messenger.PeerConnect{
				Node:   p.Node,
				Result: result,
			})
			if result == messenger.Connected {
				peer = p.Node
				return true
			}
		}
		return false
	}
	onlyPeers := e.Path.Isolated && len(e.Path.Peers) > 0
	connected := e.Path.Broken && through() || !onlyPeers && direct() || !e.Path.Broken && through()
	if connected && took == 0 {
		serve(peer)
		return
	}
	cl.after(took, func() {
		cl.apply(n, tried)
		if connected {
			serve(peer)
			return
		}
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange:    e.Exchange,
			Attempt:     e.Attempt,
			Server:      e.Server,
			Result:      messenger.AttemptNotSent,
			ServerEnded: tried.ServerRefuses(),
			PathFailed:  tried.PathFailed(),
		})
	})
}

// probe simulates a probe of a server.
func (cl *exchangeCluster) probe(n *gatewayNode, e messenger.ProbeServer) {
	result, took := cl.dial(n.vm, e.Server, connectTimeout)
	cl.after(took+1, func() {
		cl.apply(n, messenger.ServerProbed{
			Server: e.Server,
			Result: result,
		})
	})
}

// recordReceived counts a request that a node receives while the partition lasts.
func (p *partition) recordReceived(id identifier.ExchangeID, n *gatewayNode, at timekeeper.Duration) {
	if at >= partitionFrom+partitionGrace && at < partitionUntil-timekeeper.Second {
		p.receivers[id] = n.vm
	}
}

// recordRefused records the time after which an exchange was refused.
func (cl *exchangeCluster) recordRefused(id identifier.ExchangeID) {
	cl.partition.refusedAfter[id] = cl.now.Sub(cl.requestedAt[id])
}

// servedFrom returns the share of the requests that are served of those received from a time
// on, but for the last second.
func (cl *exchangeCluster) servedFrom(from timekeeper.Duration) float64 {
	return cl.servedBetween(from, exchangeRunTime-timekeeper.Second)
}

// servedBetween returns the share of the requests that are served of those received in a time.
func (cl *exchangeCluster) servedBetween(from, until timekeeper.Duration) float64 {
	var c servedCounts
	for id, at := range cl.requestedAt {
		if since := at.Sub(exchangeStart); since < from || since >= until {
			continue
		}
		c.received++
		if cl.partition.served[id] {
			c.served++
		}
	}
	return c.share()
}

// servedCounts counts requests and those that were served.
type servedCounts struct {
	received int
	served   int
}

func (c servedCounts) share() float64 { return float64(c.served) / float64(max(c.received, 1)) }

// counts returns those of the first count nodes and those of the others.
func (p *partition) counts(count int) (cut, others servedCounts) {
	isCut := map[identifier.VMID]bool{}
	for i := range count {
		isCut[exchangeNode(i)] = true
	}
	for id, vm := range p.receivers {
		counts := &others
		if isCut[vm] {
			counts = &cut
		}
		counts.received++
		if p.served[id] {
			counts.served++
		}
	}
	return cut, others
}

// Guards against callers that are served far worse at nodes that can't reach the servers.
func TestNodesPartitionedFromServersServe(t *testing.T) {
	for _, test := range []struct {
		size clusterSize
		cut  int
	}{
		{
			size: fewNodes,
			cut:  2,
		},
		{
			size: fewNodes,
			cut:  5,
		},
		{
			size: manyNodes(69),
			cut:  23,
		},
		{
			size: manyNodes(69),
			cut:  68,
		},
		{
			size: manyNodes(300),
			cut:  100,
		},
	} {
		if test.size.nodes > maxRestartNodes {
			continue
		}
		for _, kind := range []partitionKind{channelsHang, channelsRefused, openChannelsLive} {
			t.Run(fmt.Sprintf("%d of %d nodes, %s", test.cut, test.size.nodes, kind), func(t *testing.T) {
				cl := newSizedCluster(t, 1, test.size)
				cl.partitionNodes(test.cut, kind)
				cl.run()
				cut, others := cl.partition.counts(test.cut)
				require.Greater(t, cut.received, 2*maxFailures)
				failed := cut.received - cut.served
				allowed := maxFailures + (cut.received+others.received)/failuresPerRequest
				if failed > allowed {
					require.GreaterOrEqual(t, cut.share(), minServedRatio*others.share(), "partitioned %+v, others %+v", cut, others)
				}
			})
		}
	}
}
