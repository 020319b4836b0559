package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against callers that use up their tries since all return for the same tokens.
func TestStreamsBeyondLimitReturnOneAfterTheOther(t *testing.T) {
	const nextGrant = 100 * timekeeper.Millisecond
	d := New(Config{})
	env := Env{
		Now:   1_000_000,
		Nodes: 2,
		Catalog: &catalog.Catalog{Accounts: map[identifier.AccountID]catalog.Account{
			"agency": {TokensPerSecond: 20_000},
		}},
	}
	x := &exchange{
		account: "agency",
		spec:    messenger.ExchangeSpec{PromptTokens: 5000},
	}
	// This node's half of the rate grants 5,000 tokens each half second.
	for _, want := range []timekeeper.Duration{0, 500, 1000} {
		require.Equal(t, nextGrant+want, d.placeInQueue(env, x, nextGrant))
	}
	for range 20 {
		require.LessOrEqual(t, d.placeInQueue(env, x, nextGrant), nextGrant+maxReturnDelay)
	}
	env.Now = env.Now.Add(maxReturnDelay)
	require.Equal(t, nextGrant, d.placeInQueue(env, x, nextGrant))
}
