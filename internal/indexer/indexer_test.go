package indexer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start    timekeeper.Time   = 1_000_000
	capacity identifier.Tokens = 50_000
)

// prompt returns two shared parts with the given hashes, and one that no other prompt
// shares.
func prompt(first, second identifier.PrefixHash) []messenger.PromptPart {
	return []messenger.PromptPart{
		{
			Hash:   first,
			Tokens: 2000,
		},
		{
			Hash:   second,
			Tokens: 10_000,
		},
		{
			Hash:   99,
			Tokens: 700,
		},
	}
}

func TestCachedTokens(t *testing.T) {
	x := indexer.New()
	x.AddSent(start, "i-1", prompt(1, 2), capacity)
	tests := []struct {
		name   string
		server identifier.VMID
		prefix []messenger.PromptPart
		want   identifier.Tokens
	}{
		{
			name:   "all shared parts",
			server: "i-1",
			prefix: prompt(1, 2),
			want:   12_000,
		},
		{
			name:   "first part",
			server: "i-1",
			prefix: prompt(1, 3),
			want:   2000,
		},
		{
			name:   "part without the one before it",
			server: "i-1",
			prefix: prompt(3, 2),
		},
		{
			name:   "another server",
			server: "i-2",
			prefix: prompt(1, 2),
		},
		{
			name:   "request without prompt parts",
			server: "i-1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, x.CachedTokens(test.server, test.prefix))
		})
	}
}

// A server evicts the least recently used parts when its cache is full, and the index
// must do the same.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	x := indexer.New()
	for hash := identifier.PrefixHash(10); hash < 14; hash++ {
		x.AddSent(start, "i-1", prompt(1, hash), capacity)
	}
	x.AddSent(start, "i-1", prompt(1, 10), capacity)
	x.AddSent(start, "i-1", prompt(1, 14), capacity)
	require.Equal(t, identifier.Tokens(12_000), x.CachedTokens("i-1", prompt(1, 10)))
	require.Equal(t, identifier.Tokens(2000), x.CachedTokens("i-1", prompt(1, 11)))
	require.Equal(t, identifier.Tokens(12_000), x.CachedTokens("i-1", prompt(1, 14)))
}

// New parts are reported for at least two updates. A part from a peer is passed on only
// by a relay, or it would circulate forever.
func TestUpdates(t *testing.T) {
	x, peer, relay := indexer.New(), indexer.New(), indexer.New()
	x.AddSent(start, "i-1", prompt(1, 2), capacity)
	require.Len(t, x.Updates(start), 2)
	x.AddSent(start.Add(500), "i-1", prompt(1, 3), capacity)
	require.Len(t, x.Updates(start.Add(1000)), 3)
	require.Len(t, x.Updates(start.Add(1500)), 1)
	for _, p := range x.Updates(start.Add(1500)) {
		for range 2 {
			peer.Merge(start, p, capacity, false)
			relay.Merge(start, p, capacity, true)
		}
	}
	require.Empty(t, peer.Updates(start))
	require.Len(t, relay.Updates(start), 1)
	require.Zero(t, peer.CachedTokens("i-1", prompt(1, 3)), "the first part was not reported again")
	require.Empty(t, x.Updates(start.Add(timekeeper.Minute)))
}

// Parts that a server never read, and those of a removed server, must not attract
// requests.
func TestRemoveAndForget(t *testing.T) {
	x := indexer.New()
	x.AddSent(start, "i-1", prompt(1, 2), capacity)
	x.Remove("i-1", prompt(1, 2))
	require.Zero(t, x.CachedTokens("i-1", prompt(1, 2)))
	x.AddSent(start, "i-1", prompt(1, 2), capacity)
	x.Forget("i-1")
	require.Zero(t, x.CachedTokens("i-1", prompt(1, 2)))
}

// The index must stay bounded whatever a peer reports.
func TestBounded(t *testing.T) {
	x := indexer.New()
	for i := range 20_000 {
		part := messenger.CachedPrefix{
			Server: identifier.VMID(rune('a' + i%3)),
			Part: messenger.PromptPart{
				Hash:   identifier.PrefixHash(i),
				Tokens: 1 << 40,
			},
		}
		x.Merge(start, part, 0, true)
	}
	require.LessOrEqual(t, len(x.Updates(start)), 256)
}

// A joining node that merges a peer's index knows which servers have its callers'
// prompts cached.
func TestAllForJoiningNode(t *testing.T) {
	x, joined := indexer.New(), indexer.New()
	x.AddSent(start, "i-1", prompt(1, 2), capacity)
	x.AddSent(start, "i-2", prompt(1, 3), capacity)
	for _, p := range x.All() {
		joined.Merge(start, p, capacity, false)
	}
	require.Equal(t, identifier.Tokens(12_000), joined.CachedTokens("i-1", prompt(1, 2)))
	require.Equal(t, identifier.Tokens(12_000), joined.CachedTokens("i-2", prompt(1, 3)))
	require.Empty(t, joined.Updates(start))
}
