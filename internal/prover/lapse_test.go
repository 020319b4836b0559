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
	// Entries lapse every lapseInterval from lapseFrom on, and return after lapseDuration.
	lapseFrom     = 8 * timekeeper.Second
	lapseInterval = timekeeper.Second
	lapseDuration = 200 * timekeeper.Millisecond
	lapses        = 6

	// restartedUnseen is the time at which a server starts again, and startPublished the
	// time at which its entry says so.
	restartedUnseen = 8 * timekeeper.Second
	startPublished  = 12 * timekeeper.Second
)

// lapseSizes are the sizes at which what a server states is checked while its entry changes.
var lapseSizes = []clusterSize{fewNodes, manyNodes(69)}

// lapseEntry makes the entry of a server that lives on lapse and return several times.
func (cl *exchangeCluster) lapseEntry(server identifier.VMID) {
	for i := range timekeeper.Duration(lapses) {
		at := lapseFrom + i*lapseInterval
		cl.at(at, func() { cl.writeEntry(server, messenger.ServerRemoved) })
		cl.at(at+lapseDuration, func() {
			cl.writeEntry(server, messenger.ServerReady)
			delete(cl.leftAt, server)
		})
	}
}

// restartUnseen makes a server start again under its id, at its address, long before its
// entry says so, and returns the later start.
func (cl *exchangeCluster) restartUnseen(server identifier.VMID) identifier.VMID {
	later := identifier.ServerStart(server.Instance(), identifier.Incarnation(exchangeStart.Add(restartedUnseen)))
	cl.at(restartedUnseen, func() { cl.unpublished[server.Instance()] = later })
	cl.at(startPublished, func() { cl.writeEntry(later, messenger.ServerReady) })
	return later
}

// startAt returns the start of a server that receives the requests sent to the given one.
func (cl *exchangeCluster) startAt(sentTo identifier.VMID) identifier.VMID {
	if later, ok := cl.unpublished[sentTo.Instance()]; ok {
		return later
	}
	return sentTo
}

// testStatements tests at each of lapseSizes that nothing is violated.
func testStatements(t *testing.T, prepare func(*exchangeCluster)) {
	for i, size := range lapseSizes {
		if i%cellStride != 0 {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, size)
			prepare(cl)
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}

// Guards against a pause that ends early because the server's entry lapsed and returned.
func TestBackoffOutlivesLapsedEntries(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 3 {
			cl.rejectAll(exchangeServer(i), 8*timekeeper.Second)
			cl.lapseEntry(exchangeServer(i))
		}
	})
}

// Guards against a limit that is exceeded because the server's entry lapsed and returned.
func TestLimitOutlivesLapsedEntries(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 3 {
			cl.limit(exchangeServer(i), 1)
			cl.lapseEntry(exchangeServer(i))
		}
		cl.recordExcused()
	})
}

// Guards against requests to a leaving server whose entry lapsed and returned.
func TestStatedLeavingOutlivesLapsedEntries(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 2 {
			cl.stateLeaving(exchangeServer(i))
			cl.lapseEntry(exchangeServer(i))
		}
	})
}

// Guards against a pause that is attributed to an earlier start of the server that asked for it.
func TestBackoffOfUnpublishedStart(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 3 {
			later := cl.restartUnseen(exchangeServer(i))
			cl.at(restartedUnseen, func() { cl.rejections.startRejecting(later, 8*timekeeper.Second) })
		}
	})
}

// Guards against requests to a leaving server whose statement was attributed to an earlier start.
func TestStatedLeavingOfUnpublishedStart(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 2 {
			later := cl.restartUnseen(exchangeServer(i))
			cl.at(restartedUnseen, func() { cl.leaving.stated[later] = true })
		}
	})
}

// Guards against a limit that is exceeded because it was attributed to an earlier start of the server.
func TestLimitOfUnpublishedStart(t *testing.T) {
	testStatements(t, func(cl *exchangeCluster) {
		for i := range 3 {
			later := cl.restartUnseen(exchangeServer(i))
			cl.at(restartedUnseen, func() { cl.limits.startLimiting(later, 1, cl.now) })
		}
		cl.recordExcused()
	})
}
