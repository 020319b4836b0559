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
	// copyAge is how old the copy is from which the store comes back, and writtenAgain
	// when servers have written their entries there again.
	copyAge      = 3 * timekeeper.Second
	writtenAgain = 1200 * timekeeper.Millisecond
)

// restore lets the store come back from a copy some seconds old: what was written since
// is gone, and its places are given out again. Servers write their entries again.
func (w *exchangeWorld) restore() {
	w.era++
	since := w.now.Add(-copyAge)
	for s, records := range w.streams {
		w.streams[s] = slices.DeleteFunc(slices.Clone(records), func(r messenger.Record) bool { return r.Appended.After(since) })
	}
	for len(w.entered) > 0 && w.entered[len(w.entered)-1].After(since) {
		w.entries = w.entries[:len(w.entries)-1]
		w.entered = w.entered[:len(w.entered)-1]
	}
	r := &w.rollouts
	before := keptState{kept: map[identifier.ServiceName]messenger.Rollout{}}
	for _, h := range r.history {
		if !h.at.After(since) {
			before = h
		}
	}
	r.kept = maps.Clone(before.kept)
	r.claimed = before.claimed
	r.lost = r.lost || r.final != "" && !before.kept["reader"].Phase.Final()
	w.after(writtenAgain, func() {
		for _, vm := range slices.Sorted(maps.Keys(w.shown)) {
			if s := w.shown[vm]; s.State != messenger.ServerRemoved && !w.ended[vm] {
				w.enterAgain(s)
			}
		}
	})
}

// enterAgain writes an entry that says nothing new.
func (w *exchangeWorld) enterAgain(s messenger.PublishedServer) {
	if w.storeDown {
		w.waiting = append(w.waiting, func() { w.enterAgain(s) })
		return
	}
	w.entries = append(w.entries, w.shown[s.Server])
	w.entered = append(w.entered, w.now)
}

// noteEra tells a node that reaches the store that it came back.
func (w *exchangeWorld) noteEra(n *gatewayNode) {
	if n.era == w.era || w.eraIgnored {
		return
	}
	n.era = w.era
	clear(n.read)
	n.servers = 0
	w.apply(n, messenger.StoreRestored{Generation: w.era})
}

// The store comes back from a copy at any step, beside each other fault and while a version
// is rolled out. What held must hold on: no fence serves two processes, no window is
// reported twice with different counts, a server that left gets nothing, a configuration
// never goes back, and operators read one final state of a roll-out.
func TestMatrixOfCopies(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range []timekeeper.Duration{2300, 4100, 6300, 9001, 12500} {
				if i%playEvery != 0 {
					continue
				}
				for _, beside := range []timekeeper.Duration{-600, 150, 1700} {
					w := newExchangeWorld(t, uint64(i))
					w.at(rolloutOrdered, func() { w.order(i%2 == 0) })
					w.at(step, w.restore)
					w.at(step+beside, func() { fault.strike(w) })
					w.run()
					w.checkRollout(false)
					require.Empty(t, w.faults, "at %d, %d", step, beside)
				}
			}
		})
	}
}

// Two drills within a lease.
func TestTwoCopiesWithinALease(t *testing.T) {
	for seed := range uint64(4) {
		w := newExchangeWorld(t, seed)
		w.at(5000, w.restore)
		w.at(6400, w.restore)
		w.at(7000, func() { w.kill(w.holder(), 300) })
		w.run()
		require.Empty(t, w.faults)
	}
}

// Were the era ignored, the checks would show it: a lease is granted at a place of the log
// that was given out before.
func TestControlsOfCopies(t *testing.T) {
	found := ""
	for step := timekeeper.Duration(2000); step < 6000; step += 200 {
		w := newExchangeWorld(t, 1)
		w.eraIgnored = true
		w.at(step, func() {
			holder := w.holder()
			w.restore()
			w.era = 0
			w.kill(holder, lasting)
		})
		w.run()
		found += fmt.Sprint(w.faults)
	}
	require.Contains(t, found, "used by")
}
