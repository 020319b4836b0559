package calibrator_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	testNodes   = 82
	testServers = 60
	// tolerable is the mean error of the logarithms of factors at which predictions are a
	// tenth wrong, and early that which is tolerable after few answers.
	tolerable = 0.1
	early     = 0.15
)

// Nodes that each see a server's rates once in 20 s must know its factor within seconds.
func TestSharedFactorsConverge(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(seed, testNodes, testServers)
			c.run(5 * timekeeper.Second)
			shared, alone := c.meanErrors()
			t.Logf("after 5 s: %.3f shared, %.3f alone", shared, alone)
			require.Less(t, shared, early)
			require.Less(t, shared, alone/2)
			c.run(10 * timekeeper.Second)
			shared, alone = c.meanErrors()
			t.Logf("after 15 s: %.3f shared, %.3f alone", shared, alone)
			require.Less(t, shared, tolerable)
			require.Less(t, shared, alone/3)
		})
	}
}

// Two nodes must mean the same by a factor, whose logarithm is zero on average.
func TestNodesAgreeOnFactors(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	difference := 0.0
	for _, n := range c.nodes {
		sum := 0.0
		for _, s := range c.servers {
			log := math.Log(n.shared.Factor(s.id))
			sum += log / testServers
			difference += math.Abs(log-math.Log(c.nodes[0].shared.Factor(s.id))) / testServers / testNodes
		}
		require.InDelta(t, 0, sum, tolerable/2)
	}
	require.Less(t, difference, tolerable/2)
}

// Guards against a restarted node that sends long prompts to slow servers.
func TestRestartedNodeKnowsFactors(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	c.nodes[0] = newNode(0)
	c.run(1 * timekeeper.Second)
	require.Less(t, c.meanError(c.nodes[0], c.nodes[0].shared), early)
}

// Guards against factors that swing if half of the relays' sums are lost.
func TestLostReports(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.lost = func() bool { return c.rng.IntN(2) == 0 }
	c.run(15 * timekeeper.Second)
	shared, _ := c.meanErrors()
	require.Less(t, shared, tolerable)
}

// Guards against the loss of all factors while no sums arrive for seconds.
func TestSilentRelay(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	c.lost = func() bool { return true }
	c.run(3 * timekeeper.Second)
	shared, _ := c.meanErrors()
	require.Less(t, shared, early)
}

// Guards against wrong factors if sums are 2 s old.
func TestLateReports(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.delay = 2 * timekeeper.Second
	c.run(15 * timekeeper.Second)
	shared, _ := c.meanErrors()
	require.Less(t, shared, tolerable)
}

// Guards against a factor that does not follow a server that is slow for some seconds.
func TestServerTurnsSlow(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	n, s := c.nodes[0], c.server(0.7)
	fast := n.shared.Factor(s.id)
	require.Less(t, fast, 0.9)
	s.factor *= 3
	c.run(3 * timekeeper.Second)
	require.Greater(t, n.shared.Factor(s.id), 1.5*fast)
	c.run(2 * timekeeper.Second)
	require.Greater(t, n.shared.Factor(s.id), 2*fast)
	s.factor /= 3
	c.run(6 * timekeeper.Second)
	require.Less(t, n.shared.Factor(s.id), 1.0)
}

// Guards against evidence that outlives its answers, in reports that are repeated or of a dead peer.
func TestEvidenceDecays(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(5 * timekeeper.Second)
	ids := []identifier.VMID{c.nodes[1].id}
	s := messenger.StateUpdate{Factors: c.nodes[1].calibrator.OwnReport(c.now, nil)}
	c.relay.StoreReport(c.now, ids[0], s)
	once := c.relay.ZoneSum(c.now, ids)
	c.relay.StoreReport(c.now, ids[0], s)
	require.Equal(t, once, c.relay.ZoneSum(c.now, ids))
	c.now = c.now.Add(timekeeper.Minute)
	require.Empty(t, c.relay.ZoneSum(c.now, ids))
	require.Empty(t, c.nodes[1].calibrator.OwnReport(c.now, nil))
	c.nodes[1].factors.Refresh(c.now, c.serverIDs)
	require.InEpsilon(t, 1, c.nodes[1].shared.Factor(c.servers[0].id), 1e-9)
}

