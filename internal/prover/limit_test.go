package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The users' bound on what arrives at a server that states a limit: from limitSettles
// after it first did, in any limitSpan limitFactor times what that allows and limitSlack
// requests, of the nodes that passed on an answer with the limit limitKnown earlier.
const (
	limitSettleTime = 3 * timekeeper.Second
	limitSpan       = 4 * timekeeper.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitDelay      = 500 * timekeeper.Millisecond
	// excusedFor is how long after its end a restart, freeze or cut excuses a node.
	excuseTime = 3 * timekeeper.Second

	// Servers state a limit from limitFrom to limitUntil.
	limitFrom  = 7 * timekeeper.Second
	limitUntil = 17 * timekeeper.Second
)

// limits is what the world knows of servers that state a limit.
type limits struct {
	rates    map[identifier.VMID]identifier.RequestRate
	statedAt map[identifier.VMID]timekeeper.Time
	// passed is when each node first passed on an answer of a server with a limit.
	firstForwarded map[identifier.VMID]map[identifier.VMID]timekeeper.Time
	// arrivals are those that count, and all those of all nodes that are not excused
	// since the limit settled.
	arrivals    map[identifier.VMID][]timekeeper.Time
	allArrivals map[identifier.VMID][]timekeeper.Time
	lastHarmed  map[identifier.VMID]timekeeper.Time
	// worst is the largest part of what is allowed that arrived in some span.
	maxRatio float64
}

func newLimits() limits {
	return limits{
		rates:          map[identifier.VMID]identifier.RequestRate{},
		statedAt:       map[identifier.VMID]timekeeper.Time{},
		firstForwarded: map[identifier.VMID]map[identifier.VMID]timekeeper.Time{},
		arrivals:       map[identifier.VMID][]timekeeper.Time{},
		allArrivals:    map[identifier.VMID][]timekeeper.Time{},
		lastHarmed:     map[identifier.VMID]timekeeper.Time{},
	}
}

// limit lets a server state a limit for a while.
func (cl *exchangeCluster) limit(server identifier.VMID, rate identifier.RequestRate) {
	cl.at(limitFrom, func() {
		cl.limits.rates[server] = rate
		cl.limits.statedAt[server] = cl.now
		cl.limits.firstForwarded[server] = map[identifier.VMID]timekeeper.Time{}
	})
	cl.at(limitUntil, func() { delete(cl.limits.rates, server) })
}

// limitArrival counts a request that reaches a server. The users count those of nodes that
// passed on the limit; the limit is one for all nodes, which have heard of it once it
// settled.
func (cl *exchangeCluster) limitArrival(n *gatewayNode, server identifier.VMID) {
	l := &cl.limits
	rate, limited := l.rates[server]
	if !limited || cl.now.Sub(max(n.startedAt, l.lastHarmed[n.vm])) < excuseTime {
		return
	}
	settled := cl.now.Sub(l.statedAt[server]) >= limitSettleTime
	if settled {
		l.allArrivals[server] = append(l.allArrivals[server], cl.now)
		cl.checkLimit(server, rate, l.allArrivals[server])
	}
	passed, known := l.firstForwarded[server][n.vm]
	if !known || cl.now.Sub(passed) < limitDelay {
		return
	}
	l.arrivals[server] = append(l.arrivals[server], cl.now)
	if settled {
		cl.checkLimit(server, rate, l.arrivals[server])
	}
}

func (cl *exchangeCluster) checkLimit(server identifier.VMID, rate identifier.RequestRate, arrivals []timekeeper.Time) {
	count := countWithin(arrivals, cl.now.Add(1-limitSpan), limitSpan)
	allowed := limitFactor*float64(rate)*limitSpan.Seconds() + limitSlack
	cl.limits.maxRatio = max(cl.limits.maxRatio, float64(count)/allowed)
	if float64(count) > allowed {
		cl.violate("%s, with a limit of %g a second, gets %d requests in %s", server, rate, count, limitSpan)
	}
}

// stateLimit tells a node what a server's answer states.
func (cl *exchangeCluster) stateLimit(n *gatewayNode, server identifier.VMID, sent timekeeper.Time, result messenger.AttemptResult) {
	answered := result == messenger.AttemptComplete || result == messenger.AttemptFailed || result == messenger.AttemptRefused
	if !answered {
		return
	}
	rate, limited := cl.limits.rates[server]
	if _, passed := cl.limits.firstForwarded[server][n.vm]; limited && !passed {
		cl.limits.firstForwarded[server][n.vm] = cl.now
	}
	cl.apply(n, messenger.ServerLimitReceived{
		Server: server,
		Sent:   sent,
		Limit: messenger.StatedLimit{
			Stated: limited,
			Rate:   rate,
		},
	})
}

// watchHarm notes which nodes are cut off or frozen.
func (cl *exchangeCluster) recordExcused() {
	for _, n := range cl.nodes {
		if n.cutFromPeers || cl.now.Before(n.frozenUntil) {
			cl.limits.lastHarmed[n.vm] = cl.now
		}
	}
	cl.after(20, cl.recordExcused)
}

// list tells a node which nodes there are, as the platform's list does.
func (cl *exchangeCluster) list(n *gatewayNode) {
	cl.after(100, func() {
		listed := messenger.ListRead{AsOf: cl.now}
		for i := range cl.size.nodes {
			listed.VMs = append(listed.VMs, messenger.VMState{
				VM:      exchangeNode(i),
				Address: string(exchangeNode(i)),
			})
		}
		cl.apply(n, listed)
	})
}

