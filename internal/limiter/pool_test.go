package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// offered is the work of one account in a trial of a busy pool: requests in
// each round, and the penalty of one.
type offered struct {
	account identifier.AccountID
	each    int
	penalty identifier.Money
}

func offer(id identifier.AccountID, each int, penalty identifier.Money) offered {
	return offered{
		account: id,
		each:    each,
		penalty: penalty,
	}
}

// admittedParts offers the work for some rounds to a pool with no free slot
// and returns the part of each account's that is admitted in the second half.
func admittedParts(r Rules, waiting int, work ...offered) map[identifier.AccountID]float64 {
	l := newLimits(r, testCatalog(10, 1e6, 1e6))
	admitted := make(map[identifier.AccountID]float64)
	const rounds = 400
	for round := range rounds {
		at := testNow.Add(timekeeper.Duration(round) * 50)
		for _, o := range work {
			for range o.each {
				v := l.Admit(at, ask(o.account, func(a *Request) {
					a.FreeSlots, a.Waiting = 0, waiting
					a.Target.Penalty = o.penalty
				}))
				if v.OK && round >= rounds/2 {
					admitted[o.account] += 1 / float64(o.each*rounds/2)
				}
			}
		}
	}
	return admitted
}

// Under overload the operator pays least when the requests with the smallest
// penalty are refused.
func TestOverloadShedsLeastPenaltyFirst(t *testing.T) {
	work := []offered{
		offer("a0", 5, identifier.Coin),
		offer("a1", 5, 10*identifier.Coin),
	}
	rules := AllRules()
	parts := admittedParts(rules, 30, work...)
	require.Less(t, parts["a0"], 0.3)
	require.InDelta(t, 1, parts["a1"], 0.01)
	rules.ShedByPenalty = false
	parts = admittedParts(rules, 30, work...)
	require.InDelta(t, parts["a0"], parts["a1"], 0.1, "without the rule both lose alike")
}

// The small accounts see their requests served on time while a large one,
// which even pays more for each, has a flash crowd that fills the pool.
func TestFlashCrowdIsShedBeforeOthers(t *testing.T) {
	work := []offered{
		offer("a0", 30, 10*identifier.Coin),
		offer("a1", 1, identifier.Coin),
		offer("a2", 1, identifier.Coin),
	}
	rules := AllRules()
	parts := admittedParts(rules, 30, work...)
	require.InDelta(t, 1, parts["a1"], 0.01)
	require.InDelta(t, 1, parts["a2"], 0.01)
	require.Less(t, parts["a0"], 0.8)
	rules.FairShare = false
	parts = admittedParts(rules, 30, work...)
	require.Less(t, parts["a1"], 0.1, "without the rule the small ones are shed for the crowd")
}

// No mix of batch and standard work keeps interactive requests out while
// slots are free, and the pool's last slots never go to batch work.
func TestInteractiveWorkIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimits(AllRules(), testCatalog(3, 1e6, 1e6))
		const slots = 80
		busy, at := 0, testNow
		l.Admit(at, ask("a0", nil))
		for range 200 {
			at = at.Add(timekeeper.Duration(rapid.IntRange(0, 100).Draw(t, "pause")))
			priority := catalog.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			v := l.Admit(at, ask("a1", func(a *Request) {
				a.Priority, a.FreeSlots = priority, slots-busy
				a.Predicted = 10 * timekeeper.Second
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
		require.Less(t, busy, slots, "a slot is left for interactive work")
	})
}
