package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func blocks(from, to int) []identifier.PrefixHash {
	var hashes []identifier.PrefixHash
	for i := from; i < to; i++ {
		hashes = append(hashes, identifier.PrefixHash(i))
	}
	return hashes
}

func TestHintsDecayAndGaps(t *testing.T) {
	h := NewHints(HintsConfig{})
	h.Observe(testNow, "a", blocks(0, 10), nil, false)
	require.Equal(t, 10*BlockTokens, h.CachedTokens(testNow, "a", blocks(0, 12)))
	require.Zero(t, h.CachedTokens(testNow, "b", blocks(0, 12)))
	later := testNow.Add(DefaultHintHalfLife)
	require.Equal(t, 5*BlockTokens, h.CachedTokens(later, "a", blocks(0, 12)), "half the confidence after a half-life")

	h.Observe(testNow, "a", nil, nil, true)
	require.Equal(t, 5*BlockTokens, h.CachedTokens(testNow, "a", blocks(0, 12)), "a gap halves the confidence")
	h.Observe(testNow, "a", blocks(0, 10), nil, false)
	require.Equal(t, 10*BlockTokens, h.CachedTokens(testNow, "a", blocks(0, 12)), "events after the gap have full confidence")

	h.Observe(testNow, "a", nil, blocks(4, 5), false)
	require.Equal(t, 4*BlockTokens, h.CachedTokens(testNow, "a", blocks(0, 12)), "a prefix ends at its first missing block")
	h.Routed(testNow, "a", blocks(0, 5))
	require.Greater(t, h.CachedTokens(testNow, "a", blocks(0, 12)), 4*BlockTokens)
	h.Forget("a")
	require.Zero(t, h.CachedTokens(testNow, "a", blocks(0, 12)))
	require.Zero(t, h.Len())
}

func TestHintsAreBounded(t *testing.T) {
	h := NewHints(HintsConfig{
		PerServer: 100,
		Total:     150,
	})
	h.Observe(testNow, "a", blocks(0, 500), nil, false)
	require.Equal(t, 100, h.Len())
	h.Routed(testNow, "b", blocks(0, 500))
	require.Equal(t, 150, h.Len())
	require.EqualValues(t, 850, h.Dropped())
	require.Equal(t, BlockTokens, h.CachedTokens(testNow, "a", blocks(499, 500)), "the newest hints are retained")
}
