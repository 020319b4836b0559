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
	stored   map[identifier.ServiceName]messenger.Rollout
	maxFence identifier.Fence
	final    messenger.RolloutPhase
	// ended is when the final state was written, and lost tells that it is not in the
	// copy from which the store came back.
	finalAt   timekeeper.Time
	finalLost bool
	// history is what the store had at earlier instants.
	history []storedState
	// fails tells that the new version fails every third request.
	newVersionFails bool
	arrivals        int
	exposed         int
	failures        int
}

// keptState is what the store had of roll-outs at an instant.
type storedState struct {
	at       timekeeper.Time
	stored   map[identifier.ServiceName]messenger.Rollout
	maxFence identifier.Fence
}

// orders are the operators' as the store has them now.
func (cl *exchangeCluster) orders() []messenger.RolloutOrder {
	out := slices.Clone(cl.rollouts.orders)
	for i := range out {
		out[i].Offset = identifier.OffsetAt(cl.generation, out[i].Offset.Position())
	}
	return out
}

// order gives an order for a version, whose servers start beside the old ones.
func (cl *exchangeCluster) orderRollout(fails bool) {
	cl.rollouts.newVersionFails = fails
	cl.rollouts.stored = map[identifier.ServiceName]messenger.Rollout{}
	cl.rollouts.orders = append(cl.rollouts.orders, messenger.RolloutOrder{
		Service:   "reader",
		Offset:    9,
		To:        "v2",
		TimeLimit: rolloutLimit,
	})
	cl.after(1500, func() {
		for i := range 6 {
			cl.writeVersionEntry(identifier.VMID(fmt.Sprintf("n-%d", i)), messenger.ServerReady, "v2")
		}
	})
}

func hasNewVersion(vm identifier.VMID) bool { return strings.HasPrefix(string(vm), "n-") }

// claimRollouts and keepRollout are the store, which takes nothing from earlier holders.
func (cl *exchangeCluster) claimRollouts(n *gatewayNode, e messenger.ClaimRollouts) {
	cl.after(8+cl.appendDelay, func() {
		if cl.storeDown || n.cutFromStore || e.Fence < cl.rollouts.maxFence {
			return
		}
		cl.rollouts.maxFence = e.Fence
		cl.apply(n, messenger.RolloutsClaimed{
			Fence:    e.Fence,
			Rollouts: slices.Collect(maps.Values(cl.rollouts.stored)),
			Result:   messenger.LeaderTaskDone,
		})
	})
}

func (cl *exchangeCluster) storeRollout(n *gatewayNode, e messenger.StoreRollout) {
	cl.after(8+cl.appendDelay, func() {
		if cl.storeDown || n.cutFromStore || e.Fence < cl.rollouts.maxFence {
			return
		}
		r := &cl.rollouts
		if r.final != "" && r.final != e.Rollout.Phase && !cl.finalForgotten() {
			cl.violate("roll-out is %s after %s", e.Rollout.Phase, r.final)
		}
		if e.Rollout.Phase.Final() && r.final == "" {
			r.final = e.Rollout.Phase
			r.finalAt = cl.now
			cl.endRollout(e.Rollout.Phase)
		}
		e.Rollout.LeaderAge = -1
		r.stored[e.Rollout.Order.Service] = e.Rollout
		r.history = append(r.history, storedState{
			at:       cl.now,
			stored:   maps.Clone(r.stored),
			maxFence: r.maxFence,
		})
		cl.apply(n, messenger.RolloutStored{
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
func (cl *exchangeCluster) finalForgotten() bool {
	for _, n := range cl.nodes {
		if !n.startedAt.After(cl.rollouts.finalAt) {
			return false
		}
	}
	return cl.rollouts.finalLost
}

// endRollout is the platform, which stops the old servers at once or lets the new ones
// leave.
func (cl *exchangeCluster) endRollout(phase messenger.RolloutPhase) {
	if phase == messenger.RolloutRolledBack {
		cl.after(2000, func() {
			for i := range 6 {
				cl.writeVersionEntry(identifier.VMID(fmt.Sprintf("n-%d", i)), messenger.ServerLeaving, "v2")
			}
		})
		return
	}
	for i := range 6 {
		cl.writeEntry(exchangeServer(i), messenger.ServerRemoved)
		cl.ended[exchangeServer(i)] = true
	}
}

// arrives counts a request at a server, and reports whether that fails it.
func (r *rollouts) recordArrival(vm identifier.VMID) (fails bool) {
	if len(r.orders) == 0 {
		return false
	}
	r.arrivals++
	if !hasNewVersion(vm) {
		return false
	}
	r.exposed++
	fails = r.newVersionFails && r.exposed%3 == 0
	if fails {
		r.failures++
	}
	return fails
}

// check looks at the end of a roll-out.
func (cl *exchangeCluster) checkRollout(mustComplete bool) {
	r := &cl.rollouts
	if r.newVersionFails && float64(r.exposed) > exposureShare*float64(r.arrivals)+exposureSlack {
		cl.violate("%d of %d requests at the bad version", r.exposed, r.arrivals)
	}
	if r.newVersionFails && r.final == messenger.RolloutCompleted {
		cl.violate("the bad version is completed")
	}
	if !r.newVersionFails && mustComplete && r.final != messenger.RolloutCompleted {
		cl.violate("the good version is %q", r.final)
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
				if i%cellStride != 0 {
					continue
				}
				for _, fails := range []bool{true, false} {
					cl := newExchangeCluster(t, uint64(i))
					cl.at(rolloutOrdered, func() { cl.orderRollout(fails) })
					cl.at(step, func() { fault.strike(cl) })
					cl.run()
					cl.checkRollout(fault.name == "none")
					require.Empty(t, cl.violations, "at %d, fails %t, final %q", step, fails, cl.rollouts.final)
				}
			}
		})
	}
}

// The checks of roll-outs object to what must not be.
func TestControlsOfRollouts(t *testing.T) {
	cl := newExchangeCluster(t, 1)
	cl.at(rolloutOrdered, func() { cl.orderRollout(true) })
	cl.at(rolloutOrdered+6*timekeeper.Second, func() {
		for _, n := range cl.nodes {
			cl.apply(n, messenger.StateUpdateReceived{
				From: "entry-0",
				Update: messenger.StateUpdate{Rollouts: []messenger.Rollout{
					{
						Order: cl.rollouts.orders[0],
						Phase: messenger.RolloutCompleted,
					},
				}},
			})
		}
	})
	cl.run()
	cl.checkRollout(true)
	require.Contains(t, fmt.Sprint(cl.violations), "at the bad version")
	require.Contains(t, fmt.Sprint(cl.violations), "is completed")
}
