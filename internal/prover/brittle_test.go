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
	// Servers state to be brittle from brittleFrom to brittleUntil, and from
	// brittleFrom+stabilityWindow on fewer requests may wait at them.
	brittleFrom     = 7 * timekeeper.Second
	brittleUntil    = 18 * timekeeper.Second
	stabilityWindow = 3 * timekeeper.Second
	// A brittle server that rejects more than maxBrittleRejections requests in a second ends
	// for brittleDownTime.
	maxBrittleRejections = 5
	brittleDownTime      = 3 * timekeeper.Second
	// The numbers of requests that may wait at a server.
	usualQueue   = 16
	brittleQueue = 2
)

// brittleServers are servers that end if they have to reject many requests for want of room.
type brittleServers struct {
	enabled  bool
	running  map[identifier.VMID]int
	rejected map[identifier.VMID][]timekeeper.Time
	// slots replaces the number of slots that a server publishes.
	slots map[identifier.VMID]int
	// ends counts the ends of servers, and rejections the requests that were rejected.
	ends       int
	rejections int
	// allocator is the node that was last asked for a slot.
	allocator identifier.VMID
}

func newBrittleServers() brittleServers {
	return brittleServers{
		running:  map[identifier.VMID]int{},
		rejected: map[identifier.VMID][]timekeeper.Time{},
		slots:    map[identifier.VMID]int{},
	}
}

// isBrittle reports whether servers state to be brittle.
func (cl *exchangeCluster) isBrittle() bool {
	at := cl.now.Sub(exchangeStart)
	return cl.brittle.enabled && at >= brittleFrom && at < brittleUntil
}

// endsOnRejections reports whether servers let fewer requests wait, and end if they reject
// many: the stability window after they began to state it.
func (cl *exchangeCluster) endsOnRejections() bool {
	return cl.isBrittle() && cl.now.Sub(exchangeStart) >= brittleFrom+stabilityWindow
}

// lacksRoom simulates the admission of a request at a server, and reports whether the server
// rejects it.
func (cl *exchangeCluster) lacksRoom(n *gatewayNode, e messenger.SendExchange) bool {
	b := &cl.brittle
	if !b.enabled {
		return false
	}
	queue := usualQueue
	if cl.endsOnRejections() {
		queue = brittleQueue
	}
	slots := serverSlots
	if fewer, changed := b.slots[e.Server]; changed {
		slots = fewer
	}
	if b.running[e.Server] < slots+queue {
		b.running[e.Server]++
		return false
	}
	b.rejections++
	sent := cl.now
	cl.after(1, func() {
		cl.stateBrittle(n, e.Server, sent)
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange: e.Exchange,
			Attempt:  e.Attempt,
			Server:   e.Server,
			Result:   messenger.AttemptRefused,
		})
	})
	if cl.endsOnRejections() {
		cl.countRejection(e.Server)
	}
	return true
}

// countRejection ends a server that rejected too many requests within a second.
func (cl *exchangeCluster) countRejection(server identifier.VMID) {
	b := &cl.brittle
	b.rejected[server] = append(b.rejected[server], cl.now)
	if countWithin(b.rejected[server], cl.now.Add(1-timekeeper.Second), timekeeper.Second) <= maxBrittleRejections || cl.ended[server] {
		return
	}
	b.ends++
	cl.ended[server] = true
	cl.after(brittleDownTime, func() { delete(cl.ended, server) })
	for _, f := range cl.attempts[server] {
		if f.ended {
			continue
		}
		f.ended = true
		b.running[server]--
		cl.after(1, func() {
			cl.apply(f.n, messenger.ExchangeAttemptEnded{
				Exchange:    f.e.Exchange,
				Attempt:     f.e.Attempt,
				Server:      f.e.Server,
				Result:      messenger.AttemptBroken,
				ServerEnded: true,
			})
		})
	}
}

// stateBrittle reports to a node whether a server's answer states that it is brittle.
func (cl *exchangeCluster) stateBrittle(n *gatewayNode, server identifier.VMID, sent timekeeper.Time) {
	if !cl.brittle.enabled {
		return
	}
	cl.apply(n, messenger.ServerBrittleReceived{
		Server: server,
		Sent:   sent,
		Brittle: messenger.StatedBrittle{
			Stated:     cl.isBrittle(),
			Rejections: maxBrittleRejections,
		},
	})
}

// requestSlot requests a slot from a peer.
func (cl *exchangeCluster) requestSlot(n *gatewayNode, e messenger.RequestSlot) {
	cl.brittle.allocator = identifier.VMID(e.Address)
	cl.queryPeer(n, peerQuery{
		address: e.Address,
		request: messenger.SlotRequested{Report: e.Report},
		answer: func(effect messenger.Effect) messenger.EventBody {
			a, ok := effect.(messenger.AnswerSlot)
			if !ok {
				return nil
			}
			a.Answer.Exchange = e.Exchange
			return a.Answer
		},
		timeoutEvent: messenger.SlotAnswered{
			Exchange: e.Exchange,
			Unknown:  true,
		},
	})
}

