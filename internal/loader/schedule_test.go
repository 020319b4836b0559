package loader

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func example(t *testing.T, name string) *catalog.Catalog {
	t.Helper()
	files, err := folderreader.ReadDir("../../examples/" + name)
	require.NoError(t, err)
	c, faults := configurer.Check(files)
	require.Empty(t, faults)
	return c
}

func mixOf(t *testing.T, name string) Mix {
	t.Helper()
	mix, err := NewMix(name, example(t, name), Scale{
		Plain:      1,
		Model:      0.2,
		LongAnswer: 0.3,
	})
	require.NoError(t, err)
	return mix
}

func schedule(mix Mix, seed uint64, most int) []Arrival {
	return Schedule(mix, 100*timekeeper.Second, most, rand.New(rand.NewPCG(seed, 0)))
}

// Every request of both mixes must be one that the example folder admits:
// otherwise a run measures refusals.
func TestMixesFitTheExamples(t *testing.T) {
	for _, name := range []string{"quillmark", "cooperative"} {
		t.Run(name, func(t *testing.T) {
			c := example(t, name)
			kinds := make(map[identifier.ServiceName]int)
			for _, a := range schedule(mixOf(t, name), 1, 100_000) {
				s := a.Kind.Service
				kinds[s.Name]++
				require.Contains(t, c.Accounts[a.Account].Targets, s.Name)
				require.LessOrEqual(t, a.Answer, s.MaxTokens)
				require.LessOrEqual(t, identifier.Bytes(len(a.Prompt)), s.MaxBody)
			}
			require.Len(t, kinds, len(c.Services), "each service gets some")
		})
	}
	_, err := NewMix("nobody", nil, Scale{})
	var missing *DeploymentError
	require.ErrorAs(t, err, &missing)
}

func TestScheduleFollowsItsSeed(t *testing.T) {
	mix := mixOf(t, "quillmark")
	first := schedule(mix, 7, 1000)
	require.Equal(t, first, schedule(mix, 7, 1000))
	require.NotEqual(t, first, schedule(mix, 8, 1000))
	require.Len(t, schedule(mix, 7, 50), 50)
}

// The arrivals of a kind have the rate asked for, and the variance of a
// Poisson process: the counts of seconds vary by as much as they are.
func TestScheduleIsPoisson(t *testing.T) {
	const seconds = 100
	counts := make([]float64, seconds)
	last := timekeeper.Duration(0)
	rate := 0.0
	for _, a := range schedule(mixOf(t, "quillmark"), 3, 100_000) {
		require.GreaterOrEqual(t, a.At, last)
		last = a.At
		if a.Kind.Service.Name == "portal_lookup" {
			rate = a.Kind.Rate
			counts[a.At/timekeeper.Second]++
		}
	}
	mean, variance := 0.0, 0.0
	for _, n := range counts {
		mean += n / seconds
	}
	for _, n := range counts {
		variance += (n - mean) * (n - mean) / seconds
	}
	require.InDelta(t, rate, mean, rate*0.1)
	require.InDelta(t, mean, variance, mean*0.5)
}

func TestPromptsShareWholeBlocks(t *testing.T) {
	prefixes := make(map[identifier.AccountID]map[identifier.PrefixHash]bool)
	shared := 0
	for _, a := range schedule(mixOf(t, "quillmark"), 3, 1000) {
		if a.Kind.Service.Name != "query_summary" {
			continue
		}
		if prefixes[a.Account] == nil {
			prefixes[a.Account] = make(map[identifier.PrefixHash]bool)
		}
		blocks := encoder.Prefix(a.Prompt)
		common := blocks[a.Kind.AccountBlocks-1]
		if prefixes[a.Account][common] {
			shared++
		}
		prefixes[a.Account][common] = true
		require.NotEqual(t, common, blocks[a.Kind.AccountBlocks], "the rest is its own")
	}
	require.Positive(t, shared)
	for account, hashes := range prefixes {
		require.Len(t, hashes, 1, account)
	}
}

func TestKeyedCallsAreRepeated(t *testing.T) {
	repeats, keyed := 0, 0
	for _, a := range schedule(mixOf(t, "cooperative"), 1, 100_000) {
		switch {
		case a.Repeats != a.Number:
			require.True(t, a.Kind.Keyed())
			repeats++
		case a.Kind.Keyed():
			keyed++
		}
	}
	require.Equal(t, keyed/4, repeats)
	require.Positive(t, repeats)
}
