package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// versionStarts is the time at which the first servers of a new version start beside a node that
// is out of step.
const versionStarts = 8 * timekeeper.Second

// outOfStepNode is the node at which callers take up streams while and after it is out of step.
const outOfStepNode identifier.VMID = "entry-1"

// outOfStep is a node that stands still, or is cut off, while a version starts.
type outOfStep struct {
	kind     string
	from     timekeeper.Duration
	duration timekeeper.Duration
}

var outOfStepKinds = []string{"stands still", "cut from store", "cut from peers", "cut from both"}

func (o outOfStep) begin(n *gatewayNode, until timekeeper.Time) {
	switch o.kind {
	case "stands still":
		n.frozenUntil = until
	case "cut from store":
		n.cutFromStore = true
	case "cut from peers":
		n.cutFromPeers = true
	case "cut from both":
		n.cutFromStore, n.cutFromPeers = true, true
	}
}

// takesUp reports whether callers take up streams at the node at a time.
func (o outOfStep) takesUp(at timekeeper.Duration) bool {
	return at >= o.from && at < o.from+o.duration+2*timekeeper.Second
}

// outOfStepCluster returns a cluster with one version of a service beside which another one starts.
func outOfStepCluster(t testing.TB, seed uint64, nodes int, o outOfStep, named bool) *exchangeCluster {
	cl := newSizedCluster(t, seed, clusterSize{
		nodes:           nodes,
		servers:         6,
		requestInterval: 20,
		tokensPerSecond: 1e6,
		nodesListed:     true,
	})
	cl.resumeStreams(0)
	cl.resumptions.unnamed = !named
	cl.resumptions.takeUpAt = func() *gatewayNode {
		if !o.takesUp(cl.now.Sub(exchangeStart)) {
			return nil
		}
		return cl.nodes[outOfStepNode]
	}
	cl.buffered = true
	cl.at(versionStarts, func() { cl.startVersion(20, 4, "v1.1") })
	cl.at(o.from, func() { o.begin(cl.nodes[outOfStepNode], cl.now.Add(o.duration)) })
	cl.at(o.from+o.duration, func() {
		cl.nodes[outOfStepNode].cutFromStore, cl.nodes[outOfStepNode].cutFromPeers = false, false
	})
	for at := versionStarts; at < o.from+o.duration+3*timekeeper.Second; at += 130 {
		cl.at(at, func() { cl.resetChannels(0.2) })
	}
	return cl
}

// Guards against streams of two versions as a node that is out of step takes the old one for the only one.
func TestNodeOutOfStepMixesNoVersions(t *testing.T) {
	for _, kind := range outOfStepKinds {
		for _, named := range []bool{true, false} {
			for _, nodes := range clusterSizes() {
				t.Run(fmt.Sprintf("%s/named %t/%d nodes", kind, named, nodes), func(t *testing.T) {
					takenUp := 0
					for i, duration := range []timekeeper.Duration{1200, 1900, 2600, 4000, 6000} {
						if i%cellStride != 0 || nodes > 6 && i != 3 {
							continue
						}
						for _, lead := range []timekeeper.Duration{-1000, 300, 1300} {
							o := outOfStep{
								kind:     kind,
								from:     versionStarts + lead,
								duration: duration,
							}
							cl := outOfStepCluster(t, uint64(i), nodes, o, named)
							cl.run()
							require.Zero(t, cl.resumptions.mixed, "%v from %v: %v", duration, lead, cl.violations)
							takenUp += cl.resumptions.takenUp
						}
					}
					require.NotZero(t, takenUp)
				})
			}
		}
	}
}
