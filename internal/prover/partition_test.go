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
	// openChannelTime is the time since a channel's last use for which it stays open.
	openChannelTime = 2 * timekeeper.Second
	// connectTimeout is the time after which a node gives up connecting to a server.
	connectTimeout = 400 * timekeeper.Millisecond
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

// reaches reports whether a node's packets reach a server.
func (cl *exchangeCluster) reaches(node, server identifier.VMID) bool {
	p := &cl.partition
	if !p.nodes[node] {
		return true
	}
	used, open := p.channels[channel{node, server}]
	return p.kind == openChannelsLive && open && cl.now.Sub(used) < openChannelTime
}

// failConnecting simulates an attempt whose server can't be reached, and reports whether
// that is so.
func (cl *exchangeCluster) failConnecting(n *gatewayNode, e messenger.SendExchange) bool {
	p := &cl.partition
	if cl.reaches(n.vm, e.Server) {
		p.channels[channel{n.vm, e.Server}] = cl.now
		return false
	}
	delay := timekeeper.Duration(1)
	if p.kind == channelsHang {
		delay = connectTimeout
	}
	cl.after(delay, func() {
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange:    e.Exchange,
			Attempt:     e.Attempt,
			Server:      e.Server,
			Result:      messenger.AttemptNotSent,
			ServerEnded: p.kind != channelsHang,
		})
	})
	return true
}

// recordReceived counts a request that a node receives while the partition lasts.
func (p *partition) recordReceived(id identifier.ExchangeID, n *gatewayNode, at timekeeper.Duration) {
	if at >= partitionFrom+partitionGrace && at < partitionUntil-timekeeper.Second {
		p.receivers[id] = n.vm
	}
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

// Guards against callers that are served far worse at nodes that can't reach the servers
// while other nodes can.
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
		if test.size.nodes > maxNodes {
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
