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
	// Between these times random nodes are killed and cut off, and random servers leave.
	disorderFrom  = 4 * timekeeper.Second
	disorderUntil = 17 * timekeeper.Second
	// maxDisorderSpacing is the longest time between two of these events, and
	// maxDisorderTime the longest time that one lasts.
	maxDisorderSpacing = 500
	maxDisorderTime    = 1500
	// maxReadTime is the longest time that a read of the store takes, in milliseconds.
	maxReadTime = 900
	// maxTransit is the time that messages take on their way from the reader of the store over
	// relays, which the ages that they state do not include.
	maxTransit = 5 * timekeeper.Millisecond
	// lostMessages is the share of the messages between nodes that are lost.
	lostMessages = 0.1
)

// disorder is what random disturbances include.
type disorder string

const (
	killsOnly    disorder = "kills"
	killsAndCuts disorder = "kills and cuts"
	// lateReads are kills while reads of the store take up to maxReadTime.
	lateReads disorder = "kills and late reads"
)

// deliverRead applies what a node has read of the entries up to a position. With lateReads, that
// takes a while.
func (cl *exchangeCluster) deliverRead(n *gatewayNode, read messenger.ServersPublished, to int) {
	if cl.disorder != lateReads {
		n.entriesRead = to
		cl.apply(n, read)
		return
	}
	n.reading = true
	read.Age = timekeeper.Duration(1 + cl.rng.IntN(maxReadTime))
	cl.after(read.Age, func() {
		n.reading = false
		if n.alive {
			n.entriesRead = to
			cl.apply(n, read)
		}
	})
}

// checkKnown requires that a node which takes its entries for known up to a time has them all.
func (cl *exchangeCluster) checkKnown(n *gatewayNode, e messenger.SendExchange) {
	last, written := cl.lastEntries[e.Server]
	if cl.disorder == "" || !written || last.State == messenger.ServerReady || e.Inputs.ServersAge < 0 {
		return
	}
	if known := cl.now.Add(-e.Inputs.ServersAge); cl.leftAt[e.Server].Before(known.Add(-maxTransit)) {
		cl.violatef("%s sends to %s, whose entry changed %d ms before the time up to which it knows all",
			n.vm, e.Server, known.Sub(cl.leftAt[e.Server]))
	}
}

// disturbAtRandom disturbs nodes, the store and servers until disorderUntil.
func (cl *exchangeCluster) disturbAtRandom() {
	if cl.now.Sub(exchangeStart) >= disorderUntil {
		return
	}
	lasts := timekeeper.Duration(1 + cl.rng.IntN(maxDisorderTime))
	kind := cl.rng.IntN(6)
	if cl.disorder != killsAndCuts && (kind == 2 || kind == 3) {
		kind = 0
	}
	switch kind {
	case 0, 1:
		for _, n := range cl.someNodes(cl.rng.Float64()) {
			cl.kill(n, lasts)
		}
	case 2:
		for _, n := range cl.someNodes(cl.rng.Float64()) {
			n.cutFromPeers = true
			cl.after(lasts, func() { n.cutFromPeers = false })
		}
	case 3:
		for _, n := range cl.someNodes(cl.rng.Float64()) {
			n.cutFromStore = true
			cl.after(lasts, func() { n.cutFromStore = false })
		}
	default:
		cl.replaceServer()
	}
	cl.after(timekeeper.Duration(1+cl.rng.IntN(maxDisorderSpacing)), cl.disturbAtRandom)
}

// someNodes returns a random share of the live nodes, in order.
func (cl *exchangeCluster) someNodes(share float64) []*gatewayNode {
	var nodes []*gatewayNode
	for i := range cl.size.nodes {
		if n := cl.nodes[exchangeNode(i)]; n != nil && n.alive && cl.rng.Float64() < share {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// replaceServer has a random ready server leave or, if no node is cut off, lapse, and another one
// start. After an outage of the store, lapsed servers are kept for a while.
func (cl *exchangeCluster) replaceServer() {
	var ready []identifier.VMID
	for i := range 100 + cl.booted + 1 {
		vm := exchangeServer(i)
		if last, written := cl.lastEntries[vm]; written && last.State == messenger.ServerReady {
			ready = append(ready, vm)
		}
	}
	if len(ready) == 0 {
		return
	}
	state := messenger.ServerLeaving
	if cl.disorder != killsAndCuts && cl.rng.IntN(2) == 0 {
		state = messenger.ServerRemoved
	}
	cl.writeEntry(ready[cl.rng.IntN(len(ready))], state)
	cl.booted++
	cl.writeEntry(exchangeServer(100+cl.booted), messenger.ServerReady)
}

// A node that takes its entries for known up to a time must hold every one written before it.
func TestKnownEntriesAreComplete(t *testing.T) {
	for _, test := range []struct {
		size  clusterSize
		seeds int
	}{
		{
			size:  restartSize(4, 20),
			seeds: 40,
		},
		{
			size:  restartSize(6, 20),
			seeds: 40,
		},
		{
			size:  restartSize(17, 10),
			seeds: 20,
		},
		{
			size:  restartSize(69, 5),
			seeds: 4,
		},
	} {
		if test.size.nodes > maxRestartNodes {
			continue
		}
		for _, kind := range []disorder{killsOnly, killsAndCuts, lateReads} {
			t.Run(fmt.Sprintf("%d nodes, %s", test.size.nodes, kind), func(t *testing.T) {
				for seed := range test.seeds {
					if seed%cellStride != 0 {
						continue
					}
					cl := newSizedCluster(t, uint64(seed), test.size)
					cl.disorder = kind
					cl.at(disorderFrom, cl.disturbAtRandom)
					cl.run()
					for _, v := range cl.violations {
						require.NotContains(t, v, "up to which it knows all", "seed %d", seed)
					}
				}
			})
		}
	}
}
