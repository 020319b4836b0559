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
	massRestartAt = 9 * timekeeper.Second
	restartDelay  = 150 * timekeeper.Millisecond
	// firstReadDelay is the time after its start at which a node reads the servers.
	firstReadDelay = 25 * timekeeper.Millisecond
)

// restartSize is a size in which restarted nodes know their peers at once.
func restartSize(nodes int, interval timekeeper.Duration) clusterSize {
	return clusterSize{
		nodes:           nodes,
		servers:         6,
		requestInterval: interval,
		tokensPerSecond: 1e6,
		nodesListed:     true,
	}
}

// restartMost kills all nodes but count of those that do not read the servers themselves.
func (cl *exchangeCluster) restartMost(count int) {
	var killed []identifier.VMID
	cl.at(massRestartAt, func() {
		for i := range cl.size.nodes {
			vm := exchangeNode(i)
			if count > 0 && !cl.nodes[vm].r.Following(cl.now).Servers {
				count--
				continue
			}
			killed = append(killed, vm)
			cl.kill(cl.nodes[vm], restartDelay)
		}
	})
	cl.at(massRestartAt+restartDelay+firstReadDelay, func() {
		for _, vm := range killed {
			cl.readServers(cl.nodes[vm])
		}
	})
}

// Guards against nodes that vouch for entries from before their start.
func TestSurvivorsOfRestartLearnThatServersLeave(t *testing.T) {
	// The server leaves before the kill, during it, between the start and the first read,
	// in that read, and just after it.
	leaveTimes := []timekeeper.Duration{-100, 50, 160, 174, 200}
	for _, size := range []clusterSize{
		restartSize(4, 40),
		restartSize(6, 40),
		restartSize(9, 40),
		restartSize(17, 30),
		restartSize(69, 10),
	} {
		if size.nodes > maxRestartNodes {
			continue
		}
		for _, state := range []messenger.ServerState{messenger.ServerLeaving, messenger.ServerRemoved} {
			t.Run(fmt.Sprintf("%d nodes, entry %s", size.nodes, state), func(t *testing.T) {
				for survivors := 1; survivors <= 2; survivors++ {
					for i, leave := range leaveTimes {
						if size.nodes > fewNodes.nodes && (2*i+survivors-1)%cellStride != 0 {
							continue
						}
						cl := newSizedCluster(t, uint64(i), size)
						cl.restartMost(survivors)
						cl.at(massRestartAt+leave, func() { cl.writeEntry(exchangeServer(0), state) })
						cl.run()
						require.Empty(t, cl.violations, "%d survivors, the server leaves at %d", survivors, leave)
					}
				}
			})
		}
	}
}

// Guards against a server that leaves unnoticed when another fault meets a restart of most nodes.
func TestServerLeavesInRestartBesideFaults(t *testing.T) {
	testDuringFaults(t, func(cl *exchangeCluster) {
		cl.size.nodesListed = true
		cl.restartMost(2)
		cl.at(massRestartAt+restartDelay/2, func() { cl.writeEntry(exchangeServer(0), messenger.ServerLeaving) })
	})
}
