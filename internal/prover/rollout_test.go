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

// Parameters of a rollout. The exposure constants bound the requests that reach a
// version under evaluation.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rolloutLimit  = 14 * timekeeper.Second
	// rolloutOrdered is the time at which the rollout is ordered, after all nodes are
	// ready.
	rolloutOrdered = 4 * timekeeper.Second
)

// rollouts holds what the platform, servers and operators observed of a rollout.
type rollouts struct {
	orders []messenger.RolloutOrder
	// stored is the state in the store, and maxFence the largest fence that claimed it.
	stored   map[identifier.ServiceName]messenger.Rollout
	maxFence identifier.Fence
	final    messenger.RolloutPhase
	// finalAt is the time at which the final state was written. finalLost is set if the
	// store was restored from a copy without it.
	finalAt   timekeeper.Time
	finalLost bool
	// history holds the earlier states of the store.
	history []storedState
	// newVersionFails makes the new version fail every third request.
	newVersionFails bool
	arrivals        int
	exposed         int
	failures        int
}

// storedState is the state of the rollouts in the store since a time.
type storedState struct {
	at       timekeeper.Time
	stored   map[identifier.ServiceName]messenger.Rollout
	maxFence identifier.Fence
}

// orders returns the operators' orders with offsets of the current store generation.
func (cl *exchangeCluster) orders() []messenger.RolloutOrder {
	out := slices.Clone(cl.rollouts.orders)
	for i := range out {
		out[i].Offset = identifier.OffsetAt(cl.generation, out[i].Offset.Position())
	}
	return out
}

// orderRollout orders a new version and starts its servers in addition to the old ones.
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

// claimRollouts simulates a claim at the store. As in storeRollout, the store rejects
// fences of earlier leaders.
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
			cl.violatef("roll-out is %s after %s", e.Rollout.Phase, r.final)
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

// finalForgotten reports whether the final state of the rollout is lost, because all nodes
// restarted since and the store was restored from a copy without it. New nodes can't
// distinguish this from a rollout that was just ordered.
func (cl *exchangeCluster) finalForgotten() bool {
	for _, n := range cl.nodes {
		if !n.startedAt.After(cl.rollouts.finalAt) {
			return false
		}
	}
	return cl.rollouts.finalLost
}

// endRollout simulates the platform at the end of a rollout: after a rollback the new
// servers leave, otherwise the old ones are removed immediately.
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

// recordArrival records a request at a server and reports whether the request fails.
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

// checkRollout verifies the final state of a rollout. mustComplete requires that a good
// version is completed.
func (cl *exchangeCluster) checkRollout(mustComplete bool) {
	r := &cl.rollouts
	if r.newVersionFails && float64(r.exposed) > exposureShare*float64(r.arrivals)+exposureSlack {
		cl.violatef("%d of %d requests at the bad version", r.exposed, r.arrivals)
	}
	if r.newVersionFails && r.final == messenger.RolloutCompleted {
		cl.violatef("the bad version is completed")
	}
	if !r.newVersionFails && mustComplete && r.final != messenger.RolloutCompleted {
		cl.violatef("the good version is %q", r.final)
	}
}

// Guards against several final states of a rollout, and bad versions that exceed their exposure
// bound or are completed, when a fault occurs in any phase.
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
					cl.at(step, func() { fault.inject(cl) })
					cl.run()
					cl.checkRollout(fault.name == "none")
					require.Empty(t, cl.violations, "at %d, fails %t, final %q", step, fails, cl.rollouts.final)
				}
			}
		})
	}
}

// The checker must detect violations of the rollout guarantees.
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
