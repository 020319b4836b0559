package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// Servers reject all requests from rejectFrom to rejectUntil.
	rejectFrom  = 7 * timekeeper.Second
	rejectUntil = 17 * timekeeper.Second
	// backoffDelay is the time after a rejection from which requests count, and
	// maxBackoffArrivals the number of them that may arrive until the backoff ends.
	backoffDelay       = 500 * timekeeper.Millisecond
	maxBackoffArrivals = 2
)

// rejections are the servers that reject requests with a backoff, and what arrives at
// them.
type rejections struct {
	backoffs map[identifier.VMID]timekeeper.Duration
	// answers are the rejections of each server, by the process that was rejected.
	answers map[identifier.VMID]map[process][]*rejection
	// arrivals counts the requests by server while it rejects them, and afterwards.
	arrivals      map[identifier.VMID]int
	arrivalsAfter map[identifier.VMID]int
}

// rejection is one rejection with the requests that arrived during its backoff.
type rejection struct {
	from, until timekeeper.Time
	arrivals    int
}

func newRejections() rejections {
	return rejections{
		backoffs:      map[identifier.VMID]timekeeper.Duration{},
		answers:       map[identifier.VMID]map[process][]*rejection{},
		arrivals:      map[identifier.VMID]int{},
		arrivalsAfter: map[identifier.VMID]int{},
	}
}

// rejectAll makes a server reject all requests with a backoff.
func (cl *exchangeCluster) rejectAll(server identifier.VMID, backoff timekeeper.Duration) {
	cl.at(rejectFrom, func() { cl.rejections.startRejecting(server, backoff) })
	cl.at(rejectUntil, func() { delete(cl.rejections.backoffs, server) })
}

func (r *rejections) startRejecting(server identifier.VMID, backoff timekeeper.Duration) {
	r.backoffs[server] = backoff
	r.answers[server] = map[process][]*rejection{}
}

// rejects records a request that arrives at a server, and reports whether the server
// rejects it.
func (cl *exchangeCluster) rejects(n *gatewayNode, e messenger.SendExchange) bool {
	r := &cl.rejections
	server := cl.startAt(e.Server)
	for _, rejection := range r.answers[server][n.process()] {
		if cl.now.Before(rejection.from) || !cl.now.Before(rejection.until) {
			continue
		}
		rejection.arrivals++
		if rejection.arrivals == maxBackoffArrivals+1 {
			cl.violatef("%s sends %d requests to %s, which asked for none until %d",
				n.vm, rejection.arrivals, server, rejection.until.Sub(exchangeStart))
		}
	}
	backoff, rejecting := r.backoffs[server]
	if !rejecting {
		if cl.now.Sub(exchangeStart) > rejectUntil {
			r.arrivalsAfter[server]++
		}
		return false
	}
	r.arrivals[server]++
	r.answers[server][n.process()] = append(r.answers[server][n.process()], &rejection{
		from:  cl.now.Add(backoffDelay),
		until: cl.now.Add(backoff),
	})
	cl.after(1, func() {
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange:   e.Exchange,
			Attempt:    e.Attempt,
			Server:     e.Server,
			Result:     messenger.AttemptRefused,
			RetryAfter: backoff,
			Backoff:    backoff,
		})
	})
	return true
}

// Guards against requests to a server that asked for a pause, since it looks idle meanwhile.
func TestServersGetNoRequestsDuringBackoff(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    clusterSize
		servers int
		backoff timekeeper.Duration
	}{
		{
			name:    "three of six servers",
			size:    fewNodes,
			servers: 3,
			backoff: 3 * timekeeper.Second,
		},
		{
			name:    "all servers",
			size:    fewNodes,
			servers: 6,
			backoff: 3 * timekeeper.Second,
		},
		{
			name:    "short",
			size:    fewNodes,
			servers: 3,
			backoff: timekeeper.Second,
		},
		{
			name:    "long",
			size:    fewNodes,
			servers: 3,
			backoff: 15 * timekeeper.Second,
		},
		{
			name:    "69 nodes",
			size:    manyNodes(69),
			servers: 3,
			backoff: 3 * timekeeper.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			cl := newSizedCluster(t, 1, test.size)
			for i := range test.servers {
				cl.rejectAll(exchangeServer(i), test.backoff)
			}
			cl.run()
			require.Empty(t, cl.violations)
			t.Logf("%d rejected, %d answered, %d refused", cl.rejections.total(), cl.answered, cl.refused)
			if rejectUntil+test.backoff < exchangeRunTime {
				require.NotZero(t, cl.rejections.arrivalsAfter[exchangeServer(0)], "the backoff must end")
			}
		})
	}
}

// total returns the number of rejected requests.
func (r *rejections) total() int {
	sum := 0
	for _, n := range r.arrivals {
		sum += n
	}
	return sum
}

// Guards against nodes that all send to a rejecting server again as soon as its pause ends.
func TestServersAreUsedLastAfterBackoff(t *testing.T) {
	const (
		backoff = 3 * timekeeper.Second
		servers = 3
		// A node that uses other servers for as long again as each backoff meets a
		// rejecting server this often.
		rejectionsPerNode = 2
	)
	for i, size := range lapseSizes {
		if i%cellStride != 0 {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, size)
			for i := range servers {
				cl.rejectAll(exchangeServer(i), backoff)
			}
			cl.run()
			require.Empty(t, cl.violations)
			require.LessOrEqual(t, cl.rejections.total(), rejectionsPerNode*servers*size.nodes)
			require.NotZero(t, cl.rejections.arrivalsAfter[exchangeServer(0)], "the server must be used again")
		})
	}
}

// Faults must not make a node forget that a server asked for a pause.
func TestBackoffHoldsDuringFaults(t *testing.T) {
	testDuringFaults(t, func(cl *exchangeCluster) {
		cl.rejectAll(exchangeServer(4), 3*timekeeper.Second)
		cl.rejectAll(exchangeServer(5), 3*timekeeper.Second)
	})
}

// A server that asked for a pause and starts again under its id must be used at once.
func TestNewStartIsNotBoundByBackoff(t *testing.T) {
	cl := newSizedCluster(t, 1, fewNodes)
	first := exchangeServer(0)
	cl.rejectAll(first, timekeeper.Minute)
	restartedAt := rejectFrom + 3*timekeeper.Second
	second := identifier.ServerStart(first.Instance(), identifier.Incarnation(exchangeStart.Add(restartedAt)))
	cl.at(restartedAt, func() { cl.writeEntry(second, messenger.ServerReady) })
	cl.run()
	require.Empty(t, cl.violations)
	require.NotZero(t, cl.leaving.arrivals[second])
}
