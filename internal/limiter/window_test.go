package limiter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against refusals of an account that uses less than its rate and one burst in a window.
func TestAccountOverItsLimitGetsItsBurstInEachWindow(t *testing.T) {
	for _, account := range []catalog.Account{
		heavyAccount,
		{
			ID:              "board",
			TokensPerSecond: 31_000,
			TokenBurst:      113_000,
		},
	} {
		for _, request := range []identifier.Tokens{600, 6_000, 20_000} {
			g := grantSimulationOf(defaultNodes, account, request, judgedWindow)
			g.run(40*timekeeper.Second, 0, true)
			limit := account.TokensPerSecond*judgedWindow.Seconds() + account.TokenBurst
			ticks := int(judgedWindow / tickTime)
			for from := 2 * ticks; from+ticks <= len(g.grantedByTick); from += ticks {
				sum := 0.0
				for _, n := range g.grantedByTick[from : from+ticks] {
					sum += n
				}
				// Requests are granted whole, so that up to one of them may be missing.
				require.GreaterOrEqual(t, sum+float64(request), 0.9*limit, "requests of %d tokens", request)
			}
			require.LessOrEqual(t, g.maxGranted(), g.tolerated(), "requests of %d tokens", request)
		}
	}
}

// Guards against refused lookups once long prompts have used up the window.
func TestLightRequestsAreGrantedWhenTheWindowIsUsedUp(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 22_000,
		TokenBurst:      86_000,
	}
	central := limiter.NewCentral(limiter.CentralConfig{Window: judgedWindow})
	central.SetReachable(1, 1)
	for now := startTime; now.Before(startTime.Add(timekeeper.Minute)); now = now.Add(500) {
		central.Take(now, account, 44_000)
		_, ok := central.Take(now, account, 200)
		require.True(t, ok, "after %s", now.Sub(startTime))
	}
}

// Guards against a retry time at which the request is refused again.
func TestRetryTimeOfAUsedUpWindow(t *testing.T) {
	central := limiter.NewCentral(limiter.CentralConfig{Window: judgedWindow})
	central.SetReachable(1, 1)
	refused := 0
	for now := startTime; now.Before(startTime.Add(timekeeper.Minute)); now = now.Add(100) {
		after, ok := central.Take(now, heavyAccount, 40_000)
		if ok {
			continue
		}
		refused++
		now = now.Add(after)
		_, ok = central.Take(now, heavyAccount, 40_000)
		require.True(t, ok, "after %s", now.Sub(startTime))
	}
	require.Positive(t, refused)
}