// Guards against a peer that reports nonsense and so moves the factors of others.
func TestImplausibleEvidence(t *testing.T) {
	tests := map[string]messenger.FactorEvidence{
		"no number": {
			Weight: math.NaN(),
			Sum:    math.NaN(),
		},
		"sum is no number": {
			Weight: 1,
			Sum:    math.NaN(),
		},
		"infinite": {
			Weight: math.Inf(1),
			Sum:    math.Inf(1),
		},
		"infinite sum": {
			Weight: 1,
			Sum:    math.Inf(-1),
		},
		"negative weight": {
			Weight: -5,
			Sum:    5,
		},
		"absurd weight": {
			Weight: 1e9,
			Sum:    1e9,
		},
		"absurd factor": {
			Weight: 1,
			Sum:    100,
		},
	}
	for name, e := range tests {
		t.Run(name, func(t *testing.T) {
			c, control := newCluster(1, 4, 12), newCluster(1, 4, 12)
			c.run(5 * timekeeper.Second)
			control.run(5 * timekeeper.Second)
			evidence := map[identifier.VMID]messenger.FactorEvidence{}
			for _, s := range c.servers {
				evidence[s.id] = e
			}
			n, m := c.nodes[0], control.nodes[0]
			for _, scope := range []messenger.UpdateScope{messenger.ScopeOwn, messenger.ScopeZone, messenger.ScopeOthers} {
				n.calibrator.StoreReport(c.now, "node-9", messenger.StateUpdate{
					Scope:   scope,
					Zone:    "zone-9",
					Factors: evidence,
				})
			}
			require.Equal(t, 3*len(c.servers), n.calibrator.Status().Invalid)
			sum := n.calibrator.ZoneSum(c.now, []identifier.VMID{"node-9"})
			require.Equal(t, m.calibrator.ZoneSum(c.now, nil), sum)
			require.Equal(t, sum, n.calibrator.AddZones(c.now, "zone-0", sum))
			n.factors.Refresh(c.now, c.serverIDs)
			m.factors.Refresh(c.now, c.serverIDs)
			for _, s := range c.servers {
				require.InEpsilon(t, m.shared.Factor(s.id), n.shared.Factor(s.id), 1e-9)
			}
		})
	}
}

// Guards against a wrong answer that moves a known factor by more than its share.
func TestWrongAnswerMovesLittle(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	n, s := c.nodes[0], c.server(0.7)
	before := n.shared.Factor(s.id)
	n.shared.Observe(s.id, estimator.Work{Uncached: 10_000}, 50*timekeeper.Second)
	c.now = c.now.Add(step)
	c.run(5 * step)
	require.InEpsilon(t, before, n.shared.Factor(s.id), 0.15)
}

// Guards against a server that inherits the factor of its earlier start.
func TestRestartedServerHasNoFactor(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	earlier := identifier.ServerStart("s-1", 1)
	c.servers[0].id = earlier
	c.servers[0].factor = 1.7
	c.run(15 * timekeeper.Second)
	n := c.nodes[0]
	require.Greater(t, n.shared.Factor(earlier), 1.2)
	late := messenger.StateUpdate{
		Factors: map[identifier.VMID]messenger.FactorEvidence{
			earlier: {
				Weight: 5,
				Sum:    5,
			},
		},
	}
	c.servers[0].id = identifier.ServerStart("s-1", 2)
	n.calibrator.Forget(c.now, earlier)
	n.calibrator.StoreReport(c.now, "node-1", late)
	n.factors.Refresh(c.now.Add(timekeeper.Second), c.serverIDs)
	require.InEpsilon(t, 1, n.shared.Factor(c.servers[0].id), 1e-9)
	require.NotContains(t, n.calibrator.ZoneSum(c.now, []identifier.VMID{"node-1"}), earlier)
}

// The status must give the servers with evidence and the spread of their factors.
func TestStatus(t *testing.T) {
	c := newCluster(1, testNodes, testServers)
	c.run(15 * timekeeper.Second)
	status := c.nodes[0].calibrator.Status()
	require.Equal(t, testServers, status.Services[service].Servers)
	require.Less(t, status.Services[service].Lowest, 1.0)
	require.Greater(t, status.Services[service].Highest, 1.0)
	require.Positive(t, status.Reports)
	require.Equal(t, calibrator.Statuses{Services: map[identifier.ServiceName]calibrator.Status{}}, calibrator.New().Status())
}
