package prover

import (
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
	// ends counts the ends of servers, and rejections the requests that were rejected.
	ends       int
	rejections int
}

func newBrittleServers() brittleServers {
	return brittleServers{
		running:  map[identifier.VMID]int{},
		rejected: map[identifier.VMID][]timekeeper.Time{},
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
	if b.running[e.Server] < serverSlots+queue {
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
			require.LessOrEqual(t, cl.brittle.ends, 2+test.size.servers/10)
			require.GreaterOrEqual(t, cl.servedBetween(brittleFrom+stabilityWindow, brittleUntil), test.minServed)
		})
	}
}
