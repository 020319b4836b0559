package prover

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
)

// namedPairs are the combinations of faults that are tested at every step.
var namedPairs = []string{
	"link cut + zone wave, log out",
	"notice to node + killed after",
	"notice to server + server killed at work",
	"zone wave, log out + frozen after",
	"frozen after + log down",
	"answer lost + link cut in",
	"log lies + killed after",
	"replacement refused + notice to zone",
	"list stale + notice to zone",
	"silent connections + notice to server",
	"crossed + two zones, one after the other",
	"repeated + gossip lost, late, repeated",
}

// pairScenarios are the scenarios that are tested with pairs of faults.
var pairScenarios = []string{
	"long",
	"booking, one key at two nodes",
	"booking repeated later",
	"server of a long one reclaimed",
	"home of a long one reclaimed",
	"zone of home and server reclaimed",
	"planned stop under load",
	"orders and purchases under a lease",
	"two operators change one file",
}

// TestMatrixNamedPairs injects each named pair at every step.
func TestMatrixNamedPairs(t *testing.T) {
	var both []fault
	for _, name := range namedPairs {
		both = append(both, faultNamed(name))
	}
	for _, name := range pairScenarios {
		t.Run(name, func(t *testing.T) {
			s := scenarioNamed(name)
			steps, _ := stepsOf(s, *seedFlag)
			reportPairs(t, runCells(s, steps, both, *seedFlag, conductor.AllSafeguards()))
		})
	}
}

// sampledPairs is the number of random pairs per scenario.
const sampledPairs = 120

// Guards against failures that only two faults together cause, at random steps. In every fourth
// run both are the same fault.
func TestMatrixDrawnPairs(t *testing.T) {
	for _, name := range pairScenarios {
		t.Run(name, func(t *testing.T) {
			s := scenarioNamed(name)
			steps, _ := stepsOf(s, *seedFlag)
			rng := rand.New(rand.NewPCG(*seedFlag, xxhash.Sum64String(name)))
			var runs [][]cell
			for len(runs) < sampledPairs {
				// The loss of two nodes at about the same time may include both the
				// owner and the only copy of a long request.
				if pair := drawPair(rng, steps, len(runs)%4 == 0); survivable(s, pair) {
					runs = append(runs, pair)
				}
			}
			reportPairs(t, runAll(s, runs, *seedFlag, conductor.AllSafeguards()))
		})
	}
}

// survivable reports whether at most one fault of the pair kills a node without
// notice. If the scenario reclaims VMs, freezing counts as killing, because the VM
// is reclaimed before the node resumes.
func survivable(s scenario, pair []cell) bool {
	reclaims := strings.Contains(s.name, "reclaimed")
	for _, c := range pair {
		kills := c.fault.killsNode || reclaims && strings.HasPrefix(c.fault.name, "frozen")
		if !kills {
			return true
		}
	}
	return false
}

func drawPair(rng *rand.Rand, steps []step, same bool) []cell {
	var pair []cell
	for range 2 {
		pair = append(pair, cell{
			step:  steps[rng.IntN(len(steps))],
			fault: faults[rng.IntN(len(faults))],
		})
	}
	if same {
		pair[1].fault = pair[0].fault
	}
	return pair
}

func reportPairs(t *testing.T, outcomes []outcome) {
	t.Helper()
	injected := 0
	for _, o := range outcomes {
		injected += o.faultsInjected
		if *onlyCell != "" && strings.Contains(o.name(), *onlyCell) {
			t.Logf("%s\n%s\n=> %v", o.name(), strings.Join(o.runLog, "\n"), o.violations)
		}
		if len(o.violations) > 0 {
			t.Errorf("seed %d: %s: %s", *seedFlag, o.name(), strings.Join(o.violations, "; "))
		}
	}
	t.Logf("seed %d: %d runs, %d faults struck", *seedFlag, len(outcomes), injected)
}

// TestSameStory runs cells twice and requires identical run logs, since a result
// that depends on map order or on the machine could not be reproduced.
func TestSameStory(t *testing.T) {
	for _, name := range pairScenarios {
		s := scenarioNamed(name)
		steps, _ := stepsOf(s, *seedFlag)
		for i, f := range faults {
			cells := []cell{{
				step:  steps[i%len(steps)],
				fault: f,
			}}
			if i%(4*cellStride) != 0 {
				continue
			}
			first := runCell(s, cells, *seedFlag, conductor.AllSafeguards())
			second := runCell(s, cells, *seedFlag, conductor.AllSafeguards())
			require.Equal(t, first.runLog, second.runLog, first.name())
		}
	}
}

// TestMatrixSeeds runs every eighth cell of the first seven scenarios of
// pairScenarios with other seeds.
func TestMatrixSeeds(t *testing.T) {
	for seed := *seedFlag + 1; seed <= *seedFlag+3; seed++ {
		for _, name := range pairScenarios[:7] {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				s := scenarioNamed(name)
				steps, _ := stepsOf(s, seed)
				var runs [][]cell
				for i := range len(steps) * len(faults) {
					if i%8 == int(seed%8) {
						runs = append(runs, []cell{{
							step:  steps[i/len(faults)],
							fault: faults[i%len(faults)],
						}})
					}
				}
				reportPairs(t, runAll(s, runs, seed, conductor.AllSafeguards()))
			})
		}
	}
}
