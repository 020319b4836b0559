package bencher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Every request that arrives after the warm-up is counted exactly once, and
// runs with equal seeds give equal results.
func TestRunAccountsForEveryRequest(t *testing.T) {
	d := Deployments()[1]
	first := Run(d, Policy(), 1)
	arrived := 0
	for _, r := range newArrivals(d, catalogOf(d), 1).drawAll() {
		if isCounted(r) {
			arrived++
		}
	}
	require.Equal(t, arrived, first.Requests+first.OverLimit)
	answered := 0
	for _, l := range first.Latencies {
		answered += int(l.Completion.TotalCount())
	}
	refusedWithinLimits := first.Requests - answered - first.Expired - first.Failed
	require.GreaterOrEqual(t, refusedWithinLimits, 0)

	again := Run(d, Policy(), 1)
	require.Equal(t, first.Penalties, again.Penalties)
	require.Equal(t, first.VMCost, again.VMCost)
	require.InDelta(t, first.Recomputed, again.Recomputed, 0)
}

func TestVariantNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, v := range Variants() {
		require.False(t, seen[v.Name], v.Name)
		seen[v.Name] = true
	}
	require.Len(t, seen, len(Variants()))
}
