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

// The users' bound on what arrives at servers beyond the first time of each request:
// in any span a share of the requests of that span, of the one before or of the one
// half a span earlier, whichever has most, and a number for each service.
const (
	repeatSpan  = 10 * timekeeper.Second
	repeatShare = 0.2
	// repeatSlack is that for the nodes of an exchangeWorld: 40 and two a node.
	repeatSlack = 40 + 2*exchangeNodes
)

// repeats are the instants of requests, and of arrivals beyond the first of each.
type repeats struct {
	asked []timekeeper.Time
	again []timekeeper.Time
}

// excess returns by how much the repeats of some span exceed the bound at the most.
func (r repeats) excess() float64 {
	worst := -1e9
	for _, from := range r.again {
		allowed := repeatSlack + repeatShare*float64(max(
			within(r.asked, from, repeatSpan),
			within(r.asked, from.Add(-repeatSpan), repeatSpan),
			within(r.asked, from.Add(-repeatSpan/2), repeatSpan),
		))
		worst = max(worst, float64(within(r.again, from, repeatSpan))-allowed)
	}
	return worst
}

func within(all []timekeeper.Time, from timekeeper.Time, span timekeeper.Duration) int {
	n := 0
	for _, at := range all {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// Servers fail every request for the rest of a day. Callers of all nodes together have
// more sent again than the users bear, since each node's part of what may be spent at
// once and of what comes back within ten seconds adds up to twice as much; a loss of
// all nodes begins all parts anew.
func TestRetriesOfAllNodesStayWithinTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		every  timekeeper.Duration
		strike func(*exchangeWorld)
	}{
		{
			name:   "few requests",
			every:  250,
			strike: func(*exchangeWorld) {},
		},
		{
			name:   "many requests",
			every:  10,
			strike: func(*exchangeWorld) {},
		},
		{
			name:  "all nodes are killed twice",
			every: 60,
			strike: func(w *exchangeWorld) {
				for _, at := range []timekeeper.Duration{11_000, 14_000} {
					w.at(at, func() {
						for _, n := range w.nodes {
							w.kill(n, 300)
						}
					})
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newExchangeWorld(t, 1)
			for at := timekeeper.Duration(3030); at < exchangeDay; at += test.every {
				w.at(at, w.ask)
			}
			test.strike(w)
			w.at(8000, func() {
				w.serverFault = messenger.AttemptBroken
				w.alwaysFails = true
			})
			w.run()
			require.Greater(t, len(w.repeats.again), repeatSlack/2)
			require.LessOrEqual(t, w.repeats.excess(), 0.0)
		})
	}
}

// Nodes have just started and have had no request yet. The first ones break off at their
// servers, and go on at others: were retries earned by requests alone, a node's first
// six would not, and their callers would have half an answer.
func TestFirstRequestsAreSentAgain(t *testing.T) {
	w := newExchangeWorld(t, 1)
	w.at(2999, func() {
		w.serverFault = messenger.AttemptBroken
		w.alwaysFails = true
	})
	const until = 3200
	w.at(until, func() { w.serverFault = "" })
	w.run()
	repeatable := 0
	for id := range w.kinds {
		if w.kinds[id] != catalog.AtMostOnce && slices.Contains([]identifier.RequestID{"r-1", "r-2", "r-3", "r-4"}, id) {
			repeatable++
			require.Greater(t, len(w.ran[id]), 1, "%s", id)
		}
	}
	require.Positive(t, repeatable)
}
