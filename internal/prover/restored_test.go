package prover

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// backupAge is the age of the copy from which the store is restored, and
	// rewriteDelay the time after which servers have rewritten their entries.
	backupAge    = 3 * timekeeper.Second
	rewriteDelay = 1200 * timekeeper.Millisecond
)

// restore restores the store from a copy of age backupAge. Later writes are lost, and
// their positions are reused. Servers then rewrite their entries.
func (cl *exchangeCluster) restore() {
	cl.generation++
	since := cl.now.Add(-backupAge)
	for s, records := range cl.streams {
		cl.streams[s] = slices.DeleteFunc(slices.Clone(records), func(r messenger.Record) bool { return r.Appended.After(since) })
	}
	for len(cl.entryTimes) > 0 && cl.entryTimes[len(cl.entryTimes)-1].After(since) {
		cl.entries = cl.entries[:len(cl.entries)-1]
		cl.entryTimes = cl.entryTimes[:len(cl.entryTimes)-1]
	}
	r := &cl.rollouts
	restored := storedState{stored: map[identifier.ServiceName]messenger.Rollout{}}
	for _, h := range r.history {
		if !h.at.After(since) {
			restored = h
		}
	}
	r.stored = maps.Clone(restored.stored)
	r.maxFence = restored.maxFence
	r.finalLost = r.finalLost || r.final != "" && !restored.stored["reader"].Phase.Final()
	cl.after(rewriteDelay, func() {
		for _, vm := range slices.Sorted(maps.Keys(cl.lastEntries)) {
			if s := cl.lastEntries[vm]; s.State != messenger.ServerRemoved && !cl.ended[vm] {
				cl.rewriteEntry(s)
			}
		}
	})
}

// rewriteEntry writes the last entry of a server again.
func (cl *exchangeCluster) rewriteEntry(s messenger.PublishedServer) {
	if cl.storeDown {
		cl.pendingEntries = append(cl.pendingEntries, func() { cl.rewriteEntry(s) })
		return
	}
	cl.entries = append(cl.entries, cl.lastEntries[s.Server])
	cl.entryTimes = append(cl.entryTimes, cl.now)
}

// applyGeneration reports a restored store to a node that reads from it.
func (cl *exchangeCluster) applyGeneration(n *gatewayNode) {
	if n.generation == cl.generation || cl.generationIgnored {
		return
	}
	n.generation = cl.generation
	clear(n.readOffsets)
	n.entriesRead = 0
	cl.apply(n, messenger.StoreRestored{Generation: cl.generation})
}

// Guards against violations of the guarantees of TestMatrixOfExchanges, and several final states of
// a rollout, when the store is restored from a copy shortly before or after another fault.
func TestMatrixOfRestores(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range []timekeeper.Duration{2300, 4100, 6300, 9001, 12500} {
				if i%cellStride != 0 {
					continue
				}
				for _, offset := range []timekeeper.Duration{-600, 150, 1700} {
					cl := newExchangeCluster(t, uint64(i))
					cl.at(rolloutOrdered, func() { cl.orderRollout(i%2 == 0) })
					cl.at(step, cl.restore)
					cl.at(step+offset, func() { fault.inject(cl) })
					cl.run()
					cl.checkRollout(false)
					require.Empty(t, cl.violations, "at %d, %d", step, offset)
				}
			}
		})
	}
}

// Two restores happen within the duration of a lease.
func TestTwoRestoresWithinALease(t *testing.T) {
	for seed := range uint64(4) {
		cl := newExchangeCluster(t, seed)
		cl.at(5000, cl.restore)
		cl.at(6400, cl.restore)
		cl.at(7000, func() { cl.kill(cl.leader(), 300) })
		cl.run()
		require.Empty(t, cl.violations)
	}
}

// If nodes ignored the store generation, a lease would be granted at a reused log position.
// The checker must detect this.
func TestControlsOfRestores(t *testing.T) {
	allFaults := ""
	for step := timekeeper.Duration(2000); step < 6000; step += 200 {
		cl := newExchangeCluster(t, 1)
		cl.generationIgnored = true
		cl.at(step, func() {
			leader := cl.leader()
			cl.restore()
			cl.generation = 0
			cl.kill(leader, faultTime)
		})
		cl.run()
		allFaults += fmt.Sprint(cl.violations)
	}
	require.Contains(t, allFaults, "used by")
}
