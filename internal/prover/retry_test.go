package prover

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The required bound on repeated attempts. In any repeatSpan at most repeatSlack plus
// repeatShare times the number of requests may arrive at servers again. The number of
// requests is the maximum over that span, the preceding span, and the span that starts
// half a span earlier.
const (
	repeatSpan  = 10 * timekeeper.Second
	repeatShare = 0.2
	// repeatSlack is 40 plus two per node.
	repeatSlack = 40 + 2*exchangeNodeCount
)

// repeats holds the times of requests and of the repeated attempts for them.
type repeats struct {
	requests []timekeeper.Time
	repeated []timekeeper.Time
}

// excess returns the maximum over all spans of the number of repeats minus the bound.
func (r repeats) excess() float64 {
	worst := -1e9
	for _, from := range r.repeated {
		allowed := repeatSlack + repeatShare*float64(max(
			countWithin(r.requests, from, repeatSpan),
			countWithin(r.requests, from.Add(-repeatSpan), repeatSpan),
			countWithin(r.requests, from.Add(-repeatSpan/2), repeatSpan),
		))
		worst = max(worst, float64(countWithin(r.repeated, from, repeatSpan))-allowed)
	}
	return worst
}

func countWithin(all []timekeeper.Time, from timekeeper.Time, span timekeeper.Duration) int {
	n := 0
	for _, at := range all {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// Guards against bursts and refills of the retry budgets that add up to twice the bound, and
// against a restart of all nodes that renews the budgets.
func TestRetriesOfAllNodesStayWithinTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		every  timekeeper.Duration
		inject func(*exchangeCluster)
	}{
		{
			name:   "few requests",
			every:  250,
			inject: func(*exchangeCluster) {},
		},
		{
			name:   "many requests",
			every:  10,
			inject: func(*exchangeCluster) {},
		},
		{
			name:  "all nodes are killed twice",
			every: 60,
			inject: func(cl *exchangeCluster) {
				for _, at := range []timekeeper.Duration{11_000, 14_000} {
					cl.at(at, func() {
						for _, n := range cl.nodes {
							cl.kill(n, 300)
						}
					})
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			cl := newExchangeCluster(t, 1)
			for at := timekeeper.Duration(3030); at < exchangeRunTime; at += test.every {
				cl.at(at, cl.sendRequest)
			}
			test.inject(cl)
			cl.at(8000, func() {
				cl.serverFault = messenger.AttemptBroken
				cl.alwaysFails = true
			})
			cl.run()
			require.Greater(t, len(cl.repeats.repeated), repeatSlack/2)
			require.LessOrEqual(t, cl.repeats.excess(), 0.0)
		})
	}
}

// Nodes that have just started must be able to retry their first requests. Guards
// against retry budgets that are earned only by earlier requests.
func TestFirstRequestsAreRetried(t *testing.T) {
	cl := newExchangeCluster(t, 1)
	cl.at(2999, func() {
		cl.serverFault = messenger.AttemptBroken
		cl.alwaysFails = true
	})
	const until = 3200
	cl.at(until, func() { cl.serverFault = "" })
	cl.run()
	repeatable := 0
	for id := range cl.repetitions {
		if cl.repetitions[id] != catalog.AtMostOnce && slices.Contains([]identifier.RequestID{"r-1", "r-2", "r-3", "r-4"}, id) {
			repeatable++
			require.Greater(t, len(cl.ranAt[id]), 1, "%s", id)
		}
	}
	require.Positive(t, repeatable)
}