// Guards against nodes that together send brittle servers more than they have room for.
func TestBrittleServersLastOut(t *testing.T) {
	for _, test := range []struct {
		name string
		size clusterSize
		// serviceTime sets the load.
		serviceTime timekeeper.Duration
		// minServed is the share of requests that must be served while servers are brittle.
		minServed float64
	}{
		{
			name:        "6 nodes, within the room",
			size:        fewNodes,
			serviceTime: 1000,
			minServed:   0.97,
		},
		{
			name:        "6 nodes, at the room",
			size:        fewNodes,
			serviceTime: 1440,
		},
		{
			name:        "6 nodes, twice the room",
			size:        fewNodes,
			serviceTime: 2900,
		},
		{
			name:        "69 nodes, within the room",
			size:        manyNodes(69),
			serviceTime: 130,
			minServed:   0.97,
		},
		{
			name:        "69 nodes, at the room",
			size:        manyNodes(69),
			serviceTime: 190,
		},
		{
			name:        "69 nodes, twice the room",
			size:        manyNodes(69),
			serviceTime: 390,
		},
	} {
		if test.size.nodes > maxRestartNodes {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			cl := newSizedCluster(t, 1, test.size)
			cl.serviceTime = test.serviceTime
			cl.brittle.enabled = true
			cl.run()
			t.Logf("%d rejections, %d ends, served %.3f", cl.brittle.rejections, cl.brittle.ends,
				cl.servedBetween(brittleFrom+stabilityWindow, brittleUntil))
			require.LessOrEqual(t, cl.brittle.ends, test.size.maxEnds())
			require.GreaterOrEqual(t, cl.servedBetween(brittleFrom+stabilityWindow, brittleUntil), test.minServed)
		})
	}
}

// maxEnds is the number of times that brittle servers may end.
func (s clusterSize) maxEnds() int { return 2 + s.servers/10 }

// Guards against nodes that learn one by one that a server has less room than it publishes.
func TestBrittleServersWithLessRoomLastOut(t *testing.T) {
	for _, test := range []struct {
		size        clusterSize
		serviceTime timekeeper.Duration
	}{
		{
			size:        fewNodes,
			serviceTime: 1440,
		},
		{
			size:        manyNodes(69),
			serviceTime: 190,
		},
		{
			size:        manyNodes(300),
			serviceTime: 190,
		},
	} {
		if test.size.nodes > maxRestartNodes {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", test.size.nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, test.size)
			cl.serviceTime = test.serviceTime
			cl.brittle.enabled = true
			cl.at(brittleFrom+stabilityWindow, func() {
				for i := range 2 {
					cl.brittle.slots[exchangeServer(i)] = serverSlots / 2
				}
			})
			cl.run()
			t.Logf("%d rejections, %d ends", cl.brittle.rejections, cl.brittle.ends)
			require.LessOrEqual(t, cl.brittle.ends, test.size.maxEnds())
		})
	}
}

// Guards against brittle servers that end because a part of the system fails.
func TestBrittleServersLastOutDuringFaults(t *testing.T) {
	for _, load := range []timekeeper.Duration{1440, 2900} {
		t.Run(fmt.Sprintf("service time %s", load), func(t *testing.T) {
			testDuringFaults(t, func(cl *exchangeCluster) {
				cl.serviceTime = load
				cl.brittle.enabled = true
				cl.checkEnds()
			})
		})
	}
}

// Guards against brittle servers that end when nodes that allocate their slots are killed.
func TestBrittleServersOutliveTheirAllocator(t *testing.T) {
	for _, size := range []clusterSize{fewNodes, manyNodes(69)} {
		if size.nodes > maxRestartNodes {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, size)
			cl.serviceTime = 190
			if size.nodes == fewNodes.nodes {
				cl.serviceTime = 1440
			}
			cl.brittle.enabled = true
			for _, at := range []timekeeper.Duration{11_000, 14_000} {
				cl.at(at, func() {
					require.NotEmpty(t, cl.brittle.allocator)
					cl.kill(cl.nodes[cl.brittle.allocator], 2*timekeeper.Second)
				})
			}
			cl.run()
			t.Logf("%d rejections, %d ends, served %.3f", cl.brittle.rejections, cl.brittle.ends,
				cl.servedBetween(brittleFrom+stabilityWindow, brittleUntil))
			require.LessOrEqual(t, cl.brittle.ends, size.maxEnds())
		})
	}
}

// Guards against brittle servers that end because nodes reach them through peers only.
func TestBrittleServersLastOutDuringPartition(t *testing.T) {
	cl := newSizedCluster(t, 1, fewNodes)
	cl.serviceTime = 1440
	cl.brittle.enabled = true
	cl.partitionNodes(3, channelsHang)
	cl.run()
	require.LessOrEqual(t, cl.brittle.ends, fewNodes.maxEnds())
	require.Empty(t, cl.violations)
}

// checkEnds has more ends of servers than allowed found at the end of the run.
func (cl *exchangeCluster) checkEnds() {
	cl.at(brittleUntil, func() {
		if cl.brittle.ends > cl.size.maxEnds() {
			cl.violatef("brittle servers ended %d times", cl.brittle.ends)
		}
	})
}
