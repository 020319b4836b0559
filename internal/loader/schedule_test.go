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

func schedule(mix Mix, seed uint64, maxRequests int) []Arrival {
	return Schedule(mix, 100*timekeeper.Second, maxRequests, rand.New(rand.NewPCG(seed, 0)))
}

// The example folders must admit every request of their mixes, otherwise a run
// measures refusals.
func TestMixesFitExampleFolders(t *testing.T) {
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
			require.Len(t, kinds, len(c.Services), "each service has arrivals")
		})
	}
	_, err := NewMix("nobody", nil, Scale{})
	var missing *DeploymentError
	require.ErrorAs(t, err, &missing)
}

func TestScheduleIsDeterministic(t *testing.T) {
	mix := mixOf(t, "quillmark")
	first := schedule(mix, 7, 1000)
	require.Equal(t, first, schedule(mix, 7, 1000))
	require.NotEqual(t, first, schedule(mix, 8, 1000))
	require.Len(t, schedule(mix, 7, 50), 50)
}

// The arrivals of a kind have the requested rate and are Poisson distributed:
// the variance of the counts per second equals their mean.
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
		require.NotEqual(t, common, blocks[a.Kind.AccountBlocks], "the next block is unique")
	}
	require.Positive(t, shared)
	for account, hashes := range prefixes {
		require.Len(t, hashes, 1, account)
	}
}

func TestAtMostOnceCallsAreDuplicated(t *testing.T) {
	duplicates, originals := 0, 0
	for _, a := range schedule(mixOf(t, "cooperative"), 1, 100_000) {
		switch {
		case a.KeyNumber != a.Number:
			require.True(t, a.Kind.AtMostOnce())
			duplicates++
		case a.Kind.AtMostOnce():
			originals++
		}
	}
	require.Equal(t, originals/4, duplicates)
	require.Positive(t, duplicates)
}
