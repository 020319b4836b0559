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
	repeatSlack = 40 + 2*exchangeNodeCount
)

// repeats are the instants of requests, and of arrivals beyond the first of each.
type repeats struct {
	requests []timekeeper.Time
	repeated []timekeeper.Time
}

// excess returns by how much the repeats of some span exceed the bound at the most.
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

// Servers fail every request for the rest of a day. Callers of all nodes together have
// more sent again than the users bear, since each node's part of what may be spent at
// once and of what comes back within ten seconds adds up to twice as much; a loss of
// all nodes begins all parts anew.
func TestRetriesOfAllNodesStayWithinTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		every  timekeeper.Duration
		strike func(*exchangeCluster)
	}{
		{
			name:   "few requests",
			every:  250,
			strike: func(*exchangeCluster) {},
		},
		{
			name:   "many requests",
			every:  10,
			strike: func(*exchangeCluster) {},
		},
		{
			name:  "all nodes are killed twice",
			every: 60,
			strike: func(cl *exchangeCluster) {
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
			test.strike(cl)
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

// Nodes have just started and have had no request yet. The first ones break off at their
// servers, and go on at others: were retries earned by requests alone, a node's first
// six would not, and their callers would have half an answer.
func TestFirstRequestsAreSentAgain(t *testing.T) {
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
