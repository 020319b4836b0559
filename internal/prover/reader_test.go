package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCutShare is the share of the nodes that may be cut off from the store at once.
const maxCutShare = 0.35

// cutReaders cuts the nodes that now wait for a configuration off from the store, up to maxCutShare
// of all.
func (cl *exchangeCluster) cutReaders() {
	left := int(maxCutShare * float64(cl.size.nodes))
	for i := range cl.size.nodes {
		n := cl.nodes[exchangeNode(i)]
		if left > 0 && n.r.Following(cl.now).Configuration {
			n.cutFromStore = true
			left--
		}
	}
}

// Guards against nodes that miss a configuration since those that read it for them are cut off.
func TestConfigurationIsInForceWithoutItsReaders(t *testing.T) {
	sizes := []int{6, 12, 69, 300}
	if cellStride > 1 {
		sizes = sizes[:2]
	}
	for _, nodes := range sizes {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, clusterSize{
				nodes:           nodes,
				servers:         6,
				requestInterval: exchangeInterval,
				tokensPerSecond: 1e6,
				nodesListed:     true,
			})
			cut := exchangeStart
			for round := range 4 {
				at := timekeeper.Duration(7000 + 4100*round)
				cl.at(at, func() {
					cl.cutReaders()
					cut = cl.now
				})
				cl.at(at+200, func() { cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 1) })
				cl.at(at+200+maxRevisionDelay, func() {
					published := cl.catalogs[len(cl.catalogs)-1].Revision
					for _, n := range cl.nodes {
						if n.alive && !n.cutFromStore && n.revision < published {
							cl.violatef("%s has revision %d %d ms after its readers were cut off", n.vm, n.revision, cl.now.Sub(cut))
						}
						n.cutFromStore = false
					}
				})
			}
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}
