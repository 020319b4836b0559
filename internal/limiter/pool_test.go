package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// accountLoad is the load of one account on a busy pool: the requests per round and the
// penalty of each.
type accountLoad struct {
	account  identifier.AccountID
	perRound int
	penalty  identifier.Money
}

func loadOf(id identifier.AccountID, perRound int, penalty identifier.Money) accountLoad {
	return accountLoad{
		account:  id,
		perRound: perRound,
		penalty:  penalty,
	}
}

// admittedFractions sends the loads for some rounds to a pool without free slots, and
// returns the admitted fraction by account in the second half of the rounds.
func admittedFractions(r Rules, waiting int, loads ...accountLoad) map[identifier.AccountID]float64 {
	l := newLimits(r, testCatalog(10, 1e6, 1e6))
	admitted := make(map[identifier.AccountID]float64)
	const rounds = 400
	for round := range rounds {
		at := testNow.Add(timekeeper.Duration(round) * 50)
		for _, o := range loads {
			for range o.perRound {
				v := l.Admit(at, testRequest(o.account, func(req *Request) {
					req.FreeSlots, req.Waiting = 0, waiting
					req.Target.Penalty = o.penalty
				}))
				if v.OK && round >= rounds/2 {
					admitted[o.account] += 1 / float64(o.perRound*rounds/2)
				}
			}
		}
	}
	return admitted
}

// Under overload, the requests with the lowest penalty are refused first.
func TestOverloadShedsLeastPenaltyFirst(t *testing.T) {
	loads := []accountLoad{
		loadOf("a0", 5, identifier.CurrencyUnit),
		loadOf("a1", 5, 10*identifier.CurrencyUnit),
	}
	rules := AllRules()
	parts := admittedFractions(rules, 30, loads...)
	require.Less(t, parts["a0"], 0.3)
	require.InDelta(t, 1, parts["a1"], 0.01)
	rules.ShedByPenalty = false
	parts = admittedFractions(rules, 30, loads...)
	require.InDelta(t, parts["a0"], parts["a1"], 0.1, "without the rule both are shed in proportion")
}

// A burst of a large account fills the pool. Guards against small accounts that are
// refused for it, although the large account's requests have the higher penalty.
func TestLargeAccountIsShedBeforeOthers(t *testing.T) {
	loads := []accountLoad{
		loadOf("a0", 30, 10*identifier.CurrencyUnit),
		loadOf("a1", 1, identifier.CurrencyUnit),
		loadOf("a2", 1, identifier.CurrencyUnit),
	}
	rules := AllRules()
	parts := admittedFractions(rules, 30, loads...)
	require.InDelta(t, 1, parts["a1"], 0.01)
	require.InDelta(t, 1, parts["a2"], 0.01)
	require.Less(t, parts["a0"], 0.8)
	rules.FairShare = false
	parts = admittedFractions(rules, 30, loads...)
	require.Less(t, parts["a1"], 0.1, "without the rule the small accounts are shed instead")
}

// No mix of batch and standard requests keeps interactive requests out while slots are
// free, and batch requests never get the last slots of the pool.
func TestInteractiveRequestsAreNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimits(AllRules(), testCatalog(3, 1e6, 1e6))
		const slots = 80
		busy, at := 0, testNow
		l.Admit(at, testRequest("a0", nil))
		for range 200 {
			at = at.Add(timekeeper.Duration(rapid.IntRange(0, 100).Draw(t, "pause")))
			priority := catalog.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			v := l.Admit(at, testRequest("a1", func(req *Request) {
				req.Priority, req.FreeSlots = priority, slots-busy
				req.Predicted = 10 * timekeeper.Second
			}))
			if priority == catalog.Interactive && slots-busy > 0.05*slots {
				require.True(t, v.OK)
			}
			if priority == catalog.Batch && slots-busy < minReserve*slots {
				require.False(t, v.OK)
			}
			if v.OK && priority != catalog.Interactive {
				busy = min(busy+1, slots)
			}
		}
		require.Less(t, busy, slots, "a slot is left for interactive requests")
	})
}
