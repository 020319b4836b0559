package prover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The users' bounds on a version that is not trusted yet, for the nodes of an
// exchangeWorld.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rolloutLimit  = 14 * timekeeper.Second
	// rolloutOrdered is when a version is ordered, a while after the nodes' start.
	rolloutOrdered = 4 * timekeeper.Second
)

// rollouts is what the platform, servers and operators saw of a roll-out.
type rollouts struct {
	orders []messenger.RolloutOrder
	// kept is what the store has, and claimed the largest fence that it saw.
	kept    map[identifier.ServiceName]messenger.Rollout
	claimed identifier.Fence
	final   messenger.RolloutPhase
	// ended is when the final state was written, and lost tells that it is not in the
	// copy from which the store came back.
	ended timekeeper.Time
	lost  bool
	// history is what the store had at earlier instants.
	history []keptState
	// fails tells that the new version fails every third request.
	fails    bool
	arrivals int
	exposed  int
	spoilt   int
}

// keptState is what the store had of roll-outs at an instant.
type keptState struct {
	at      timekeeper.Time
	kept    map[identifier.ServiceName]messenger.Rollout
	claimed identifier.Fence
}

// orders are the operators' as the store has them now.
func (w *exchangeWorld) orders() []messenger.RolloutOrder {
	out := slices.Clone(w.rollouts.orders)
	for i := range out {
		out[i].Offset = identifier.OffsetAt(w.era, out[i].Offset.Position())
	}
	return out
}

// order gives an order for a version, whose servers start beside the old ones.
func (w *exchangeWorld) order(fails bool) {
	w.rollouts.fails = fails
	w.rollouts.kept = map[identifier.ServiceName]messenger.Rollout{}
	w.rollouts.orders = append(w.rollouts.orders, messenger.RolloutOrder{
		Service:   "reader",
		Offset:    9,
		To:        "v2",
		TimeLimit: rolloutLimit,
	})
	w.after(1500, func() {
		for i := range 6 {
			w.enterVersion(identifier.VMID(fmt.Sprintf("n-%d", i)), messenger.ServerReady, "v2")
		}
	})
}

func isNew(vm identifier.VMID) bool { return strings.HasPrefix(string(vm), "n-") }

// claimRollouts and keepRollout are the store, which takes nothing from earlier holders.
func (w *exchangeWorld) claimRollouts(n *gatewayNode, e messenger.ClaimRollouts) {
	w.after(8+w.lateWrite, func() {
		if w.storeDown || n.offStore || e.Fence < w.rollouts.claimed {
			return
		}
		w.rollouts.claimed = e.Fence
		w.apply(n, messenger.RolloutsClaimed{
			Fence:    e.Fence,
			Rollouts: slices.Collect(maps.Values(w.rollouts.kept)),
			Result:   messenger.LeaderTaskDone,
		})
	})
}

func (w *exchangeWorld) keepRollout(n *gatewayNode, e messenger.StoreRollout) {
	w.after(8+w.lateWrite, func() {
		if w.storeDown || n.offStore || e.Fence < w.rollouts.claimed {
			return
		}
		r := &w.rollouts
		if r.final != "" && r.final != e.Rollout.Phase && !w.forgotten() {
			w.fault("roll-out is %s after %s", e.Rollout.Phase, r.final)
		}
		if e.Rollout.Phase.Final() && r.final == "" {
			r.final = e.Rollout.Phase
			r.ended = w.now
			w.endRollout(e.Rollout.Phase)
		}
		e.Rollout.LeaderAge = -1
		r.kept[e.Rollout.Order.Service] = e.Rollout
		r.history = append(r.history, keptState{
			at:      w.now,
			kept:    maps.Clone(r.kept),
			claimed: r.claimed,
		})
		w.apply(n, messenger.RolloutStored{
			Service: e.Rollout.Order.Service,
			Order:   e.Rollout.Order.Offset,
			Phase:   e.Rollout.Phase,
			Fence:   e.Fence,
			Result:  messenger.LeaderTaskDone,
		})
	})
}

// forgotten reports whether nobody can know any more how the roll-out ended: all nodes died
// since, and the store came back from a copy without it. A node that starts then finds an
// order and no state, as it does for one that was just given.
func (w *exchangeWorld) forgotten() bool {
	for _, n := range w.nodes {
		if !n.began.After(w.rollouts.ended) {
			return false
		}
	}
	return w.rollouts.lost
}

// endRollout is the platform, which stops the old servers at once or lets the new ones
// leave.
func (w *exchangeWorld) endRollout(phase messenger.RolloutPhase) {
	if phase == messenger.RolloutRolledBack {
		w.after(2000, func() {
			for i := range 6 {
				w.enterVersion(identifier.VMID(fmt.Sprintf("n-%d", i)), messenger.ServerLeaving, "v2")
			}
		})
		return
	}
	for i := range 6 {
		w.enter(exchangeServer(i), messenger.ServerRemoved)
		w.ended[exchangeServer(i)] = true
	}
}

// arrives counts a request at a server, and reports whether that fails it.
func (r *rollouts) arrives(vm identifier.VMID) (fails bool) {
	if len(r.orders) == 0 {
		return false
	}
	r.arrivals++
	if !isNew(vm) {
		return false
	}
	r.exposed++
	fails = r.fails && r.exposed%3 == 0
	if fails {
		r.spoilt++
	}
	return fails
}

// check looks at the end of a roll-out.
func (w *exchangeWorld) checkRollout(owed bool) {
	r := &w.rollouts
	if r.fails && float64(r.exposed) > exposureShare*float64(r.arrivals)+exposureSlack {
		w.fault("%d of %d requests at the bad version", r.exposed, r.arrivals)
	}
	if r.fails && r.final == messenger.RolloutCompleted {
		w.fault("the bad version is completed")
	}
	if !r.fails && owed && r.final != messenger.RolloutCompleted {
		w.fault("the good version is %q", r.final)
	}
}

// A version is rolled out, and a fault strikes at any step of it: while it is ordered,
// tried, trusted and moved to. Beside what always holds, operators must read one final
// state, and a bad version must get no more than its part of the requests and never be
// completed. Without a fault a good one is completed.
func TestMatrixOfRollouts(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range []timekeeper.Duration{4100, 6300, 8200, 11500, 14100, 15200} {
				if i%playEvery != 0 {
					continue
				}
				for _, fails := range []bool{true, false} {
					w := newExchangeWorld(t, uint64(i))
					w.at(rolloutOrdered, func() { w.order(fails) })
					w.at(step, func() { fault.strike(w) })
					w.run()
					w.checkRollout(fault.name == "none")
					require.Empty(t, w.faults, "at %d, fails %t, final %q", step, fails, w.rollouts.final)
				}
			}
		})
	}
}

// The checks of roll-outs object to what must not be.
func TestControlsOfRollouts(t *testing.T) {
	w := newExchangeWorld(t, 1)
	w.at(rolloutOrdered, func() { w.order(true) })
	w.at(rolloutOrdered+6*timekeeper.Second, func() {
		for _, n := range w.nodes {
			w.apply(n, messenger.StateUpdateReceived{
				From: "entry-0",
				Update: messenger.StateUpdate{Rollouts: []messenger.Rollout{
					{
						Order: w.rollouts.orders[0],
						Phase: messenger.RolloutCompleted,
					},
				}},
			})
		}
	})
	w.run()
	w.checkRollout(true)
	require.Contains(t, fmt.Sprint(w.faults), "at the bad version")
	require.Contains(t, fmt.Sprint(w.faults), "is completed")
}