// limitDay is a day on which servers state a limit.
type limitCase struct {
	name string
	size clusterSize
	// limited is how many servers do, the first ones.
	limited int
	rate    identifier.RequestRate
}

func (d limitCase) newCluster(t testing.TB, seed uint64) *exchangeCluster {
	cl := newSizedCluster(t, seed, d.size)
	for i := range d.limited {
		cl.limit(exchangeServer(i), d.rate)
	}
	cl.recordExcused()
	return cl
}

// fewNodes has more requests than servers may take, of nodes that all meet each server.
var fewNodes = clusterSize{
	nodes:           6,
	servers:         6,
	requestInterval: 15,
	tokensPerSecond: 1e6,
}

// manyNodes returns a world in which each node has few requests.
func manyNodes(nodes int) clusterSize {
	return clusterSize{
		nodes:           nodes,
		servers:         6,
		requestInterval: 2,
		tokensPerSecond: 1e6,
		nodesListed:     true,
	}
}

// Servers state a limit that holds for all nodes together, and each node sends as if it were alone.
func TestServersGetNoMoreThanTheLimitTheyState(t *testing.T) {
	for _, day := range []limitCase{
		{
			name:    "one server of six",
			size:    fewNodes,
			limited: 1,
			rate:    1,
		},
		{
			name:    "all servers",
			size:    fewNodes,
			limited: 6,
			rate:    1,
		},
		{
			name:    "large limits",
			size:    fewNodes,
			limited: 4,
			rate:    8,
		},
		{
			name:    "less than one request a second",
			size:    fewNodes,
			limited: 3,
			rate:    0.3,
		},
		{
			name:    "no request at all",
			size:    fewNodes,
			limited: 3,
			rate:    0,
		},
		{
			name:    "69 nodes",
			size:    manyNodes(69),
			limited: 6,
			rate:    1,
		},
		{
			name:    "300 nodes",
			size:    manyNodes(300),
			limited: 6,
			rate:    1,
		},
	} {
		if day.size.nodes > maxNodes {
			continue
		}
		t.Run(day.name, func(t *testing.T) {
			cl := day.newCluster(t, 1)
			cl.run()
			require.Empty(t, cl.violations)
			t.Logf("worst %.2f of what is allowed, %d answered, %d refused", cl.limits.maxRatio, cl.answered, cl.refused)
		})
	}
}

// Each fault of the matrix strikes while servers state limits: grants change hands, nodes restart, servers leave.
func TestLimitsHoldBesideFaults(t *testing.T) {
	steps := []timekeeper.Duration{6500, 9001, 12_345}
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range steps {
				for _, limited := range []int{2, 6} {
					if (2*i+limited/6)%cellStride != 0 {
						continue
					}
					day := limitCase{
						size:    fewNodes,
						limited: limited,
						rate:    1,
					}
					cl := day.newCluster(t, uint64(i))
					cl.at(step, func() { fault.strike(cl) })
					cl.run()
					require.Empty(t, cl.violations, "at %d, %d servers", step, limited)
				}
			}
		})
	}
}

// askPermit asks a peer for a permit, and passes its answer on.
func (cl *exchangeCluster) requestPermit(n *gatewayNode, e messenger.RequestPermit) {
	cl.queryPeer(n, peerQuery{
		address: e.Address,
		request: messenger.PermitRequested{Limits: e.Limits},
		answer: func(effect messenger.Effect) messenger.EventBody {
			a, ok := effect.(messenger.AnswerPermit)
			if !ok {
				return nil
			}
			a.Answer.Exchange = e.Exchange
			return a.Answer
		},
		timeoutEvent: messenger.PermitAnswered{
			Exchange: e.Exchange,
			Unknown:  true,
		},
	})
}

// arrived returns how many requests reached servers in each second of settled limits.
func (cl *exchangeCluster) arrivalRate() float64 {
	sum := 0
	for _, arrivals := range cl.limits.allArrivals {
		sum += len(arrivals)
	}
	return float64(sum) / (limitUntil - limitFrom - limitSettleTime).Seconds()
}

// Callers are refused while their servers have room left within the limits.
func TestLimitsAreUsed(t *testing.T) {
	for _, nodes := range []int{6, 69, 300} {
		if nodes > maxNodes {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			size := manyNodes(nodes)
			size.servers = 4
			day := limitCase{
				size:    size,
				limited: 4,
				rate:    8,
			}
			cl := day.newCluster(t, 1)
			cl.run()
			require.Empty(t, cl.violations)
			t.Logf("%.1f requests a second of %g", cl.arrivalRate(), float64(day.limited)*float64(day.rate))
			require.Greater(t, cl.arrivalRate(), 0.7*float64(day.limited)*float64(day.rate))
		})
	}
}

// A limit that is over still holds requests back, since few of them would learn of its end.
func TestLiftedLimitFreesServer(t *testing.T) {
	for _, rate := range []identifier.RequestRate{0, 1} {
		t.Run(fmt.Sprintf("%g a second", rate), func(t *testing.T) {
			day := limitCase{
				size:    fewNodes,
				limited: 6,
				rate:    rate,
			}
			cl := day.newCluster(t, 1)
			refused := 0
			cl.at(exchangeRunTime-1, func() { refused = cl.refused - refused })
			cl.at(exchangeRunTime-2000, func() { refused = cl.refused })
			cl.run()
			require.Empty(t, cl.violations)
			require.Zero(t, refused, "in the last two seconds")
		})
	}
}
