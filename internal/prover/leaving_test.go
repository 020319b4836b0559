package prover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// Servers state in their answers to be leaving from statedLeavingFrom. Their entries
	// say so from entryLeavingFrom.
	statedLeavingFrom = 7 * timekeeper.Second
	entryLeavingFrom  = 17 * timekeeper.Second
)

// leavingServers are the servers that state to be leaving, and the processes that
// received such an answer.
type leavingServers struct {
	stated   map[identifier.VMID]bool
	received map[identifier.VMID]map[process]timekeeper.Time
	// firstReceived is the time at which any process first received such an answer.
	firstReceived map[identifier.VMID]timekeeper.Time
	// bindsAll extends the check to nodes that received no such answer themselves.
	bindsAll bool
	// arrivals counts the requests by server.
	arrivals map[identifier.VMID]int
}

func newLeavingServers() leavingServers {
	return leavingServers{
		stated:        map[identifier.VMID]bool{},
		received:      map[identifier.VMID]map[process]timekeeper.Time{},
		firstReceived: map[identifier.VMID]timekeeper.Time{},
		arrivals:      map[identifier.VMID]int{},
	}
}

func (n *gatewayNode) process() process {
	return process{
		vm:          n.vm,
		incarnation: n.incarnation,
	}
}

// stateLeaving makes a server state to be leaving long before its entry does.
func (cl *exchangeCluster) stateLeaving(server identifier.VMID) {
	cl.at(statedLeavingFrom, func() { cl.leaving.stated[server] = true })
	cl.at(entryLeavingFrom, func() { cl.writeEntry(server, messenger.ServerLeaving) })
}

// leavingArrival records a request that arrives at a server. Once a process has received
// an answer that states that the server is leaving, it must not send it a request that
// came maxLeaveDelay later. A freeze of the process since excuses it.
func (cl *exchangeCluster) leavingArrival(n *gatewayNode, e messenger.SendExchange) {
	l := &cl.leaving
	server := cl.startAt(e.Server)
	l.arrivals[server]++
	requestedAt := cl.requestedAt[e.Exchange]
	receivedAt, received := l.received[server][n.process()]
	if received && requestedAt.Sub(receivedAt) > maxLeaveDelay && !n.frozenUntil.After(receivedAt) {
		cl.violatef("%s sends to %s %d ms after an answer stated that it leaves", n.vm, server, requestedAt.Sub(receivedAt))
	}
	firstReceived, known := l.firstReceived[server]
	if known && l.bindsAll && requestedAt.Sub(firstReceived) > maxLeaveDelay {
		cl.violatef("%s sends to %s %d ms after another node was told that it leaves", n.vm, server, requestedAt.Sub(firstReceived))
	}
}

// reportLeaving reports to a node that a server's answer states that it is leaving. The
// node takes it for one of the start that the request was sent to.
func (cl *exchangeCluster) reportLeaving(n *gatewayNode, sentTo identifier.VMID, sent timekeeper.Time) {
	l := &cl.leaving
	server := cl.startAt(sentTo)
	if !l.stated[server] || !n.alive {
		return
	}
	if l.received[server] == nil {
		l.received[server] = map[process]timekeeper.Time{}
		l.firstReceived[server] = cl.now
	}
	if _, received := l.received[server][n.process()]; !received {
		l.received[server][n.process()] = cl.now
	}
	cl.apply(n, messenger.ServerLeavingReceived{
		Server: sentTo,
		Sent:   sent,
	})
}

// Guards against requests to a server whose leaving is known from its answers only.
func TestServerThatStatesToLeaveGetsNoRequests(t *testing.T) {
	for _, test := range []struct {
		name string
		size clusterSize
	}{
		{
			name: "6 nodes",
			size: fewNodes,
		},
		{
			name: "69 nodes",
			size: manyNodes(69),
		},
		{
			name: "300 nodes",
			size: manyNodes(300),
		},
	} {
		if test.size.nodes > maxNodes {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			cl := newSizedCluster(t, 1, test.size)
			cl.leaving.bindsAll = true
			cl.stateLeaving(exchangeServer(0))
			cl.stateLeaving(exchangeServer(1))
			cl.run()
			require.Empty(t, cl.violations)
			require.Contains(t, cl.leaving.firstReceived, exchangeServer(0))
		})
	}
}

// Faults must not make a node forget what an answer stated of its server.
func TestStatedLeavingHoldsDuringFaults(t *testing.T) {
	testDuringFaults(t, func(cl *exchangeCluster) {
		cl.stateLeaving(exchangeServer(4))
		cl.stateLeaving(exchangeServer(5))
	})
}

// A server that stated to be leaving and starts again under its id must be used again.
func TestNewStartOfServerThatLeftGetsRequests(t *testing.T) {
	cl := newSizedCluster(t, 1, fewNodes)
	first := exchangeServer(0)
	cl.stateLeaving(first)
	restartedAt := statedLeavingFrom + 3*timekeeper.Second
	second := identifier.ServerStart(first.Instance(), identifier.Incarnation(exchangeStart.Add(restartedAt)))
	cl.at(restartedAt, func() { cl.writeEntry(second, messenger.ServerReady) })
	cl.run()
	require.Empty(t, cl.violations)
	require.NotZero(t, cl.leaving.arrivals[second])
}
