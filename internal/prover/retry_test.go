package prover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
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
